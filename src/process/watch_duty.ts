/** Decides which routers watch the platform for their zone. */

import type { Member } from "../types/member.ts";
import { hashText } from "./member_order.ts";

/** Routers that watch in each zone; two at once are harmless. */
const watchersPerZone = 2;

/** True when `self` is one of the first live routers of its zone by rank. */
export function isOnWatchDuty(
  self: Member,
  members: readonly Member[],
): boolean {
  if (self.role !== "router") return false;
  const rank = getRank(self);
  let ahead = 0;
  for (const member of members) {
    if (member.role !== "router" || member.state !== "live") continue;
    if (member.zone !== self.zone || member.id === self.id) continue;
    const other = getRank(member);
    if (other > rank || (other === rank && member.id < self.id)) ahead++;
  }
  return ahead < watchersPerZone;
}

function getRank(member: Member): number {
  return hashText(`watch/${member.zone}/${member.id}`);
}
