/**
 * Chooses the target of a call to a plain service.
 *
 * Load pattern: short calls on few targets with few slots, of which some fail
 * or fill up in a surge. The target with the largest part of its slots free
 * takes the call; equal ones are drawn, so that routers do not follow each
 * other.
 */

import type { DirectTarget } from "../../types/direct_target.ts";

/** One target that may take the call. */
export interface SlotCandidate {
  readonly target: DirectTarget;
  /** Calls that run or wait there, as far as known. */
  readonly load: number;
}

/** Calls by which a target in the own availability zone may be busier. */
const crossZonePenaltyCalls = 0.25;

/** Part of a draw; only decides among targets that are equal. */
const tieBreakCalls = 0.2;

/** Chooses among candidates; undefined when there are none. */
export function chooseSlot(
  candidates: readonly SlotCandidate[],
  options: { readonly zone: string; random(): number },
): SlotCandidate | undefined {
  let chosen: SlotCandidate | undefined;
  let minCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const { target, load } = candidate;
    const zonePenalty = target.zone === options.zone
      ? 0
      : crossZonePenaltyCalls;
    const weightedLoad = load + zonePenalty + options.random() * tieBreakCalls;
    const cost = weightedLoad / Math.max(1, target.slots);
    if (cost >= minCost) continue;
    minCost = cost;
    chosen = candidate;
  }
  return chosen;
}
