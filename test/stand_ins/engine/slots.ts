/** Assigns the slots of the engine's batch, by priority, then by arrival. */

/** Slots of one engine. */
export interface Slots {
  /** Waits for a slot and returns a function that releases it. */
  acquire(options: {
    readonly isUrgent: boolean;
    readonly signal: AbortSignal;
  }): Promise<() => void>;
  /** Returns the number of occupied slots. */
  getRunning(): number;
  /** Returns the number of requests that wait for a slot. */
  getWaiting(): number;
  /** Returns the maximum number of slots occupied at the same time. */
  getMaxRunning(): number;
}

interface Waiter {
  readonly isUrgent: boolean;
  readonly start: () => void;
}

/** Creates the slots of one engine, all of them free. */
export function createSlots(count: number): Slots {
  const waiters: Waiter[] = [];
  let running = 0;
  let maxRunning = 0;

  return {
    acquire,
    getRunning: () => running,
    getWaiting: () => waiters.length,
    getMaxRunning: () => maxRunning,
  };

  function acquire(options: {
    readonly isUrgent: boolean;
    readonly signal: AbortSignal;
  }): Promise<() => void> {
    return new Promise((resolve, reject) => {
      const waiter = { isUrgent: options.isUrgent, start };
      waiters.push(waiter);
      options.signal.addEventListener("abort", cancelWait);
      startNext();

      function start(): void {
        options.signal.removeEventListener("abort", cancelWait);
        resolve(createRelease());
      }

      function cancelWait(): void {
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
    const urgentIndex = waiters.findIndex((waiter) => waiter.isUrgent);
    const [next] = waiters.splice(Math.max(0, urgentIndex), 1);
    if (next === undefined) return;
    running++;
    maxRunning = Math.max(maxRunning, running);
    next.start();
  }
}
