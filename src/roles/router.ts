/** The router role: takes callers' requests and places them. */

import type { Role } from "../types/role.ts";
import type { RouterHost } from "./host.ts";

/** Creates the router role of a process. */
export function createRouterRole(host: RouterHost): Promise<Role> {
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
