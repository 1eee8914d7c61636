/**
 * Divides the rate that a target takes among all routers, without messages.
 *
 * Load pattern: a target takes a few requests a second from a fleet of five
 * routers or of hundreds. A share of the rate for each router would let all of
 * them send at once, and a request to an owner of the rate would cost a round
 * trip. So time is divided into slots of one request, which go to the routers in
 * turn. All routers see the same slots as far as their clocks agree; where they
 * don't, the slots of a router still come at its share of the rate.
 */

import type { RouterPlace } from "../peers/router_roster.ts";

/** The slots of one router at one target. */
export interface SlotSequence {
  /** Time from one slot of this router to its next one, in milliseconds. */
  readonly periodMs: number;
  /** Time of one of the slots, in epoch milliseconds. */
  readonly originMs: number;
}

const msPerSecond = 1_000;

/** Returns the slots of the router at a place. */
export function createSlotSequence(
  perS: number,
  { index, count }: RouterPlace,
  options: {
    /** Differs between targets, so that a router's slots are spread. */
    readonly offset: number;
  },
): SlotSequence {
  const slotMs = msPerSecond / perS;
  const position = (index + options.offset) % count;
  return { periodMs: slotMs * count, originMs: slotMs * position };
}

/** Returns the time of the first slot at or after a time. */
export function getFirstSlot(
  { periodMs, originMs }: SlotSequence,
  from: number,
): number {
  return originMs + Math.ceil((from - originMs) / periodMs) * periodMs;
}
