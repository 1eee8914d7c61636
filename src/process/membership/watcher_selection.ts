/**
 * Selects the routers that watch the platform for their availability zone, by
 * rendezvous hashing. No election is needed: while the processes' member
 * tables differ, more of them watch, which is harmless. A zone without a live
 * router has no watcher.
 */

import type { Member } from "../../types/member.ts";
import { hashText } from "./member_order.ts";

/** Number of watchers in each availability zone. */
export const watchersPerZone = 2;

/** Returns true when `self` is a watcher of its availability zone. */
export function isWatcher(
  self: Member,
  members: readonly Member[],
): boolean {
  const zoneMembers = members.filter(({ zone }) => zone === self.zone);
  return getWatchers(zoneMembers).some(({ id }) => id === self.id);
}

/**
 * Returns true when it is the turn of `self` to read the platform's VM list.
 * The watchers of all zones take turns, so that the list is read at a constant
 * rate and each watcher reads it less often as the fleet gets more zones.
 */
export function isListTurn(
  self: Member,
  members: readonly Member[],
  turn: number,
): boolean {
  const watchers = getWatchers(members);
  return watchers[turn % watchers.length]?.id === self.id;
}

/** Returns the highest ranked live routers of each zone, in order of id. */
function getWatchers(members: readonly Member[]): readonly Member[] {
  const zones = new Map<string, Member[]>();
  for (const member of members) {
    if (member.role !== "router" || member.state !== "live") continue;
    const routers = zones.get(member.zone) ?? [];
    routers.push(member);
    zones.set(member.zone, routers);
  }
  return [...zones.values()]
    .flatMap((routers) =>
      routers
        .map((router) => ({ router, rank: getRank(router) }))
        .sort((left, right) =>
          right.rank - left.rank || compareIds(left.router, right.router)
        )
        .slice(0, watchersPerZone)
        .map(({ router }) => router)
    )
    .sort(compareIds);
}

function compareIds(left: Member, right: Member): number {
  return left.id < right.id ? -1 : 1;
}

function getRank(member: Member): number {
  return hashText(`watch/${member.zone}/${member.id}`);
}
