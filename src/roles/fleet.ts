/** Puts together the exchange of one process with the rest of the fleet. */

import type { Member } from "../types/member.ts";
import type { Fleet } from "../types/role.ts";
import type { FleetHost } from "./host.ts";

/** Creates the exchange with the rest of the fleet. */
export function createFleet(host: FleetHost): Fleet {
  const self: Member = {
    id: host.settings.id,
    role: host.settings.role,
    address: host.settings.address,
    grpcPort: host.settings.grpcPort,
    gossipPort: host.settings.gossipPort,
    zone: host.settings.zone,
    region: host.settings.region,
    vm: host.settings.vm,
    service: host.settings.role === "agent" ? host.settings.service : "",
    incarnation: Date.now(),
    version: 0,
    state: "live",
    weight: host.settings.role === "agent" ? host.settings.weight : 100,
  };
  return {
    members: {
      getAvailableAgents: () => [],
      tryGetMember: (id) => (id === self.id ? self : undefined),
      getMembers: () => [self],
      noteContact: () => undefined,
    },
    means: { getMean: () => ({ mean: 0, targets: 0, ageMs: 0 }) },
    crashes: {
      getCrashes: () => 0,
      recordCrash: () => undefined,
      clearCrashes: () => undefined,
    },
    limits: { acquire: () => Promise.resolve({ kind: "granted" }) },
    getSelf: () => self,
    setLoadSource: () => undefined,
    spreadPatch: () => undefined,
    announceLeaving: () => undefined,
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    dump: () => ({}),
  };
}
