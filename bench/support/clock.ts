/** Replaces the clock and the timers of the process with simulated time. */

/** A clock whose time changes only while `advance` runs. */
export interface SimulatedClock {
  /** Returns the milliseconds since the start of the simulation. */
  getNow(): number;
  /** Runs all timers of the next `ms` milliseconds and their promises. */
  advance(ms: number): Promise<void>;
}

interface Timer {
  readonly id: number;
  /** Due time, in simulated milliseconds. */
  readonly at: number;
  readonly run: () => void;
  readonly intervalMs: number | undefined;
}

/** Start of simulated time, in epoch milliseconds. */
const epochMs = 1_700_000_000_000;

/** Replaces the clock and the timers of this process. */
export function installSimulatedClock(): SimulatedClock {
  const heap: Timer[] = [];
  const cancelledIds = new Set<number>();
  let now = 0;
  let lastId = 0;

  const scheduleTimer = (
    run: () => void,
    ms: number | undefined,
    isInterval: boolean,
  ): number => {
    lastId++;
    const delayMs = Math.max(0, ms ?? 0);
    pushTimer({
      id: lastId,
      at: now + delayMs,
      run,
      intervalMs: isInterval ? Math.max(1, delayMs) : undefined,
    });
    return lastId;
  };
  const clearTimer = (id: number | undefined): void => {
    if (id !== undefined) cancelledIds.add(id);
  };
  Object.assign(globalThis, {
    setTimeout: (run: () => void, ms?: number) => scheduleTimer(run, ms, false),
    setInterval: (run: () => void, ms?: number) => scheduleTimer(run, ms, true),
    clearTimeout: clearTimer,
    clearInterval: clearTimer,
  });
  Date.now = () => epochMs + Math.floor(now);
  performance.now = () => now;

  return { getNow: () => now, advance };

  async function advance(ms: number): Promise<void> {
    const end = now + ms;
    let next = heap[0];
    while (next !== undefined && next.at <= end) {
      popTimer();
      now = next.at;
      runTimer(next);
      // Runs the callbacks of promises that the timer has resolved.
      await Promise.resolve();
      next = heap[0];
    }
    now = end;
  }

  function runTimer(timer: Timer): void {
    if (cancelledIds.delete(timer.id)) return;
    if (timer.intervalMs !== undefined) {
      pushTimer({ ...timer, at: timer.at + timer.intervalMs });
    }
    timer.run();
  }

  function pushTimer(timer: Timer): void {
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(index, parent)) return;
      swap(index, parent);
      index = parent;
    }
  }

  function popTimer(): void {
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let earliest = index;
      if (left < heap.length && isBefore(left, earliest)) earliest = left;
      if (right < heap.length && isBefore(right, earliest)) earliest = right;
      if (earliest === index) return;
      swap(index, earliest);
      index = earliest;
    }
  }

  function isBefore(left: number, right: number): boolean {
    const one = heap[left];
    const other = heap[right];
    if (one === undefined || other === undefined) return false;
    return one.at < other.at || (one.at === other.at && one.id < other.id);
  }

  function swap(left: number, right: number): void {
    const one = heap[left];
    const other = heap[right];
    if (one === undefined || other === undefined) return;
    heap[left] = other;
    heap[right] = one;
  }
}
