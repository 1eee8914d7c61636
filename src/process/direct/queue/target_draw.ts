/**
 * Draws the plain target that a request is sent to.
 *
 * Load pattern: routers that all choose the least loaded target of the last
 * digests overload it, so targets are drawn by the square of their room.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import { getFastTargets } from "../placement/slot_placement.ts";
import type { QueuedRequest, TargetChance } from "./queued_request.ts";

/** What is known of the targets. */
export interface TargetRooms {
  readonly usable: readonly DirectTarget[];
  /** Returns how many more requests a target has room for. */
  getRoom(target: DirectTarget): number;
  /** Returns the time that calls take at a target, relative to the usual. */
  getSlowdown(target: DirectTarget): number;
}

/**
 * Returns the targets with room for a request and the probability of each, by
 * the square of its room in expected time. Unsafe calls run only once, so they
 * avoid slow targets while another has room.
 */
export function getTargetChances(
  request: QueuedRequest,
  { usable, getRoom, getSlowdown }: TargetRooms,
): readonly TargetChance[] {
  const open: { readonly target: DirectTarget; readonly room: number }[] = [];
  for (const target of usable) {
    const room = request.mayUse(target) ? getRoom(target) : 0;
    if (room > 0) open.push({ target, room });
  }
  const targets = request.isUnsafe
    ? getFastTargets(open, ({ target }) => getSlowdown(target))
    : open;
  const weights = targets.map(({ target, room }) =>
    (room / getSlowdown(target)) ** 2
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return targets.map(({ target }, index) => ({
    target,
    chance: (weights[index] ?? 0) / sum,
  }));
}

/** Draws a target by a random number in [0, 1); undefined without any. */
export function tryDrawTarget(
  chances: readonly TargetChance[],
  random: number,
): DirectTarget | undefined {
  let left = random;
  return chances.find(({ chance }) => (left -= chance) < 0)?.target ??
    chances.at(-1)?.target;
}
