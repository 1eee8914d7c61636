/** Estimates the mean load of a service from reports of some members. */

import type { MeanEstimate } from "../../types/view.ts";

/** A member's report of its load. */
export interface PeerReport {
  /** Work in flight and queued, in work units per weight of 100. */
  readonly load: number;
  /** The reporter's own estimate of the mean. */
  readonly mean: number;
}

/** The running estimate of one service's mean load. */
export interface MeanEstimator {
  /** Takes a report from a member. */
  recordReport(id: string, report: PeerReport): void;
  /** Forgets a member that serves no more. */
  removeReport(id: string): void;
  /**
   * Returns the estimate over `targets` live targets, of which the own one
   * carries `ownLoad`; `undefined` when this process has no target.
   */
  get(targets: number, ownLoad: number | undefined): MeanEstimate;
}

interface TimedReport extends PeerReport {
  readonly at: number;
}

/** Creates an estimate without reports. */
export function createMeanEstimator(options: {
  /** Age, against the newest report, from which a report counts no more. */
  readonly windowMs: number;
  /** Share of the reporters' own estimates in the result, 0 to 1. */
  readonly peerMeanWeight: number;
}): MeanEstimator {
  const reports = new Map<string, TimedReport>();
  let newestAt = performance.now();
  /** Mean of the other targets' loads as last worked out. */
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

  function get(targets: number, ownLoad: number | undefined): MeanEstimate {
    const now = performance.now();
    const ageMs = now - newestAt;
    if (estimatedAt !== now) {
      removeStaleReports();
      othersMean = estimateOthers(targets) ?? othersMean;
      estimatedAt = now;
    }
    return { mean: averageWithOwn(targets, ownLoad), targets, ageMs };
  }

  /** Without any report the last estimate is held, whatever its age. */
  function averageWithOwn(
    targets: number,
    ownLoad: number | undefined,
  ): number {
    if (ownLoad === undefined) return othersMean ?? 0;
    if (othersMean === undefined) return ownLoad;
    const others = Math.max(0, targets - 1);
    return (ownLoad + othersMean * others) / (others + 1);
  }

  /** Ages count from the newest report, so that the last ones are held. */
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
    // A table of nearly all members needs no help from others' estimates.
    if (reports.size * 2 >= targets - 1) return sampledMean;
    const weight = options.peerMeanWeight;
    return sampledMean * (1 - weight) + means / reports.size * weight;
  }
}
