/**
 * Decides which processes watch the platform for their zone: routers, or
 * agents while the zone has no live router. There is no election; while views
 * differ more processes watch, which is harmless.
 */

import type { Member } from "../types/member.ts";
import { hashText } from "./member_order.ts";

/** Processes that watch in each zone. */
export const watchersPerZone = 2;

/** True when `self` is one of the first live members of its zone by rank. */
export function isOnWatchDuty(
  self: Member,
  members: readonly Member[],
): boolean {
  const others = members.filter((member) =>
    member.id !== self.id && member.zone === self.zone &&
    member.state === "live"
  );
  const hasRouter = others.some((member) => member.role === "router");
  if (self.role !== "router" && hasRouter) return false;
  const rank = getRank(self);
  let ahead = 0;
  for (const member of others) {
    if (member.role !== self.role) continue;
    const other = getRank(member);
    if (other > rank || (other === rank && member.id < self.id)) ahead++;
  }
  return ahead < watchersPerZone;
}

function getRank(member: Member): number {
  return hashText(`watch/${member.zone}/${member.id}`);
}
