/** A fleet whose members are set by a test, without a membership exchange. */

import type { Member } from "../../src/types/member.ts";
import type { Fleet } from "../../src/types/role.ts";

/** Members that several processes of one test share. */
export interface SharedMembers {
  readonly members: Map<string, Member>;
}

/** Creates a member record with default values. */
export function createMember(
  fields: Pick<Member, "id" | "role"> & Partial<Member>,
): Member {
  return {
    address: "127.0.0.1",
    grpcPort: 0,
    gossipPort: 0,
    zone: "zone-a",
    region: "region-a",
    vm: fields.id,
    service: "",
    incarnation: 1,
    version: 0,
    state: "live",
    weight: 100,
    ...fields,
  };
}

/** Creates the fleet view of one process over shared members. */
export function createStaticFleet(
  shared: SharedMembers,
  self: Member,
): Fleet {
  shared.members.set(self.id, self);
  const crashes = new Map<string, number>();
  return {
    members: {
      getAvailableAgents: (service) =>
        [...shared.members.values()].filter((member) =>
          member.service === service && member.state === "live"
        ),
      tryGetMember: (id) => shared.members.get(id),
      getMembers: () => [...shared.members.values()],
      recordContact: () => undefined,
    },
    means: { getMean: () => ({ mean: 1_000, targets: 3, ageMs: 0 }) },
    crashes: {
      getCrashes: (fingerprint) => crashes.get(fingerprint) ?? 0,
      recordCrash: (fingerprint) => {
        crashes.set(fingerprint, (crashes.get(fingerprint) ?? 0) + 1);
      },
      clearCrashes: (fingerprint) => {
        crashes.delete(fingerprint);
      },
    },
    limits: { acquire: () => Promise.resolve({ kind: "granted" }) },
    getSelf: () => self,
    setLoadSource: () => undefined,
    spreadPatch: () => undefined,
    announceLeaving: () => {
      shared.members.set(self.id, { ...self, state: "leaving" });
    },
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    dump: () => ({}),
  };
}
