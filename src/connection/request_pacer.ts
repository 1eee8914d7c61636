/**
 * Lets requests through a few at a time, with a look at the sockets between.
 *
 * Load pattern: requests come faster than the process can handle them. All
 * that have been read would be handled before the sockets are read again, so
 * that callers who have left in the meantime are served in vain, and the time
 * that it takes lets still more of them leave.
 */

/** Turns of the event loop in which a close that is there is seen. */
const closeDetectionTurns = 2;

/** Requests that are handled in one turn; some 50 ms of a small VM's time. */
const maxRequestsPerTurn = 4;

/** Passes requests on in the order of their arrival. */
export interface RequestPacer {
  /** Resolves when it is the request's turn. */
  waitForTurn(): Promise<void>;
}

/** Creates a gate without anyone waiting. */
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
