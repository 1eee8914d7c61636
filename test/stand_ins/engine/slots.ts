/** The places in the engine's batch, given by priority, then by arrival. */

/** Hands out places. */
export interface Slots {
  /** Waits for a place; the result gives it back. */
  take(options: {
    readonly urgent: boolean;
    readonly signal: AbortSignal;
  }): Promise<() => void>;
  getRunning(): number;
  getWaiting(): number;
  getMostRunning(): number;
}

interface Waiter {
  readonly urgent: boolean;
  readonly start: () => void;
}

/** Creates the places of one engine. */
export function createSlots(count: number): Slots {
  const waiters: Waiter[] = [];
  let running = 0;
  let mostRunning = 0;

  return {
    take,
    getRunning: () => running,
    getWaiting: () => waiters.length,
    getMostRunning: () => mostRunning,
  };

  function take(options: {
    readonly urgent: boolean;
    readonly signal: AbortSignal;
  }): Promise<() => void> {
    return new Promise((resolve, reject) => {
      const waiter = { urgent: options.urgent, start };
      waiters.push(waiter);
      options.signal.addEventListener("abort", giveUp);
      startNext();

      function start(): void {
        options.signal.removeEventListener("abort", giveUp);
        resolve(createRelease());
      }

      function giveUp(): void {
        const index = waiters.indexOf(waiter);
        if (index >= 0) waiters.splice(index, 1);
        reject(new Error("The request was cancelled"));
      }
    });
  }

  function createRelease(): () => void {
    let released = false;
    return () => {
      if (released) return;
      released = true;
      running--;
      startNext();
    };
  }

  function startNext(): void {
    if (running >= count) return;
    const urgent = waiters.findIndex((waiter) => waiter.urgent);
    const [next] = waiters.splice(Math.max(0, urgent), 1);
    if (next === undefined) return;
    running++;
    mostRunning = Math.max(mostRunning, running);
    next.start();
  }
}
