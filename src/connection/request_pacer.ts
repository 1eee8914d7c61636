/**
 * Releases few requests at a time, so that the process checks its sockets in
 * between and accepts the connections that wait.
 *
 * Load pattern: requests arrive faster than the process can handle them. The
 * runtime accepts one connection per turn of the event loop. If each turn handled
 * requests too, callers would wait unseen in the listen queue for seconds, and the
 * process would work for callers that have disconnected meanwhile.
 */

import {
  createTurnQueue,
  type TurnWaiter,
} from "../process/admission/turn_queue.ts";

/** Event loop turns within which a disconnect that has arrived is detected. */
const closeDetectionTurns = 2;

/** Maximum number of requests per turn; a turn delays what is read meanwhile. */
const maxRequestsPerTurn = 2;

/**
 * How a wait ended: the request has its turn, or is refused; then with the time in
 * milliseconds after which there may be room.
 */
export type TurnEnd =
  | { readonly kind: "turn" }
  | { readonly kind: "refused"; readonly waitMs: number };

/** A queue that releases requests in the order of their arrival. */
export interface RequestPacer {
  /** Resolves when it is the request's turn, or when it is refused. */
  waitForTurn(request: TurnWaiter): Promise<TurnEnd>;
  /**
   * Returns the time in milliseconds after which there may be room when no request
   * may wait; undefined when requests may.
   */
  tryGetOverloadMs(): number | undefined;
}

/** A request in the queue. */
interface PacedRequest extends TurnWaiter {
  finish(end: TurnEnd): void;
}

/** Creates a pacer with an empty queue. */
export function createRequestPacer(
  host: {
    /** Returns how many turns should only accept connections before the next. */
    getAcceptTurns(): number;
    /** Begins the work of the requests that have a turn; returns its end. */
    beginRequests(): () => void;
  },
): RequestPacer {
  const queue = createTurnQueue<PacedRequest>();
  let isScheduled = false;
  let acceptTurns = 0;

  return {
    waitForTurn,
    tryGetOverloadMs: () =>
      queue.isOverloaded() ? queue.getReturnMs() : undefined,
  };

  async function waitForTurn({ deadlineAt }: TurnWaiter): Promise<TurnEnd> {
    for (let turn = 1; turn < closeDetectionTurns; turn++) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return await new Promise<TurnEnd>((finish) => {
      if (!queue.tryAdd({ deadlineAt, finish })) refuse(finish);
      else schedule();
    });
  }

  function refuse(finish: PacedRequest["finish"]): void {
    finish({ kind: "refused", waitMs: queue.getReturnMs() });
  }

  function schedule(): void {
    if (isScheduled || queue.countWaiting() === 0) return;
    isScheduled = true;
    let end: (() => void) | undefined;
    setImmediate(() => {
      isScheduled = false;
      end = host.beginRequests();
      release();
      schedule();
    });
    // Runs after what the released requests do at once.
    setImmediate(() => end?.());
  }

  function release(): void {
    queue.takeExpired().forEach(({ finish }) => refuse(finish));
    const maxAcceptTurns = host.getAcceptTurns();
    if (acceptTurns < maxAcceptTurns) {
      acceptTurns++;
      if (maxAcceptTurns === Infinity) queue.interrupt();
      return;
    }
    acceptTurns = 0;
    queue.take(maxRequestsPerTurn).forEach(({ finish }) =>
      finish({ kind: "turn" })
    );
  }
}
