/** Estimates the mean load of a service from reports of some members. */

import type { MeanLoadEstimate } from "../../types/view.ts";

/** A member's report of its load. */
export interface Report {
  /** Work in flight and queued, in work units per weight of 100. */
  readonly load: number;
  /** The reporter's own estimate of the mean. */
  readonly mean: number;
}

/** The running estimate of one service's mean load. */
export interface Mean {
  /** Takes a report from a member. */
  note(id: string, report: Report): void;
  /** Forgets a member that serves no more. */
  forget(id: string): void;
  /**
   * Returns the estimate over `targets` live targets, of which the own one
   * carries `ownLoad`; `undefined` when this process has no target.
   */
  get(targets: number, ownLoad: number | undefined): MeanLoadEstimate;
}

interface HeldReport extends Report {
  readonly at: number;
}

/** Creates an estimate without reports. */
export function createMean(options: {
  /** Age, against the newest report, from which a report counts no more. */
  readonly windowMs: number;
  /** Share of the reporters' own estimates in the result, 0 to 1. */
  readonly peerMeanWeight: number;
}): Mean {
  const reports = new Map<string, HeldReport>();
  let newestAt = performance.now();
  /** Mean of the other targets' loads as last worked out. */
  let heldOthers: number | undefined;
  let cachedAt = -1;

  return { note, forget, get };

  function note(id: string, report: Report): void {
    const at = performance.now();
    reports.delete(id);
    reports.set(id, { ...report, at });
    newestAt = at;
    cachedAt = -1;
  }

  function forget(id: string): void {
    if (reports.delete(id)) cachedAt = -1;
  }

  function get(targets: number, ownLoad: number | undefined): MeanLoadEstimate {
    const now = performance.now();
    const ageMs = now - newestAt;
    if (cachedAt !== now) {
      dropOld();
      heldOthers = estimateOthers(targets) ?? heldOthers;
      cachedAt = now;
    }
    return { mean: addOwn(targets, ownLoad), targets, ageMs };
  }

  /** Without any report the last estimate is held, whatever its age. */
  function addOwn(targets: number, ownLoad: number | undefined): number {
    if (ownLoad === undefined) return heldOthers ?? 0;
    if (heldOthers === undefined) return ownLoad;
    const others = Math.max(0, targets - 1);
    return (ownLoad + heldOthers * others) / (others + 1);
  }

  /** Ages count from the newest report, so that the last ones are held. */
  function dropOld(): void {
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
    const sampled = loads / reports.size;
    // A table of nearly all members needs no help from others' estimates.
    if (reports.size * 2 >= targets - 1) return sampled;
    const weight = options.peerMeanWeight;
    return sampled * (1 - weight) + means / reports.size * weight;
  }
}
