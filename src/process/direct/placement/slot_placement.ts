/**
 * Chooses the target of a call to a plain service.
 *
 * Load pattern: short calls to a few targets with few slots each; in a surge
 * some targets fail or fill up. The target with the lowest load per slot
 * receives the call. Ties are broken at random, so that routers do not all
 * choose the same target.
 *
 * Where the speed of targets is estimated, those with a free slot come first, and
 * of them the one that is expected to finish the call first. Unsafe calls, which
 * run only once, avoid targets that have been slow as long as another has a free
 * slot.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";

/** A target that may receive the call. */
export interface SlotCandidate {
  readonly target: DirectTarget;
  /** Calls that run or wait at the target, as far as known. */
  readonly load: number;
  /**
   * Time that calls are expected to take, relative to the usual time; undefined
   * where that is not estimated.
   */
  readonly slowdown?: number | undefined;
}

/** A candidate with its cost; the lowest one is chosen. */
export interface PricedSlot {
  readonly candidate: SlotCandidate;
  readonly cost: number;
}

/** Load added to targets in another availability zone, in calls. */
const crossZonePenaltyCalls = 0.25;

/** Maximum random load added, in calls; only breaks ties between targets. */
const tieBreakCalls = 0.2;

/**
 * Slowdown, as a multiple of the lowest one, from which a target is avoided by
 * unsafe calls.
 */
const slowMultiple = 1.5;

/** Chooses the lowest load per slot; undefined without candidates. */
export function chooseSlot(
  candidates: readonly SlotCandidate[],
  options: {
    readonly zone: string;
    readonly isUnsafe?: boolean;
    random(): number;
  },
): SlotCandidate | undefined {
  let chosen: PricedSlot | undefined;
  for (const priced of priceSlots(candidates, options)) {
    if (chosen === undefined || priced.cost < chosen.cost) chosen = priced;
  }
  return chosen?.candidate;
}

/** Returns the candidates that the call may go to, with their costs. */
export function priceSlots(
  candidates: readonly SlotCandidate[],
  options: Parameters<typeof chooseSlot>[1],
): readonly PricedSlot[] {
  const isEstimated = candidates.some(({ slowdown }) => slowdown !== undefined);
  const preferred = isEstimated
    ? getPreferred(candidates, options)
    : candidates;
  return preferred.map((candidate) => {
    const { target, load, slowdown = 1 } = candidate;
    const zonePenalty = target.zone === options.zone
      ? 0
      : crossZonePenaltyCalls;
    const weightedLoad = load + zonePenalty + options.random() * tieBreakCalls;
    const slots = Math.max(1, target.slots);
    const cost = isEstimated
      ? getExpectedCost({ slots, weightedLoad, slowdown })
      : weightedLoad / slots;
    return { candidate, cost };
  });
}

/** Returns the time until the end of the call, in usual runs. */
function getExpectedCost(
  { slots, weightedLoad, slowdown }: {
    readonly slots: number;
    readonly weightedLoad: number;
    readonly slowdown: number;
  },
): number {
  const waitingRuns = Math.max(0, weightedLoad + 1 - slots) / slots;
  return slowdown * (1 + waitingRuns + weightedLoad / slots);
}

/** Returns the candidates with a free slot that the call may use, or all. */
function getPreferred(
  candidates: readonly SlotCandidate[],
  { isUnsafe }: { readonly isUnsafe?: boolean },
): readonly SlotCandidate[] {
  const free = candidates.filter(({ target, load }) => load < target.slots);
  const fast = getFastTargets(free, ({ slowdown = 1 }) => slowdown);
  return [isUnsafe === true ? fast : free, free, candidates]
    .find(({ length }) => length > 0) ?? [];
}

/** Returns the targets that are not much slower than the fastest of them. */
export function getFastTargets<Candidate>(
  candidates: readonly Candidate[],
  getSlowdown: (candidate: Candidate) => number,
): readonly Candidate[] {
  const minSlowdown = Math.min(...candidates.map(getSlowdown));
  return candidates.filter((candidate) =>
    getSlowdown(candidate) < minSlowdown * slowMultiple
  );
}
