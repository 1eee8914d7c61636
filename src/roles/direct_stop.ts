/** Stops a direct router within its grace period. */

import type { FrontendServer } from "../connection/frontend_server.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { StopResult } from "../types/role.ts";

/**
 * Share of the grace period in which new requests on open connections are
 * still served. The rest is for responses in flight and lasts as long as the
 * longest typical response.
 */
const servingGraceShare = 0.36;

/** Share of the grace period after which requests in flight are cut off. */
const drainGraceShare = 0.95;

/**
 * Time after the start of a stop until the balancer sends no new connections,
 * in milliseconds.
 */
const balancerDelayMs = 2_500;

/**
 * Time before the cut-off from which nothing waits any longer for a target or a
 * connection, in milliseconds: refusals still reach their callers, also when a
 * request waits for each target that it may use.
 */
const waitEndMs = 500;

/** Interval at which a stop checks for requests in flight, in ms. */
const stopPollIntervalMs = 50;

/** What a stop needs from the router. */
export interface RouterStop {
  readonly log: Log;
  /** Time from SIGTERM to the end of the process, in milliseconds. */
  readonly graceMs: number;
  readonly frontend: Pick<FrontendServer, "countOpen" | "drain" | "stop">;
  /** Returns the number of requests in flight. */
  getInFlight(): number;
  /**
   * Refuses new requests from now on. Those that wait go on as long as their
   * runs end before the cut-off at `endsAt`, on the monotonic clock.
   */
  startRefusing(endsAt: number): void;
  /** Ends all waits for targets and connections that have begun. */
  endWaits(): void;
  /** Closes everything besides the frontend. */
  close(): readonly (Promise<void> | undefined)[];
}

/** Serves what is in flight, then closes the router. */
export async function stopRouter(
  router: RouterStop,
  reason: string,
): Promise<StopResult> {
  const { log, graceMs, frontend, getInFlight } = router;
  const startedAt = performance.now();
  log.info("Router stops", { reason, inFlight: getInFlight(), graceMs });
  frontend.drain();
  await sleep(Math.min(balancerDelayMs, graceMs * servingGraceShare));
  router.startRefusing(startedAt + graceMs * drainGraceShare);
  // Requests are open from the arrival of their headers, in flight from their
  // start. Idle connections stay open: a request may arrive on them.
  while (
    Math.max(getInFlight(), frontend.countOpen()) > 0 && getTimeLeftMs() > 0
  ) {
    if (getTimeLeftMs() < waitEndMs) router.endWaits();
    await sleep(stopPollIntervalMs);
  }
  const open = await frontend.stop(Math.max(0, getTimeLeftMs()));
  const cutOff = Math.max(getInFlight(), open);
  await Promise.allSettled(router.close());
  const tookMs = Math.round(performance.now() - startedAt);
  log.info("Router has stopped", { cutOff, tookMs });
  return { cutOff, tookMs };

  function getTimeLeftMs(): number {
    return startedAt + graceMs * drainGraceShare - performance.now();
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
