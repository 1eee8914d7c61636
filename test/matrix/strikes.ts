/** What each fault does to the world. */

import type { MemoryPlatform } from "../fakes/memory_platform.ts";
import type { Place } from "./place.ts";
import type { Fault } from "./shapes.ts";

/** What a fault can reach. */
export interface StrikeHost {
  readonly places: readonly Place[];
  readonly platform: MemoryPlatform;
  /** The place that the request is at, or goes to first. */
  readonly place: Place;
  killRouter(): void;
}

/** Time that faults which heal last, in milliseconds. */
const healMs = 2_500;

/** Time until a killed agent is back, in milliseconds. */
const restartMs = 200;

/** Time until members learn of a change, in milliseconds. */
const memberLagMs = 800;

/** Time that stale members last, in milliseconds. */
const staleMs = 3_000;

/** Time of one message on a slow link, in milliseconds. */
const slowLinkMs = 400;

/** Time of one call to a slow store, in milliseconds. */
const slowStoreMs = 400;

/** The action of each fault. */
export const strikes: Readonly<Record<Fault, (host: StrikeHost) => void>> = {
  router_killed: (host) => host.killRouter(),
  agent_killed: ({ place }) => {
    place.killAgent();
    setTimeout(place.restartAgent, restartMs);
    setTimeout(() => {
      const { incarnation } = place.member;
      place.member = { ...place.member, incarnation: incarnation + 1 };
    }, restartMs + memberLagMs);
  },
  agent_frozen: ({ place }) => {
    place.way.toHeldUntil = Date.now() + healMs;
    place.way.fromHeldUntil = Date.now() + healMs;
  },
  agent_leaves: ({ place }) => {
    place.leaving = true;
    place.way.service?.refuseQueued();
    setTimeout(() => {
      place.member = { ...place.member, state: "leaving" };
    }, memberLagMs);
  },
  target_killed: ({ place }) => place.target.crash(),
  cut_to_agent: ({ place }) => {
    place.way.toHeldUntil = Date.now() + healMs;
  },
  cut_from_agent: ({ place }) => {
    place.way.fromHeldUntil = Date.now() + healMs;
  },
  cut_both: ({ places }) => {
    for (const { way } of places) {
      way.toHeldUntil = Date.now() + healMs;
      way.fromHeldUntil = Date.now() + healMs;
    }
  },
  slow_link: ({ places }) => {
    for (const { way } of places) way.delayMs = slowLinkMs;
  },
  stale_members: ({ place }) => {
    place.killAgent();
    setTimeout(() => {
      place.member = { ...place.member, state: "dead" };
    }, staleMs);
  },
  store_down: ({ platform }) => {
    platform.serviceFaults.outage = true;
    setTimeout(() => {
      platform.serviceFaults.outage = false;
    }, healMs);
  },
  store_slow: ({ platform }) => {
    platform.serviceFaults.delayMs = slowStoreMs;
  },
  store_answer_lost: ({ platform }) => {
    platform.serviceFaults.lostPrefix = "claim/";
    platform.serviceFaults.lostAnswers = 1;
  },
};
