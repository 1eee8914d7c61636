/**
 * Tells targets that have crashed from those that only dropped a connection. A
 * process that has ended accepts no new connection; one that resets connections,
 * sends a corrupted response or is cut off does not refuse any.
 *
 * Load pattern: a crash ends all requests at the target at the same moment, so
 * they share one probe.
 */

import type { ProbeResult } from "../../../types/direct_calls.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";

/** Maximum number of crashed targets that are remembered. */
const maxCrashedTargets = 1_024;

/** Counters of probes by what causes them. */
const probeCounters = {
  dropped_connection: "dropped_connections_total",
  aborted_attempt: "aborted_attempt_probes_total",
} as const;

type ProbeCause = keyof typeof probeCounters;

/** What the check needs from the process. */
export interface TargetCrashesHost {
  readonly log: Pick<Log, "warn">;
  readonly metrics: Pick<Metrics, "count">;
  /** Tries to connect to an address. */
  probe(address: string): Promise<ProbeResult>;
  /** Returns true while the target has not said that it leaves. */
  mayReceive(target: DirectTarget): boolean;
  /** Called once for each process that has crashed. */
  handleCrash(target: DirectTarget): void;
}

/** The crashes of targets that this router has seen. */
export interface TargetCrashes {
  /**
   * Resolves to true when a target that dropped a connection has crashed. A
   * target that leaves ends as planned and has not.
   */
  check(target: DirectTarget): Promise<boolean>;
  /**
   * As `check`, for a target that dropped no connection of this router and has not
   * said that it leaves.
   */
  checkAborted(target: DirectTarget): Promise<boolean>;
  /**
   * Returns true when this process has crashed. Another one may be at its address
   * before its entry tells what that is.
   */
  hasCrashed(target: DirectTarget): boolean;
}

/** Creates the check of a router that has seen no crash. */
export function createTargetCrashes(host: TargetCrashesHost): TargetCrashes {
  /** Running probes, and the results of those that found a crash, by process. */
  const checks = new Map<string, Promise<boolean>>();
  /** Processes that have crashed. */
  const crashedLives = new Set<string>();

  return {
    check,
    checkAborted: (target) => startCheck(target, "aborted_attempt"),
    hasCrashed: (target) => crashedLives.has(getTargetLife(target)),
  };

  function check(target: DirectTarget): Promise<boolean> {
    const life = getTargetLife(target);
    // A target that leaves may end before the probe is over.
    if (!checks.has(life) && !host.mayReceive(target)) {
      return Promise.resolve(false);
    }
    return startCheck(target, "dropped_connection");
  }

  function startCheck(
    target: DirectTarget,
    cause: ProbeCause,
  ): Promise<boolean> {
    const life = getTargetLife(target);
    const known = checks.get(life);
    if (known !== undefined) return known;
    const started = probe(target, { life, cause });
    checks.set(life, started);
    return started;
  }

  async function probe(
    target: DirectTarget,
    { life, cause }: { readonly life: string; readonly cause: ProbeCause },
  ): Promise<boolean> {
    const result = await host.probe(target.address);
    const hasCrashed = result === "refuses";
    if (hasCrashed) crashedLives.add(life);
    else checks.delete(life);
    dropOldest();
    host.metrics.count(probeCounters[cause], { probe: result });
    if (hasCrashed) {
      const { id, service, address } = target;
      host.log.warn("Target has crashed", { target: id, service, address });
      host.handleCrash(target);
    }
    return hasCrashed;
  }

  function dropOldest(): void {
    if (checks.size <= maxCrashedTargets) return;
    const [oldest] = checks.keys();
    if (oldest === undefined) return;
    checks.delete(oldest);
    crashedLives.delete(oldest);
  }
}

/** Identifies one process of a target; a restart may keep the target's id. */
export function getTargetLife({ id, startedAtMs }: DirectTarget): string {
  return `${id}@${startedAtMs}`;
}
