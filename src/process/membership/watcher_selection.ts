/**
 * Decides which processes watch the platform for their zone: routers, or
 * agents while the zone has no live router. There is no election; while views
 * differ more processes watch, which is harmless.
 */

import type { Member } from "../../types/member.ts";
import { hashText } from "./member_order.ts";

/** Processes that watch in each zone. */
export const watchersPerZone = 2;

/** True when `self` is one of the first live routers of its zone by rank. */
export function isWatcher(
  self: Member,
  members: readonly Member[],
): boolean {
  const zoneMembers = members.filter(({ zone }) => zone === self.zone);
  return getWatchers(zoneMembers).some(({ id }) => id === self.id);
}

/**
 * True when it is the turn of `self` to read the platform's VM list: the
 * watchers of all zones read it one after the other, so that the cost of each
 * falls as the fleet grows while the list is read at the same pace.
 */
export function isListTurn(
  self: Member,
  members: readonly Member[],
  turn: number,
): boolean {
  const watchers = getWatchers(members);
  return watchers[turn % watchers.length]?.id === self.id;
}

/** The first live routers of each zone by rank, in order of id. */
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
