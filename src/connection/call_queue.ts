/**
 * Sends calls over a limited number of connections to one target. The HTTP
 * library has a queue too, but there the headers of a call are fixed when it is
 * queued, and a call that is aborted ends only when a connection is free.
 */

import type { Dispatcher } from "undici";

/** A queue of calls. */
export interface CallQueue {
  /**
   * Sends a call in its turn; undefined when it is aborted or ended before. Its turn lasts until the body of the response has ended.
   */
  trySend(
    send: () => Promise<Dispatcher.ResponseData>,
    options: { readonly signal: AbortSignal },
  ): Promise<Dispatcher.ResponseData | undefined>;
  /** Ends the calls that wait; sent calls go on. */
  endWaiting(): void;
  /** Ends the calls that wait and those to come; sent calls go on. */
  close(): void;
}

/** Creates an empty queue. */
export function createCallQueue(
  host: {
    /** Returns the number of calls that may run now. */
    getMaxCalls(): number;
  },
): CallQueue {
  /** Callbacks of the waiting calls: true when it is the call's turn. */
  const waiting = new Set<(isTurn: boolean) => void>();
  let running = 0;
  let isClosed = false;

  return { trySend, endWaiting, close };

  async function trySend(
    send: () => Promise<Dispatcher.ResponseData>,
    { signal }: { readonly signal: AbortSignal },
  ): Promise<Dispatcher.ResponseData | undefined> {
    if (!await waitForTurn(signal)) return undefined;
    try {
      const data = await send();
      if (data.body.closed) endTurn();
      else data.body.once("close", endTurn);
      return data;
    } catch (error) {
      endTurn();
      throw error;
    }
  }

  /** Resolves to false when the call ends before its turn. */
  function waitForTurn(signal: AbortSignal): Promise<boolean> | boolean {
    if (isClosed || signal.aborted) return false;
    if (running < host.getMaxCalls()) {
      running++;
      return true;
    }
    return new Promise((resolve) => {
      const finish = (isTurn: boolean): void => {
        waiting.delete(finish);
        signal.removeEventListener("abort", abort);
        resolve(isTurn);
      };
      const abort = (): void => finish(false);
      signal.addEventListener("abort", abort, { once: true });
      waiting.add(finish);
    });
  }

  /** Gives turns to the calls that have waited longest. */
  function endTurn(): void {
    running--;
    for (const finish of [...waiting]) {
      if (running >= host.getMaxCalls()) return;
      running++;
      finish(true);
    }
  }

  function endWaiting(): void {
    for (const finish of [...waiting]) finish(false);
  }

  function close(): void {
    isClosed = true;
    endWaiting();
  }
}
