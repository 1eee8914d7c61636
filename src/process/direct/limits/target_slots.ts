/**
 * Tells which slots a router has at targets with a rate, and takes none of them.
 *
 * The same code answers for requests that are sent and for dry runs. It differs in
 * what it reads: a dry run reads copies, so that a target that nothing was sent to
 * is not recorded as known.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { RouterRoster } from "../peers/router_roster.ts";
import type { SlotState } from "../placement/prefix_placement.ts";
import {
  createSlotSequence,
  getFirstSlot,
  type SlotSequence,
} from "./limit_schedule.ts";
import type { ColdTarget } from "./warm_up_rates.ts";

/**
 * Time after a slot in which it can be used, in milliseconds. What arrives in a
 * window of a divided fleet bounds it: 4 s for named rates, 1 s for cold targets.
 */
const slotTtlMs = { named: 800, cold: 400 } as const;

/** Part of that time in which a slot counts as fresh. */
const freshSlotShare = 0.5;

/**
 * Rate at which a target that takes nothing or nearly nothing still gets
 * requests, so that the end of its limit is noticed.
 */
export const minPerS = 0.1;

/**
 * Minimum time between two slots of a router: part of their period, and a maximum
 * in milliseconds. Slots move when the rate or the number of routers changes.
 */
const minSlotDistance = { periodShare: 0.9, maxMs: 2_000 } as const;

/** Rise of a limit that moves no slots, as a share of it. */
const ignoredRise = 0.15;

/** The slots of one target. */
export interface TargetSlots {
  /** Offset of this target's slots from those of others. */
  readonly offset: number;
  /** Requests a second by which slots are set, no more than the limit. */
  scheduledPerS: number;
  /** Time of the latest slot that was taken, in epoch milliseconds. */
  takenUntil: number;
  /** Times of slots that were given back, in epoch milliseconds. */
  returned: readonly number[];
}

/** What slots are read from. */
export interface TargetSlotsHost {
  /** Returns true while no target can have a rate. */
  isEmpty(): boolean;
  /** Returns the rate that a target names; undefined without one. */
  tryGetNamedPerS(address: string): number | undefined;
  tryGetCold(address: string): ColdTarget | undefined;
  getSlots(address: string): TargetSlots;
  readonly getPlace: RouterRoster["getPlace"];
  /** Returns epoch milliseconds that grow steadily. */
  getTime(): number;
  /** Epoch milliseconds at the origin of the monotonic clock. */
  readonly clockOriginMs: number;
  /**
   * Returns the time from which this router uses slots, in epoch milliseconds by
   * its own clock.
   */
  getSettledAt(): number;
}

/** The slots of one router, as they are now. */
export interface SlotReader {
  /** Returns the rate in force; undefined without one. */
  tryGetPerS(address: string): number | undefined;
  /** Returns the targets that may receive a request now. */
  getUsable(targets: readonly DirectTarget[]): readonly DirectTarget[];
  /** Returns the slot that is free at a target; undefined without a rate. */
  tryGetSlotState(target: DirectTarget): SlotState | undefined;
  /** Returns true when the target limits its requests. */
  isLimited(target: DirectTarget): boolean;
  /** Returns true when there are targets and each has a limit. */
  areAllLimited(targets: readonly DirectTarget[]): boolean;
  /** Returns a slot that can be used now. */
  tryGetSlot(address: string, perS: number): number | undefined;
  /** Returns the first slot that is neither taken nor lost. */
  getNextSlot(address: string, perS: number): number;
  /** Returns the time for which a slot can be used, in milliseconds. */
  getSlotTtlMs(address: string): number;
}

/** Creates a reader of a router's slots. */
export function createSlotReader(host: TargetSlotsHost): SlotReader {
  return {
    tryGetPerS,
    getUsable,
    tryGetSlotState,
    isLimited,
    areAllLimited,
    tryGetSlot,
    getNextSlot,
    getSlotTtlMs,
  };

  /** Returns the rate in force; undefined without one. */
  function tryGetPerS(address: string): number | undefined {
    const namedPerS = host.tryGetNamedPerS(address);
    const coldPerS = host.tryGetCold(address)?.perS;
    return coldPerS === undefined || (namedPerS ?? coldPerS) < coldPerS
      ? namedPerS
      : coldPerS;
  }

  function getUsable(
    targets: readonly DirectTarget[],
  ): readonly DirectTarget[] {
    if (host.isEmpty()) return targets;
    return targets.filter(({ address }) => {
      const perS = tryGetPerS(address);
      return perS === undefined || tryGetSlot(address, perS) !== undefined;
    });
  }

  function tryGetSlotState({ address }: DirectTarget): SlotState | undefined {
    const perS = tryGetPerS(address);
    const slotAt = perS === undefined ? undefined : tryGetSlot(address, perS);
    if (slotAt === undefined) return undefined;
    const age = host.getTime() - slotAt < getSlotTtlMs(address) * freshSlotShare
      ? "fresh"
      : "late";
    // A cold target that names a lower rate is cold all the same.
    return host.tryGetCold(address) === undefined ? age : `cold_${age}`;
  }

  function areAllLimited(targets: readonly DirectTarget[]): boolean {
    return targets.length > 0 && targets.every(isLimited);
  }

  function isLimited({ address }: DirectTarget): boolean {
    return tryGetPerS(address) !== undefined;
  }

  function getSequence(address: string, perS: number): SlotSequence {
    const slots = host.getSlots(address);
    const { scheduledPerS, offset } = slots;
    if (perS < scheduledPerS || perS > scheduledPerS * (1 + ignoredRise)) {
      slots.scheduledPerS = perS;
    }
    const ratePerS = Math.max(minPerS, slots.scheduledPerS);
    // A cold target crashes above its rate, so silent routers keep their slots.
    const countsSilent = host.tryGetCold(address) !== undefined;
    const place = host.getPlace({ countsSilent });
    return createSlotSequence(ratePerS, place, { offset });
  }

  /** Returns a slot that can be used now. */
  function tryGetSlot(address: string, perS: number): number | undefined {
    const now = host.getTime();
    const returned = host.getSlots(address).returned
      .find((slotAt) => slotAt >= now - getSlotTtlMs(address));
    if (returned !== undefined) return returned;
    const slotAt = getNextSlot(address, perS);
    return slotAt <= now ? slotAt : undefined;
  }

  /** Returns the first slot that is neither taken nor lost. */
  function getNextSlot(address: string, perS: number): number {
    const sequence = getSequence(address, perS);
    const { takenUntil } = host.getSlots(address);
    const { periodShare, maxMs } = minSlotDistance;
    const minDistanceMs = Math.min(sequence.periodMs * periodShare, maxMs);
    return getFirstSlot(
      sequence,
      Math.max(
        host.getTime() - getSlotTtlMs(address),
        takenUntil + minDistanceMs,
        host.getSettledAt(),
        getColdSince(address),
      ),
    );
  }

  /**
   * Returns when this router first held a target cold, in epoch milliseconds. A
   * slot from before that was used by a request that needed none.
   */
  function getColdSince(address: string): number {
    const { since } = host.tryGetCold(address) ?? { since: -Infinity };
    return host.clockOriginMs + since;
  }

  function getSlotTtlMs(address: string): number {
    return slotTtlMs[host.tryGetCold(address) === undefined ? "named" : "cold"];
  }
}
