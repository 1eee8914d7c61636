/**
 * Decides whether a target admits more work, so that its load stays within a
 * multiple of the service's mean. This bounds the load of hot spots, which
 * placement by hash alone cannot avoid.
 *
 * Work of `w` units is admitted at load `l` when
 * `l + w <= max(multiple * m, m + w)`, where `m` is the mean with the new work
 * included, and the multiple is slightly below the configured one. The second
 * term lets a target at or below the mean admit one request, so some target
 * always admits and small fleets make progress.
 *
 * Work whose context the target does not hold gets a lower multiple: another
 * target can run it at no extra cost, and the load between the two multiples is
 * reserved for returning chats.
 */

import type { MeanLoadEstimate } from "../../types/view.ts";

/** What the gate reads from its agent. */
export interface LoadGateHost {
  /** Returns the mean load of the service as this process knows it. */
  getMean(): MeanLoadEstimate;
  /** Returns the configured load multiple; above 1. */
  getLoadMultiple(): number;
  /** Returns the multiple for work whose context the target does not hold. */
  getColdMultiple(): number;
}

/** Decision of the gate. */
export type GateDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    /** Maximum load that was allowed, in work units per weight of 100. */
    readonly bound: number;
  };

/** A request for admission, with the observations of its router. */
export interface GateQuery {
  /** Work of the request, in work units per weight of 100. */
  readonly work: number;
  /**
   * Loads of the targets that have just refused this request, all chosen by
   * hash alone, in work units per weight of 100.
   */
  readonly observedLoads: readonly number[];
  /** Number of the service's targets that recently did not respond. */
  readonly silentTargets: number;
  /** True when the target holds the context of the request. */
  readonly isHeld: boolean;
}

/** Load of one target, with the admission check for more. */
export interface LoadGate {
  /** Decides on a request without changing the load. */
  check(query: GateQuery): GateDecision;
  /** Adds admitted work. */
  add(work: number): void;
  /** Subtracts work that has ended, or the finished share of it. */
  remove(work: number): void;
  /** Sets the work at the target that this process did not admit. */
  setForeignLoad(load: number): void;
  /** Returns the load, in work units per weight of 100. */
  getLoad(): number;
}

/** Number of observed loads sufficient to correct a stale mean. */
const minObservedLoads = 3;

/** Share of the load multiple held in reserve, as the known mean lags. */
const staleMeanMargin = 0.04;

/**
 * Share of the load between the mean and the load multiple that work may use
 * whose context the target does not hold.
 */
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

/** Creates a gate without load. */
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
    // A target that does not respond cannot take a share of the load.
    const targets = Math.max(1, estimate.targets - silentTargets);
    const mean = Math.max(
      targets === 1 ? getLoad() : estimate.mean,
      getObservedMean(observedLoads, targets),
    );
    const meanWithWork = mean + work / targets;
    // Once several targets have refused, all work gets the full multiple.
    const isCold = !isHeld && observedLoads.length < minObservedLoads;
    const warmMultiple = host.getLoadMultiple() * (1 - staleMeanMargin);
    const multiple = isCold
      ? Math.min(warmMultiple, host.getColdMultiple())
      : warmMultiple;
    return Math.max(multiple * meanWithWork, mean + work);
  }

  /**
   * Returns the mean of the observed loads and this target's load, 0 if too few
   * are known. Targets asked in order of hash are a fair sample. When several
   * of them refuse, the known mean is probably stale, as in a sudden surge.
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
