/**
 * Decides which processes watch the platform for all others: the first two
 * routers of each zone by rendezvous rank. There is no election: while views
 * differ more may watch, which is harmless.
 */

import type { Member } from "../types/member.ts";

/** Processes that watch in each zone. */
export const watchersPerZone = 2;

/** What the decision needs from outside. */
export interface WatchDutyHost {
  /** Hashes a text to 32 bits. */
  hash(text: string): number;
}

/** Returns the members of a zone that watch, by the records given. */
export function getWatchers(
  host: WatchDutyHost,
  options: { readonly members: readonly Member[]; readonly zone: string },
): readonly Member[] {
  const live = options.members.filter((member) =>
    member.zone === options.zone && isCandidate(member)
  );
  const routers = live.filter((member) => member.role === "router");
  // A zone without routers still learns of changes at once.
  const candidates = routers.length > 0 ? routers : live;
  return candidates
    .map((member) => ({ member, rank: host.hash(`watch ${member.id}`) }))
    .sort(compareRanks)
    .slice(0, watchersPerZone)
    .map((entry) => entry.member);
}

/** True when the process itself has the duty. */
export function isWatcher(
  host: WatchDutyHost,
  options: { readonly members: readonly Member[]; readonly self: Member },
): boolean {
  const { members, self } = options;
  const others = members.filter((member) => member.id !== self.id);
  const watchers = getWatchers(host, {
    members: [...others, self],
    zone: self.zone,
  });
  return watchers.some((member) => member.id === self.id);
}

/** A leaving process still serves, but hands the duty on. */
function isCandidate(member: Member): boolean {
  return member.state === "live" || member.state === "suspect";
}

function compareRanks(
  left: { readonly member: Member; readonly rank: number },
  right: { readonly member: Member; readonly rank: number },
): number {
  return right.rank - left.rank ||
    (left.member.id < right.member.id ? -1 : 1);
}
