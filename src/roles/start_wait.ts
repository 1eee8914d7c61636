/**
 * Lets requests wait for what a router that has just started does not know yet.
 *
 * Load pattern: all routers restart, with all their callers asking again at once.
 * The configuration is there a few round trips after the store is, and targets
 * whose entries expired with the store register again within two seconds. Most
 * callers retry once, so a refusal in this time is often their last answer.
 */

/** Limits of a wait: a share of the deadline, and a maximum in ms. */
const waitLimits = { deadlineShare: 0.4, maxMs: 3_000 } as const;

/** The requests that wait. */
export interface StartWait {
  /** Waits until `isOver` is true, or a part of the deadline has passed. */
  wait(
    deadlineMs: number,
    isOver: () => boolean,
    options?: {
      /** True for a request that counts as one in flight while it waits. */
      readonly isInFlight?: boolean;
    },
  ): Promise<void>;
  /** Ends the waits that are over; called when something has become known. */
  notify(): void;
  /** Ends all waits, as the router stops. */
  stop(): void;
  /** Returns the number of requests that wait and do not count as in flight. */
  countWaiting(): number;
}

/** Creates a wait without requests. */
export function createStartWait(): StartWait {
  /** Ends a wait, by whether it is over. */
  const waiting = new Map<() => void, () => boolean>();
  let waitingInFlight = 0;

  return {
    wait,
    notify,
    stop: () => waiting.forEach((_, end) => end()),
    countWaiting: () => waiting.size - waitingInFlight,
  };

  function notify(): void {
    for (const [end, isOver] of waiting) {
      if (isOver()) end();
    }
  }

  function wait(
    deadlineMs: number,
    isOver: () => boolean,
    { isInFlight = false }: { readonly isInFlight?: boolean } = {},
  ): Promise<void> {
    if (isOver()) return Promise.resolve();
    const { deadlineShare, maxMs } = waitLimits;
    const countInFlight = isInFlight ? 1 : 0;
    waitingInFlight += countInFlight;
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        if (waiting.delete(end)) waitingInFlight -= countInFlight;
        resolve();
      };
      const timer = setTimeout(
        end,
        Math.min(maxMs, deadlineMs * deadlineShare),
      );
      waiting.set(end, isOver);
    });
  }
}
