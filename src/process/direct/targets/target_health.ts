/**
 * Ejects outlier targets by the outcomes of real requests.
 *
 * Load pattern: a target fails some of its requests, or stops responding, while
 * it stays registered and passes its health check, and the failed requests are
 * retried as extra load on the others. Such a target is ejected for a time and
 * then receives single requests as half-open trials. When all targets of a
 * service fail at the same rate, no target is at fault, so the failure ratio is
 * compared with that of the service's other targets.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";

/**
 * Outcome of one request at a target.
 *
 * - `served`: a valid response with any status below 500.
 * - `failed`: an error status, or a response that was cut off or corrupted.
 * - `silent`: no response within the time in which other targets respond.
 * - `unreachable`: no connection could be made.
 */
export type TargetOutcome = "served" | "failed" | "silent" | "unreachable";

/** Maximum number of outcomes kept per target. */
const maxOutcomes = 16;

/** Time for which an outcome counts, in milliseconds. */
const outcomeWindowMs = 8_000;

/** Minimum number of failures before the failure ratio can eject a target. */
const minFailures = 3;

/** Minimum failure ratio that ejects a target. */
const minFailureRatio = 0.3;

/** Minimum failure ratio relative to that of the service's other targets. */
const outlierMultiple = 2.5;

/** Duration of the first ejection in ms, by its cause; doubles each time. */
const baseEjectionMs: Readonly<Record<TargetOutcome, number>> = {
  served: 0,
  failed: 1_500,
  silent: 1_000,
  unreachable: 400,
};

/** Maximum duration of one ejection, in milliseconds. */
const maxEjectionMs = 4_000;

/** Timeout of a half-open trial without an outcome, in milliseconds. */
const trialTimeoutMs = 1_500;

/** Recent outcomes and the ejection state of one target. */
interface Health {
  outcomes: { readonly at: number; readonly isFailure: boolean }[];
  /** Number of ejections in a row. */
  ejectionCount: number;
  /** Start of the last ejection; 0 for none. */
  ejectedAt: number;
  /** End of the last ejection; 0 for none. */
  ejectedUntil: number;
  /** Outcome that caused the last ejection. */
  ejectionCause: TargetOutcome;
  /** Start of the running half-open trial; 0 for none. */
  trialStartedAt: number;
}

/** Health of all targets, from this router's own requests. */
export interface TargetHealth {
  /** Records the outcome of a request, which may eject the target. */
  recordOutcome(target: DirectTarget, outcome: TargetOutcome): void;
  /** Returns the targets that may receive a request, or all if none may. */
  getUsable(targets: readonly DirectTarget[]): readonly DirectTarget[];
  /**
   * Returns true when the target may receive a request: it is not ejected, nor has
   * it a half-open trial that runs.
   */
  isUsable(id: string): boolean;
  /** Records a sent request; after an ejection it is the half-open trial. */
  recordSent(target: DirectTarget): void;
  /** Returns true while the target is ejected. */
  isEjected(id: string): boolean;
  /** Returns false while the target is ejected as unreachable. */
  isReachable(id: string): boolean;
  /** Forgets the outcomes of a target. */
  forget(id: string): void;
  /** Returns the ids of the ejected targets. */
  getEjected(): readonly string[];
}

/** Creates a record in which every target is healthy. */
export function createTargetHealth(
  host: {
    readonly log: Log;
    /** Handles the return of a target from an ejection that began at `since`. */
    handleRecovered?(target: DirectTarget, since: number): void;
  },
): TargetHealth {
  const healthByTarget = new Map<string, Health>();
  const targetsByService = new Map<string, Set<string>>();

  return {
    recordOutcome,
    getUsable,
    isUsable,
    recordSent,
    isEjected,
    isReachable: (id) =>
      !isEjected(id) || healthByTarget.get(id)?.ejectionCause !== "unreachable",
    forget,
    getEjected: () => [...healthByTarget.keys()].filter(isEjected),
  };

  function recordOutcome(target: DirectTarget, outcome: TargetOutcome): void {
    const health = getHealth(target);
    const now = performance.now();
    const isTrial = health.trialStartedAt > 0;
    health.trialStartedAt = 0;
    health.outcomes.push({ at: now, isFailure: outcome !== "served" });
    if (health.outcomes.length > maxOutcomes) health.outcomes.shift();
    if (outcome === "served") {
      if (isTrial) recover(target, health);
      return;
    }
    const isConclusive = outcome === "unreachable" || outcome === "silent";
    if (isConclusive || isTrial || isOutlier(target, health)) {
      eject(target, health, outcome);
    }
  }

  function recover(target: DirectTarget, health: Health): void {
    host.log.info("Target has recovered", {
      target: target.id,
      timesAside: health.ejectionCount,
    });
    host.handleRecovered?.(target, health.ejectedAt);
    health.ejectionCount = 0;
    health.outcomes = [];
  }

  function eject(
    { id, service }: DirectTarget,
    health: Health,
    outcome: TargetOutcome,
  ): void {
    const now = performance.now();
    if (health.ejectedUntil > now) return;
    const ejectionMs = Math.min(
      maxEjectionMs,
      baseEjectionMs[outcome] * 2 ** health.ejectionCount,
    );
    health.ejectedAt = now;
    health.ejectedUntil = now + ejectionMs;
    health.ejectionCause = outcome;
    health.ejectionCount++;
    const { all, failures } = countOutcomes([health]);
    host.log.warn("Target is set aside", {
      ...{ target: id, service, outcome, asideMs: ejectionMs, failures },
      outcomes: all,
      timesAside: health.ejectionCount,
    });
  }

  function isOutlier(target: DirectTarget, health: Health): boolean {
    const own = countOutcomes([health]);
    if (own.failures < minFailures) return false;
    const others = [...targetsByService.get(target.service) ?? []]
      .filter((id) => id !== target.id)
      .flatMap((id) => healthByTarget.get(id) ?? []);
    const othersCounts = countOutcomes(others);
    const othersRatio = othersCounts.all === 0
      ? 0
      : othersCounts.failures / othersCounts.all;
    const ownRatio = own.failures / own.all;
    return ownRatio >= Math.max(minFailureRatio, othersRatio * outlierMultiple);
  }

  function getUsable(
    targets: readonly DirectTarget[],
  ): readonly DirectTarget[] {
    const usable = targets.filter(({ id }) => isUsable(id));
    return usable.length > 0 ? usable : targets;
  }

  /** Allows one request at a time to a target in a half-open trial. */
  function isUsable(id: string): boolean {
    const health = healthByTarget.get(id);
    if (health === undefined || health.ejectionCount === 0) return true;
    if (isEjected(id)) return false;
    return health.trialStartedAt === 0 ||
      health.trialStartedAt + trialTimeoutMs < performance.now();
  }

  function recordSent({ id }: DirectTarget): void {
    const health = healthByTarget.get(id);
    if (health === undefined || health.ejectionCount === 0) return;
    health.trialStartedAt = performance.now();
  }

  function isEjected(id: string): boolean {
    return (healthByTarget.get(id)?.ejectedUntil ?? 0) > performance.now();
  }

  function forget(id: string): void {
    healthByTarget.delete(id);
    targetsByService.forEach((ids) => ids.delete(id));
  }

  function getHealth({ id, service }: DirectTarget): Health {
    const existing = healthByTarget.get(id);
    if (existing !== undefined) return existing;
    const health: Health = {
      outcomes: [],
      ejectionCount: 0,
      ejectedAt: 0,
      ejectedUntil: 0,
      ejectionCause: "served",
      trialStartedAt: 0,
    };
    healthByTarget.set(id, health);
    const ids = targetsByService.get(service) ?? new Set();
    targetsByService.set(service, ids.add(id));
    return health;
  }
}

function countOutcomes(
  healths: readonly Health[],
): { readonly all: number; readonly failures: number } {
  const oldest = performance.now() - outcomeWindowMs;
  const recent = healths.flatMap(({ outcomes }) =>
    outcomes.filter(({ at }) => at >= oldest)
  );
  const failures = recent.filter(({ isFailure }) => isFailure).length;
  return { all: recent.length, failures };
}
