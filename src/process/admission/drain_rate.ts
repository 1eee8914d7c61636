/** Estimates how fast a target works, from the work that it has finished. */

/** Time over which older observations fade, in milliseconds. */
const fadeMs = 10_000;

/** Busy time needed before an estimate is given, in milliseconds. */
const minBusyMs = 50;

/** Work that has ended. */
export interface FinishedWork {
  /** Estimated work, in work units. */
  readonly cost: number;
  /** Time in its slot, in milliseconds. */
  readonly tookMs: number;
  /** Requests that run from now on. */
  readonly running: number;
}

/** The rate at which one target finishes work. */
export interface DrainRate {
  /** Tells how many requests run from now on. */
  noteRunning(running: number): void;
  /** Tells that work has ended, and how many requests run from now on. */
  noteDone(done: FinishedWork): void;
  /** Time for an amount of work; 0 while the rate is unknown. */
  estimateMs(cost: number): number;
  /** Time that one request of this work takes in its slot; 0 if unknown. */
  estimateRunMs(cost: number): number;
}

/** Creates an estimate that knows nothing yet. */
export function createDrainRate(): DrainRate {
  let busy = false;
  let lastAt = Date.now();
  let doneCost = 0;
  let busyMs = 0;
  let slotMs = 0;

  return { noteRunning, noteDone, estimateMs, estimateRunMs };

  function noteRunning(running: number): void {
    advance();
    busy = running > 0;
  }

  function noteDone({ cost, tookMs, running }: FinishedWork): void {
    advance();
    doneCost += cost;
    slotMs += tookMs;
    busy = running > 0;
  }

  /** Only busy time counts and fades; an idle target keeps its estimate. */
  function advance(): void {
    const now = Date.now();
    const elapsedMs = now - lastAt;
    lastAt = now;
    if (!busy || elapsedMs <= 0) return;
    const remains = Math.exp(-elapsedMs / fadeMs);
    doneCost *= remains;
    slotMs *= remains;
    busyMs = busyMs * remains + elapsedMs;
  }

  function estimateMs(cost: number): number {
    advance();
    if (busyMs < minBusyMs || doneCost === 0) return 0;
    return cost * busyMs / doneCost;
  }

  function estimateRunMs(cost: number): number {
    return doneCost === 0 ? 0 : cost * slotMs / doneCost;
  }
}
