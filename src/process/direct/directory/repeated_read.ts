/**
 * Lists the store for a router that knows no entry yet.
 *
 * Load pattern: all routers restart while the store is unresponsive. A call that
 * was made during the outage gets no response after it either, and each router
 * would wait for its timeout while its callers are refused. So a further call is
 * made when a peer shows that it has read the store, and at intervals before
 * that. The first response counts. Calls in flight are bounded, as a listing is
 * large and all routers make it at the same time.
 */

import { type Either, EitherAsync } from "purify-ts";
import type { DirectoryError, Listing } from "../../../types/directory.ts";

/** What the listing needs from the process. */
export interface FirstListingHost {
  list(): EitherAsync<DirectoryError, Listing>;
  /** Returns false once entries are known from elsewhere, or at a stop. */
  isNeeded(): boolean;
  /** Records that a call has failed while others are in flight. */
  recordFailure(error: DirectoryError): void;
}

/** The listing of a router that has just started. */
export interface FirstListing {
  /** Returns the first listing; the first error when no call succeeds. */
  run(): EitherAsync<DirectoryError, Listing>;
  /** Reports that a peer has read the store, so that a call may succeed now. */
  reportPeerRead(): void;
}

/** Time without a response after which another call is made, in ms. */
const callIntervalMs = 500;

/** Minimum time between two calls after reports of peers, in milliseconds. */
const peerCallIntervalMs = 150;

/** Maximum number of calls in flight. */
const maxCalls = 3;

/** Creates a listing of which no call was made. */
export function createFirstListing(host: FirstListingHost): FirstListing {
  let lastCallAt = Number.NEGATIVE_INFINITY;
  let startCall: () => void = () => undefined;

  return {
    run: () => EitherAsync.fromPromise(run),
    reportPeerRead: () => {
      if (performance.now() - lastCallAt >= peerCallIntervalMs) startCall();
    },
  };

  async function run(): Promise<Either<DirectoryError, Listing>> {
    let calls = 0;
    let timer: NodeJS.Timeout | undefined;
    try {
      return await new Promise((resolve) => {
        startCall = () => {
          if (calls >= maxCalls || (calls > 0 && !host.isNeeded())) return;
          calls++;
          lastCallAt = performance.now();
          void host.list().run().then((result) => {
            calls--;
            if (result.isRight() || calls === 0) resolve(result);
            else result.ifLeft(host.recordFailure);
          });
        };
        startCall();
        timer = setInterval(startCall, callIntervalMs).unref();
      });
    } finally {
      clearInterval(timer);
      startCall = () => undefined;
    }
  }
}
