/** Estimates how fast a target works, from the work that it has finished. */

/** Time over which older observations fade, in milliseconds. */
const decayMs = 10_000;

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
export interface ThroughputEstimator {
  /** Tells how many requests run from now on. */
  recordRunning(running: number): void;
  /** Tells that work has ended, and how many requests run from now on. */
  recordFinished(done: FinishedWork): void;
  /** Time for an amount of work; 0 while the rate is unknown. */
  estimateCompletionMs(cost: number): number;
  /** Time that one request of this work takes in its slot; 0 if unknown. */
  estimateSlotMs(cost: number): number;
}

/** Creates an estimate that knows nothing yet. */
export function createThroughputEstimator(): ThroughputEstimator {
  let busy = false;
  let advancedAt = Date.now();
  let finishedCost = 0;
  let busyMs = 0;
  let slotMs = 0;

  return {
    recordRunning,
    recordFinished,
    estimateCompletionMs,
    estimateSlotMs,
  };

  function recordRunning(running: number): void {
    advance();
    busy = running > 0;
  }

  function recordFinished({ cost, tookMs, running }: FinishedWork): void {
    advance();
    finishedCost += cost;
    slotMs += tookMs;
    busy = running > 0;
  }

  /** Only busy time counts and fades; an idle target keeps its estimate. */
  function advance(): void {
    const now = Date.now();
    const elapsedMs = now - advancedAt;
    advancedAt = now;
    if (!busy || elapsedMs <= 0) return;
    const decay = Math.exp(-elapsedMs / decayMs);
    finishedCost *= decay;
    slotMs *= decay;
    busyMs = busyMs * decay + elapsedMs;
  }

  function estimateCompletionMs(cost: number): number {
    advance();
    if (busyMs < minBusyMs || finishedCost === 0) return 0;
    return cost * busyMs / finishedCost;
  }

  function estimateSlotMs(cost: number): number {
    return finishedCost === 0 ? 0 : cost * slotMs / finishedCost;
  }
}
