/**
 * Decides whether a target may take more work, so that no target is loaded
 * beyond a multiple of its service's mean.
 *
 * Work of `w` units is admitted at load `l` when
 * `l + w <= max(multiple * m, m + w)`, where `m` is the mean with the new work
 * counted in, and the multiple is a little below the configured one. The second term lets a target at or below the mean take one
 * request, so some target always admits and small fleets make progress.
 *
 * Work whose context is not here is held to a lower multiple: it loses nothing
 * elsewhere, and the room above is kept for chats that return.
 */

import type { MeanEstimate } from "../../types/view.ts";

/** What the gate needs from outside. */
export interface LoadGateHost {
  /** The mean that this process knows of its service. */
  getMean(): MeanEstimate;
  /** The configured multiple; above 1. */
  getLoadMultiple(): number;
  /** The multiple for work whose context the target does not hold. */
  getColdMultiple(): number;
}

/** What the gate decided. */
export type GateDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    /** Highest load that would have been allowed, in work units. */
    readonly bound: number;
  };

/** One question to the gate. */
export interface GateQuery {
  /** Work of the request, in work units per weight of 100. */
  readonly work: number;
  /**
   * Loads of other targets that the router asked just before for this same
   * request, chosen by hash alone, in work units per weight of 100.
   */
  readonly observedLoads: readonly number[];
  /** Targets that gave the router no answer just before; 0 when none. */
  readonly silentTargets: number;
  /** True when the target holds the context of the request. */
  readonly isHeld: boolean;
}

/** Holds the load of one target. */
export interface LoadGate {
  /** Answers without changing the load. */
  check(query: GateQuery): GateDecision;
  /** Adds admitted work. */
  add(work: number): void;
  /** Takes away work that has ended, or the part that is done. */
  remove(work: number): void;
  /** Sets work found at the target that this process did not admit. */
  setForeignLoad(load: number): void;
  /** The load in work units per weight of 100. */
  getLoad(): number;
}

/** Observed loads that are enough to correct a mean that is behind. */
const minObservedLoads = 3;

/** Part of the load multiple that is kept in hand, as the mean is known late. */
const staleMeanMargin = 0.04;

/** Part of the room above the mean that is open to work without a context. */
const coldRoomShare = 0.4;

/**
 * Returns the multiple for work whose context the target does not hold: the
 * configured one, never above the load multiple.
 *
 * With a load multiple of 1.25 and none configured it is 1.1.
 */
export function getColdMultiple(
  loadMultiple: number,
  configured: number | undefined,
): number {
  const multiple = configured ?? 1 + (loadMultiple - 1) * coldRoomShare;
  return Math.min(loadMultiple, multiple);
}

/** Creates a gate with no load. */
export function createLoadGate(host: LoadGateHost): LoadGate {
  let ownLoad = 0;
  let foreignLoad = 0;

  return { check, add, remove, setForeignLoad, getLoad };

  function check(query: GateQuery): GateDecision {
    const { work } = query;
    const bound = getBound(query);
    return getLoad() + work <= bound
      ? { kind: "admitted" }
      : { kind: "refused", bound };
  }

  function getBound(query: GateQuery): number {
    const { work, observedLoads, silentTargets, isHeld } = query;
    const estimate = host.getMean();
    // A target that gives no answer can take no part of the load.
    const targets = Math.max(1, estimate.targets - silentTargets);
    const mean = Math.max(
      targets === 1 ? getLoad() : estimate.mean,
      getObservedMean(observedLoads, targets),
    );
    const meanWithWork = mean + work / targets;
    // Once several targets have refused, the whole multiple is open to all.
    const isCold = !isHeld && observedLoads.length < minObservedLoads;
    const warmMultiple = host.getLoadMultiple() * (1 - staleMeanMargin);
    const multiple = isCold
      ? Math.min(warmMultiple, host.getColdMultiple())
      : warmMultiple;
    return Math.max(multiple * meanWithWork, mean + work);
  }

  /**
   * Targets asked in order of hash are a fair sample. When several of them
   * refuse, the mean known here is likely behind, as in a sudden surge.
   */
  function getObservedMean(loads: readonly number[], targets: number): number {
    const needed = Math.min(minObservedLoads, targets - 1);
    if (needed < 1 || loads.length < needed) return 0;
    const sum = loads.reduce((total, load) => total + load, getLoad());
    return sum / (loads.length + 1);
  }

  function add(work: number): void {
    ownLoad += work;
  }

  function remove(work: number): void {
    ownLoad = Math.max(0, ownLoad - work);
  }

  function setForeignLoad(load: number): void {
    foreignLoad = Math.max(0, load);
  }

  function getLoad(): number {
    return ownLoad + foreignLoad;
  }
}
