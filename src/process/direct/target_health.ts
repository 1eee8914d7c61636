/**
 * Judges targets by the outcomes of real requests.
 *
 * Load pattern: a target fails a part of its requests, or falls silent, while
 * its registration and health check stay good, and the requests that it fails
 * come back as extra load on the others. Such a target is set aside for a time
 * and then tried with single requests. Targets that fail alike are not at
 * fault, so failures are compared with those of the service's other targets.
 */

import type { DirectTarget } from "../../types/direct_target.ts";
import type { Log } from "../telemetry/log.ts";

/**
 * - `served`: a sound answer, whatever its status below 500.
 * - `failed`: an error status, or an answer that broke off or was spoiled.
 * - `silent`: nothing came in the time in which others answer.
 * - `unreachable`: no connection could be made.
 */
export type TargetOutcome = "served" | "failed" | "silent" | "unreachable";

/** Outcomes of one target that are remembered. */
const maxOutcomes = 16;

/** Time that an outcome counts, in milliseconds. */
const outcomeWindowMs = 8_000;

/** Failures before a target can be set aside for a part of them. */
const minFailures = 3;

/** Share of failures that sets a target aside. */
const minFailureRatio = 0.3;

/** Times the share of the service's other targets that it has to reach. */
const outlierMultiple = 2.5;

/** First time that a target is set aside, in ms; it doubles each time. */
const baseEjectionMs: Readonly<Record<TargetOutcome, number>> = {
  served: 0,
  failed: 1_500,
  silent: 1_000,
  unreachable: 400,
};

/** Longest time that a target is set aside at once, in milliseconds. */
const maxEjectionMs = 4_000;

/** Time after which a trial without an outcome is forgotten, in ms. */
const trialTimeoutMs = 1_500;

interface Health {
  outcomes: { readonly at: number; readonly isFailure: boolean }[];
  /** Times in a row that the target was set aside. */
  ejectionCount: number;
  ejectedUntil: number;
  /** Outcome for which it was set aside last. */
  ejectionCause: TargetOutcome;
  /** Start of the trial that is under way; 0 for none. */
  trialStartedAt: number;
}

/** Health of all targets, from this router's own requests. */
export interface TargetHealth {
  recordOutcome(target: DirectTarget, outcome: TargetOutcome): void;
  /** Targets that may take a request now; all of them when none is sound. */
  getUsable(targets: readonly DirectTarget[]): readonly DirectTarget[];
  /** The request that goes to the target is its trial. */
  recordSent(target: DirectTarget): void;
  isEjected(id: string): boolean;
  /** False while the target is set aside because it cannot be reached. */
  isReachable(id: string): boolean;
  forget(id: string): void;
  /** Ids of the targets that are set aside now. */
  getEjected(): readonly string[];
}

/** Creates a judge that trusts every target. */
export function createTargetHealth(
  host: { readonly log: Log },
): TargetHealth {
  const healthByTarget = new Map<string, Health>();
  const targetsByService = new Map<string, Set<string>>();

  return {
    recordOutcome,
    getUsable,
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

  function recover({ id }: DirectTarget, health: Health): void {
    host.log.info("Target is back", {
      target: id,
      timesAside: health.ejectionCount,
    });
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
    const rest = countOutcomes(others);
    const othersRatio = rest.all === 0 ? 0 : rest.failures / rest.all;
    const share = own.failures / own.all;
    return share >= Math.max(minFailureRatio, othersRatio * outlierMultiple);
  }

  function getUsable(
    targets: readonly DirectTarget[],
  ): readonly DirectTarget[] {
    const usable = targets.filter(({ id }) => isUsable(id));
    return usable.length > 0 ? usable : targets;
  }

  /** A target that comes back takes one request until its outcome is known. */
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
