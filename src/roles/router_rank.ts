/** Ranks the routers for a key, so that one of them has the first turn. */

import type { Placement } from "../process/placement/placement.ts";

/** Rank from which routers do not wait longer for their turn. */
const maxRank = 40;

/** Returns a function that gives this router's rank for a key from 0. */
export function createRouterRank(
  { selfId, placement, getRouterIds }: {
    readonly selfId: string;
    readonly placement: Placement;
    /** Returns the ids of the registered routers. */
    getRouterIds(): Iterable<string>;
  },
): (key: string) => number {
  return (key) => {
    const candidates = [...getRouterIds()].map((id) => ({ id, weight: 100 }));
    const rank = placement
      .rankTargets(key, candidates, { limit: maxRank })
      .findIndex(({ id }) => id === selfId);
    return rank < 0 ? maxRank : rank;
  };
}
