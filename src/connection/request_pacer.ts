/**
 * Releases a few requests per turn of the event loop, so that the process
 * checks its sockets in between.
 *
 * Load pattern: requests arrive faster than the process can handle them. If all
 * requests that have been read were handled before the sockets are checked
 * again, the process would work for callers that have disconnected meanwhile,
 * and that time would let even more callers disconnect.
 */

/** Event loop turns within which a disconnect that has arrived is detected. */
const closeDetectionTurns = 2;

/** Maximum number of requests per turn; they take about 50 ms on a small VM. */
const maxRequestsPerTurn = 4;

/** A queue that releases requests in the order of their arrival. */
export interface RequestPacer {
  /** Resolves when it is the request's turn. */
  waitForTurn(): Promise<void>;
}

/** Creates a pacer with an empty queue. */
export function createRequestPacer(): RequestPacer {
  const waiting: (() => void)[] = [];
  let isScheduled = false;

  return { waitForTurn };

  async function waitForTurn(): Promise<void> {
    for (let turn = 1; turn < closeDetectionTurns; turn++) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    await new Promise<void>((resolve) => {
      waiting.push(resolve);
      schedule();
    });
  }

  function schedule(): void {
    if (isScheduled || waiting.length === 0) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      waiting.splice(0, maxRequestsPerTurn).forEach((release) => release());
      schedule();
    });
  }
}
