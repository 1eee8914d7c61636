/** Estimates the mean load of a service from the reports of some members. */

import type { MeanLoadEstimate } from "../../types/view.ts";

/** Load report of a member. */
export interface PeerReport {
  /** Work in flight and queued, in work units per weight of 100. */
  readonly load: number;
  /** The member's own estimate of the mean. */
  readonly mean: number;
}

/** Running estimate of the mean load of one service. */
export interface MeanEstimator {
  /** Records the report of a member. */
  recordReport(id: string, report: PeerReport): void;
  /** Removes the report of a member that no longer serves. */
  removeReport(id: string): void;
  /**
   * Returns the estimate over `targets` live targets. `ownLoad` is the load of
   * this process's target, undefined when it has none.
   */
  get(targets: number, ownLoad: number | undefined): MeanLoadEstimate;
}

/** A report with the time of its arrival. */
interface TimedReport extends PeerReport {
  /** Arrival by the monotonic clock, in milliseconds. */
  readonly at: number;
}

/** Creates an estimator without reports. */
export function createMeanEstimator(options: {
  /** Maximum age of a report relative to the newest one, in milliseconds. */
  readonly windowMs: number;
  /** Weight of the members' own estimates in the result, 0 to 1. */
  readonly peerMeanWeight: number;
}): MeanEstimator {
  const reports = new Map<string, TimedReport>();
  let newestAt = performance.now();
  /** Last estimate of the mean load of the other targets. */
  let othersMean: number | undefined;
  let estimatedAt = -1;

  return { recordReport, removeReport, get };

  function recordReport(id: string, report: PeerReport): void {
    const at = performance.now();
    reports.delete(id);
    reports.set(id, { ...report, at });
    newestAt = at;
    estimatedAt = -1;
  }

  function removeReport(id: string): void {
    if (reports.delete(id)) estimatedAt = -1;
  }

  function get(targets: number, ownLoad: number | undefined): MeanLoadEstimate {
    const now = performance.now();
    const ageMs = now - newestAt;
    if (estimatedAt !== now) {
      removeStaleReports();
      othersMean = estimateOthers(targets) ?? othersMean;
      estimatedAt = now;
    }
    return { mean: averageWithOwn(targets, ownLoad), targets, ageMs };
  }

  /**
   * Averages this target's load with the estimate for the other targets.
   * Without reports the last estimate is kept, whatever its age.
   */
  function averageWithOwn(
    targets: number,
    ownLoad: number | undefined,
  ): number {
    if (ownLoad === undefined) return othersMean ?? 0;
    if (othersMean === undefined) return ownLoad;
    const others = Math.max(0, targets - 1);
    return (ownLoad + othersMean * others) / (others + 1);
  }

  /**
   * Removes stale reports. Ages count from the newest report, so the last ones
   * stay when no more arrive.
   */
  function removeStaleReports(): void {
    for (const [id, { at }] of reports) {
      if (newestAt - at <= options.windowMs) return;
      reports.delete(id);
    }
  }

  function estimateOthers(targets: number): number | undefined {
    if (reports.size === 0) return undefined;
    let loads = 0;
    let means = 0;
    for (const { load, mean } of reports.values()) {
      loads += load;
      means += mean;
    }
    const sampledMean = loads / reports.size;
    // Reports from at least half of the other targets suffice by themselves.
    if (reports.size * 2 >= targets - 1) return sampledMean;
    const weight = options.peerMeanWeight;
    return sampledMean * (1 - weight) + means / reports.size * weight;
  }
}
