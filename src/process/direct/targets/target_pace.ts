/**
 * Bounds the concurrent requests of targets that have just started or recovered
 * (slow start), over all routers.
 *
 * Load pattern: a target that starts is empty, so that each of hundreds of
 * routers prefers it, and it gets more than it takes before its load is known.
 * Its bound begins low, doubles with each step of healthy responses, and falls
 * when responses are refused, fail, or are slower than those of other targets.
 * Routers divide what is left of the bound by their parts of the service's load,
 * for as long as loads take to be reported, and exchange bounds in digests.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";
import {
  createPacePreview,
  getTaking,
  type KnownPace,
  maxPaceMs,
} from "./pace_preview.ts";
import { createPaceReports, type PaceReports } from "./pace_reports.ts";
import type { LoadView } from "./load_view.ts";
import {
  comparePaces,
  getHealthyNeeded,
  getInitialBound,
  getLoweredBound,
  getRaisedBound,
  isFallProved,
  type PaceOutcome,
  type PaceReason,
  type PaceRecord,
  type PaceState,
} from "./pace_steps.ts";
import { createTargetHashes } from "./target_hashes.ts";
import { createPaceShares } from "./pace_shares.ts";

/**
 * Time for which a pace that ended is kept, in milliseconds, so that late
 * digests do not begin it again.
 */
const retentionMs = 10_000;

/** The pace of one process of a target. */
interface Pace extends KnownPace {
  readonly hash: number;
  reason: PaceReason;
  /** Increases when the bound falls or begins again; see `comparePaces`. */
  version: number;
  bound: number;
  hasFallen: boolean;
  /** Times on the monotonic clock. */
  stepAt: number;
  fellAt: number;
  /** Responses to requests that were sent in the current step. */
  healthy: number;
  unhealthy: number;
  /** True when the bound kept a request away, or the load came near to it. */
  isLimiting: boolean;
}

/** One request at a target, as far as it counts for the bound. */
export interface PacedRequest {
  /** Records how the target responded; only the first one counts. */
  recordOutcome(outcome: PaceOutcome): void;
  /** Records that events come late; counts once, after the first event. */
  recordSlowEvents(): void;
}

/** The paces of all targets. */
export interface TargetPace {
  /**
   * Returns the targets that may receive one more request. Where none may, it
   * returns those with a free slot, or all.
   */
  getUsable(targets: readonly DirectTarget[]): readonly DirectTarget[];
  /**
   * Tells the same for a dry run: no pace begins or ends, and nothing is counted,
   * drawn or marked as limiting.
   */
  readonly preview: Pick<TargetPace, "getUsable" | "tryGetBound">;
  /** Counts a request that is sent now. */
  begin(target: DirectTarget): PacedRequest;
  /**
   * Records that a target is back from an ejection or a pause that began at
   * `since`, on the monotonic clock.
   */
  recordReturn(
    target: DirectTarget,
    options: {
      readonly reason: "recovered" | "paused";
      readonly since: number;
    },
  ): void;
  /** Returns the bound of a paced target, in concurrent requests. */
  tryGetBound(target: DirectTarget): number | undefined;
  /** Applies what a peer has reported. */
  merge(record: PaceRecord): void;
  readonly reports: Pick<PaceReports, "hasChanges" | "take">;
  /** Returns the running paces. */
  getAll(): readonly PaceState[];
  /** Forgets the targets that are gone. */
  retain(isKnown: (id: string) => boolean): void;
}

/** What the pace needs from the process. */
export interface TargetPaceHost {
  readonly log: Pick<Log, "info">;
  readonly metrics: Pick<Metrics, "count">;
  readonly loads: Pick<LoadView, "getLoad" | "getOwnLoads">;
  /** Returns true under contention. */
  isActive(): boolean;
  /** Returns the number of routers, this one included. */
  getRouterCount(): number;
  /** Returns the known targets. */
  getTargets(): readonly DirectTarget[];
  /** Returns a hash of 32 bits, the same at all routers. */
  hash(text: string): number;
  /** Returns a random number in [0, 1). */
  random(): number;
}

const uncounted: PacedRequest = {
  recordOutcome: () => undefined,
  recordSlowEvents: () => undefined,
};

/** Creates the paces of a router that knows no target. */
export function createTargetPace(host: TargetPaceHost): TargetPace {
  /** Running paces and, for a time, those that ended, by target id. */
  const paces = new Map<string, Pace>();
  /** Start times of the processes that were looked at, by target id. */
  const seen = new Map<string, number>();
  const reports = createPaceReports({
    getRecord,
    getRunning: () => getAll().map(({ target }) => target),
  });
  const shares = createPaceShares(host);
  const hashes = createTargetHashes(host);

  return {
    getUsable,
    preview: createPacePreview({
      ...{ loads: host.loads, isActive: host.isActive, shares },
      ...{ tryGetPace: (id) => paces.get(id), isNew },
    }),
    begin,
    recordReturn,
    tryGetBound: (target) => tryGetRunning(target)?.bound,
    merge,
    reports: { hasChanges: reports.hasChanges, take: reports.take },
    getAll,
    retain,
  };

  function getUsable(
    targets: readonly DirectTarget[],
  ): readonly DirectTarget[] {
    if (!host.isActive()) return targets;
    targets.forEach(lookAt);
    if (paces.size === 0) return targets;
    return getTaking(targets, {
      loads: host.loads,
      mayTake: (target) => mayTake(target, targets),
    });
  }

  /** Begins the pace of a process that has started lately, once. */
  function lookAt(target: DirectTarget): void {
    const { id, startedAtMs } = target;
    const begins = isNew(target);
    seen.set(id, startedAtMs);
    if (!begins || paces.get(id)?.target.startedAtMs === startedAtMs) return;
    start(target, { reason: "started", ageMs: getAgeMs(target), version: 0 });
  }

  /** Returns true for a process that was not looked at and started lately. */
  function isNew(target: DirectTarget): boolean {
    const { id, startedAtMs } = target;
    return seen.get(id) !== startedAtMs && startedAtMs > 0 &&
      getAgeMs(target) < maxPaceMs;
  }

  function mayTake(
    target: DirectTarget,
    targets: readonly DirectTarget[],
  ): boolean {
    const pace = tryGetRunning(target);
    if (pace === undefined) return true;
    const mayAdd = shares.mayAdd(pace, { target, targets });
    const load = host.loads.getLoad(target.id).requests;
    if (mayAdd && load < pace.bound) return true;
    pace.isLimiting = true;
    return false;
  }

  function begin(target: DirectTarget): PacedRequest {
    const pace = tryGetRunning(target);
    if (pace === undefined) return uncounted;
    const sentAt = performance.now();
    const counted = { outcome: false, slowEvents: false };
    if (host.loads.getLoad(target.id).requests >= pace.bound / 2) {
      pace.isLimiting = true;
    }
    return {
      recordOutcome: (outcome) => {
        if (counted.outcome || tryGetRunning(target) !== pace) return;
        counted.outcome = true;
        if (outcome === "healthy") recordHealthy(pace, sentAt);
        else recordUnhealthy(pace, { sentAt, outcome });
      },
      recordSlowEvents: () => {
        if (counted.slowEvents || tryGetRunning(target) !== pace) return;
        counted.slowEvents = true;
        recordUnhealthy(pace, { sentAt, outcome: "slow" });
      },
    };
  }

  function recordHealthy(pace: Pace, sentAt: number): void {
    if (sentAt < pace.stepAt) return;
    pace.healthy++;
    const needed = getHealthyNeeded(pace.bound, shares.getPart(pace));
    const isProved = pace.healthy >= needed &&
      pace.healthy > 2 * pace.unhealthy;
    if (!pace.isLimiting || !isProved) return;
    pace.bound = getRaisedBound(pace, pace.target.slots);
    host.metrics.count("pace_changes_total", { change: "rise" });
    startStep(pace);
    reports.offer(pace.target.id);
    if (pace.bound >= pace.target.slots) end(pace, "slots reached");
  }

  function recordUnhealthy(
    pace: Pace,
    { sentAt, outcome }: {
      readonly sentAt: number;
      readonly outcome: PaceOutcome;
    },
  ): void {
    // One overload shows in many responses, and lowers the bound once.
    if (sentAt < pace.fellAt) return;
    pace.unhealthy++;
    const needed = getHealthyNeeded(pace.bound, shares.getPart(pace));
    if (!isFallProved(pace, { outcome, needed })) return;
    const bound = getLoweredBound(pace.bound, outcome);
    host.metrics.count("pace_changes_total", { change: "fall" });
    host.log.info("Pace of a target falls", {
      ...{ target: pace.target.id, service: pace.target.service },
      ...{ reason: outcome, from: pace.bound, bound },
    });
    pace.version++;
    pace.bound = bound;
    fall(pace);
    reports.offer(pace.target.id);
  }

  function recordReturn(
    target: DirectTarget,
    { reason, since }: {
      readonly reason: "recovered" | "paused";
      readonly since: number;
    },
  ): void {
    if (!host.isActive()) return;
    const known = paces.get(target.id);
    const isSame = known?.target.startedAtMs === target.startedAtMs;
    // Another router has begun its pace after this return.
    if (isSame && known.beganAt >= since) return;
    const version = isSame ? known.version + 1 : 1;
    start(target, { reason, ageMs: 0, version });
    reports.offer(target.id);
  }

  function start(
    target: DirectTarget,
    { reason, ageMs, version, bound = getInitialBound(target.slots) }: {
      readonly reason: PaceReason;
      readonly ageMs: number;
      readonly version: number;
      readonly bound?: number;
    },
  ): void {
    const now = performance.now();
    paces.set(target.id, {
      ...{ target, reason, version, bound, beganAt: now - ageMs },
      hash: hashes.getHash(target),
      ...{ hasFallen: false, stepAt: now, fellAt: now, endedAt: undefined },
      ...{ healthy: 0, unhealthy: 0, isLimiting: false, window: undefined },
    });
    host.metrics.count("pace_changes_total", { change: "begin" });
    host.log.info("Pace of a target begins", {
      ...{ target: target.id, service: target.service, reason, bound },
      ...{ slots: target.slots, ageMs: Math.round(ageMs) },
    });
  }

  function end(pace: Pace, reason: string): void {
    const now = performance.now();
    pace.endedAt = now;
    host.metrics.count("pace_changes_total", { change: "end" });
    host.log.info("Pace of a target ends", {
      ...{ target: pace.target.id, service: pace.target.service, reason },
      ...{ bound: pace.bound, tookMs: Math.round(now - pace.beganAt) },
    });
  }

  /** Returns the pace of this process while it runs; ends it by its age. */
  function tryGetRunning({ id, startedAtMs }: DirectTarget): Pace | undefined {
    const pace = paces.get(id);
    if (pace === undefined || !host.isActive()) return undefined;
    const now = performance.now();
    if (pace.endedAt === undefined && now - pace.beganAt >= maxPaceMs) {
      end(pace, "established");
    }
    if (pace.endedAt !== undefined) {
      if (now - pace.endedAt >= retentionMs) paces.delete(id);
      return undefined;
    }
    return pace.target.startedAtMs === startedAtMs ? pace : undefined;
  }

  function merge(record: PaceRecord): void {
    if (!host.isActive() || record.ageMs >= maxPaceMs) return;
    const target = hashes.tryFind(record.hash);
    if (target === undefined) return;
    const { version, ageMs } = record;
    const bound = Math.max(1, Math.min(record.bound, target.slots));
    const known = paces.get(target.id);
    const isNew = known === undefined || known.hash !== record.hash ||
      (known.endedAt !== undefined && version > known.version);
    if (isNew) {
      start(target, { reason: "peer", ageMs, version, bound });
      endIfFull(target.id);
      return reports.recordReceived(target.id);
    }
    const order = comparePaces({ version, bound }, known);
    if (order < 0) return reports.repeat(target.id);
    reports.recordReceived(target.id);
    if (order === 0) return;
    const isLower = bound < known.bound;
    if (version > known.version) known.beganAt = performance.now() - ageMs;
    ({ version: known.version, bound: known.bound } = { version, bound });
    if (isLower) fall(known);
    else startStep(known);
    endIfFull(target.id);
  }

  function endIfFull(id: string): void {
    const pace = paces.get(id);
    if (pace === undefined || pace.endedAt !== undefined) return;
    if (pace.bound >= pace.target.slots) end(pace, "slots reached");
  }

  function getRecord(id: string): PaceRecord | undefined {
    const pace = paces.get(id);
    if (pace === undefined) return undefined;
    const { hash, version, bound, beganAt } = pace;
    return { hash, version, bound, ageMs: performance.now() - beganAt };
  }

  function getAll(): readonly PaceState[] {
    return [...paces.values()].flatMap((pace) => {
      if (tryGetRunning(pace.target) !== pace) return [];
      const { target, reason, bound, beganAt } = pace;
      const ageMs = Math.round(performance.now() - beganAt);
      return [{ target: target.id, reason, bound, slots: target.slots, ageMs }];
    });
  }

  function retain(isKnown: (id: string) => boolean): void {
    [...seen.keys()].filter((id) => !isKnown(id)).forEach((id) => {
      seen.delete(id);
      paces.delete(id);
      reports.forget(id);
    });
    hashes.clear();
  }
}

function getAgeMs({ startedAtMs }: DirectTarget): number {
  return Math.max(0, Date.now() - startedAtMs);
}

function fall(pace: Pace): void {
  pace.hasFallen = true;
  startStep(pace);
  pace.fellAt = pace.stepAt;
}

function startStep(pace: Pace): void {
  pace.stepAt = performance.now();
  pace.healthy = 0;
  pace.unhealthy = 0;
  pace.isLimiting = false;
}
