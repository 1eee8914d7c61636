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
const rememberedOutcomes = 16;

/** Time that an outcome counts, in milliseconds. */
const outcomeMs = 8_000;

/** Failures before a target can be set aside for a part of them. */
const minFailures = 3;

/** Share of failures that sets a target aside. */
const failureShare = 0.3;

/** Times the share of the service's other targets that it has to reach. */
const failureMultiple = 2.5;

/** First time that a target is set aside, in ms; it doubles each time. */
const firstAsideMs: Readonly<Record<TargetOutcome, number>> = {
  served: 0,
  failed: 1_500,
  silent: 1_000,
  unreachable: 400,
};

/** Longest time that a target is set aside at once, in milliseconds. */
const longestAsideMs = 4_000;

/** Time after which a trial without an outcome is forgotten, in ms. */
const trialMs = 1_500;

interface Health {
  outcomes: { readonly at: number; readonly isFailure: boolean }[];
  /** Times in a row that the target was set aside. */
  timesAside: number;
  asideUntil: number;
  /** Outcome for which it was set aside last. */
  asideFor: TargetOutcome;
  /** Start of the trial that is under way; 0 for none. */
  trialAt: number;
}

/** Health of all targets, from this router's own requests. */
export interface TargetHealth {
  note(target: DirectTarget, outcome: TargetOutcome): void;
  /** Targets that may take a request now; all of them when none is sound. */
  getUsable(targets: readonly DirectTarget[]): readonly DirectTarget[];
  /** The request that goes to the target is its trial. */
  noteSent(target: DirectTarget): void;
  isAside(id: string): boolean;
  /** False while the target is set aside because it cannot be reached. */
  isReachable(id: string): boolean;
  forget(id: string): void;
  /** Ids of the targets that are set aside now. */
  getAside(): readonly string[];
}

/** Creates a judge that trusts every target. */
export function createTargetHealth(
  host: { readonly log: Log },
): TargetHealth {
  const byTarget = new Map<string, Health>();
  const byService = new Map<string, Set<string>>();

  return {
    note,
    getUsable,
    noteSent,
    isAside,
    isReachable: (id) =>
      !isAside(id) || byTarget.get(id)?.asideFor !== "unreachable",
    forget,
    getAside: () => [...byTarget.keys()].filter(isAside),
  };

  function note(target: DirectTarget, outcome: TargetOutcome): void {
    const health = getHealth(target);
    const now = performance.now();
    const isTrial = health.trialAt > 0;
    health.trialAt = 0;
    health.outcomes.push({ at: now, isFailure: outcome !== "served" });
    if (health.outcomes.length > rememberedOutcomes) health.outcomes.shift();
    if (outcome === "served") {
      if (isTrial) recover(target, health);
      return;
    }
    const isClear = outcome === "unreachable" || outcome === "silent";
    if (isClear || isTrial || isWorseThanOthers(target, health)) {
      setAside(target, health, outcome);
    }
  }

  function recover({ id }: DirectTarget, health: Health): void {
    host.log.info("Target is back", {
      target: id,
      timesAside: health.timesAside,
    });
    health.timesAside = 0;
    health.outcomes = [];
  }

  function setAside(
    { id, service }: DirectTarget,
    health: Health,
    outcome: TargetOutcome,
  ): void {
    const now = performance.now();
    if (health.asideUntil > now) return;
    const asideMs = Math.min(
      longestAsideMs,
      firstAsideMs[outcome] * 2 ** health.timesAside,
    );
    health.asideUntil = now + asideMs;
    health.asideFor = outcome;
    health.timesAside++;
    const { all, failures } = countOutcomes([health]);
    host.log.warn("Target is set aside", {
      ...{ target: id, service, outcome, asideMs, failures },
      outcomes: all,
      timesAside: health.timesAside,
    });
  }

  function isWorseThanOthers(target: DirectTarget, health: Health): boolean {
    const own = countOutcomes([health]);
    if (own.failures < minFailures) return false;
    const others = [...byService.get(target.service) ?? []]
      .filter((id) => id !== target.id)
      .flatMap((id) => byTarget.get(id) ?? []);
    const rest = countOutcomes(others);
    const usual = rest.all === 0 ? 0 : rest.failures / rest.all;
    const share = own.failures / own.all;
    return share >= Math.max(failureShare, usual * failureMultiple);
  }

  function getUsable(
    targets: readonly DirectTarget[],
  ): readonly DirectTarget[] {
    const usable = targets.filter(({ id }) => isUsable(id));
    return usable.length > 0 ? usable : targets;
  }

  /** A target that comes back takes one request until its outcome is known. */
  function isUsable(id: string): boolean {
    const health = byTarget.get(id);
    if (health === undefined || health.timesAside === 0) return true;
    if (isAside(id)) return false;
    return health.trialAt === 0 ||
      health.trialAt + trialMs < performance.now();
  }

  function noteSent({ id }: DirectTarget): void {
    const health = byTarget.get(id);
    if (health === undefined || health.timesAside === 0) return;
    health.trialAt = performance.now();
  }

  function isAside(id: string): boolean {
    return (byTarget.get(id)?.asideUntil ?? 0) > performance.now();
  }

  function forget(id: string): void {
    byTarget.delete(id);
    byService.forEach((ids) => ids.delete(id));
  }

  function getHealth({ id, service }: DirectTarget): Health {
    const held = byTarget.get(id);
    if (held !== undefined) return held;
    const health: Health = {
      outcomes: [],
      timesAside: 0,
      asideUntil: 0,
      asideFor: "served",
      trialAt: 0,
    };
    byTarget.set(id, health);
    const ids = byService.get(service) ?? new Set();
    byService.set(service, ids.add(id));
    return health;
  }
}

function countOutcomes(
  healths: readonly Health[],
): { readonly all: number; readonly failures: number } {
  const oldest = performance.now() - outcomeMs;
  const recent = healths.flatMap(({ outcomes }) =>
    outcomes.filter(({ at }) => at >= oldest)
  );
  const failures = recent.filter(({ isFailure }) => isFailure).length;
  return { all: recent.length, failures };
}
