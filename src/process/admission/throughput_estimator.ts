/** Estimates the rate at which a target completes work. */

/** Time constant of the exponential decay of observations, in milliseconds. */
const decayMs = 10_000;

/** Minimum busy time before an estimate is given, in milliseconds. */
const minBusyMs = 50;

/** One finished request and the number that still run. */
export interface FinishedWork {
  /** Estimated work, in work units. */
  readonly cost: number;
  /** Time that the request occupied its slot, in milliseconds. */
  readonly tookMs: number;
  /** Requests that run from now on. */
  readonly running: number;
}

/** Running estimate of the throughput of one target. */
export interface ThroughputEstimator {
  /** Records how many requests run from now on. */
  recordRunning(running: number): void;
  /** Records a finished request and how many requests run from now on. */
  recordFinished(done: FinishedWork): void;
  /**
   * Returns the time in which the target completes this work, over all its
   * slots, in milliseconds; 0 while the rate is unknown.
   */
  estimateCompletionMs(cost: number): number;
  /**
   * Returns the time for which a request of this work occupies its slot, in
   * milliseconds; 0 while it is unknown.
   */
  estimateSlotMs(cost: number): number;
}

/** Creates an estimator without observations. */
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

  /**
   * Decays the totals by the busy time since the last call. Idle time does
   * not count, so an idle target keeps its estimate.
   */
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
