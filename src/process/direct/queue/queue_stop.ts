/**
 * Tells until when requests may wait in a router that stops.
 *
 * Load pattern: a router stops in a surge, with requests that wait and several
 * seconds of its grace period left. Each is refused, with a proof that it has not
 * run, only once its run would outlast that time.
 */

import type { Waiter } from "./service_queue.ts";

/** What the end of the waits needs from the queue. */
export interface QueueStopHost {
  /** Returns the expected run time of a service, in milliseconds. */
  getRunMs(service: string): number;
  /** Refuses a request if it still waits. */
  refuse(waiter: Waiter): void;
}

/** The end of the waits. */
export interface QueueStop {
  /** Begins the stop; runs must have ended at `endsAt`. */
  begin(waiting: Iterable<Waiter>, endsAt: number): void;
  /** Returns true when the run of a request that begins then may end in time. */
  mayBegin(waiter: Pick<Waiter, "request">, beginsAt: number): boolean;
  /** Returns true when a run of a length in milliseconds may still end in time. */
  hasTimeFor(runMs: number): boolean;
  /** Refuses a request that waits when its run does not fit any more. */
  watch(waiter: Waiter): void;
}

/** Creates the end of the waits of a router that does not stop. */
export function createQueueStop(host: QueueStopHost): QueueStop {
  let endsAt = Number.POSITIVE_INFINITY;

  return {
    begin: (waiting, at) => {
      endsAt = at;
      [...waiting].forEach(watch);
    },
    mayBegin: (waiter, beginsAt) => beginsAt < getLatestAt(waiter),
    hasTimeFor: (runMs) => performance.now() + runMs <= endsAt,
    watch,
  };

  function getLatestAt({ request }: Pick<Waiter, "request">): number {
    return endsAt - host.getRunMs(request.service);
  }

  function watch(waiter: Waiter): void {
    const leftMs = getLatestAt(waiter) - performance.now();
    if (leftMs <= 0) host.refuse(waiter);
    else if (Number.isFinite(leftMs)) {
      setTimeout(() => host.refuse(waiter), leftMs).unref();
    }
  }
}
