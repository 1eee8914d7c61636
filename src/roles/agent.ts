/** The agent role: the gate beside one target. */

import type { Role } from "../types/role.ts";
import type { AgentHost } from "./host.ts";

/** Creates the agent role of a process. */
export function createAgentRole(host: AgentHost): Promise<Role> {
  let ready = true;
  return Promise.resolve({
    isReady: () => ready,
    drain: () => {
      ready = false;
      host.fleet.announceLeaving();
    },
    stop: () => Promise.resolve({ cutOff: 0, tookMs: 0 }),
    dump: () => ({}),
  });
}
