/**
 * Decides whether a request is still sent to its target, and when a refused
 * caller should come back.
 *
 * Load pattern: a burst, or the loss of targets, leaves more requests at a
 * service than its targets finish in time. A request whose turn comes after its
 * deadline holds its caller in vain and its place in the queue, so it is refused
 * at once. Those refused come back when the queue is expected to be short again,
 * spread over time, as most callers try only once more.
 */

/** The target that a request would be sent to. */
export interface TargetQueue {
  /** Requests that run or wait at the target, without this one. */
  readonly load: number;
  /** Number of requests that the target runs concurrently. */
  readonly slots: number;
  /** Mean time that a request runs; undefined while too few were seen. */
  readonly meanRunMs: number | undefined;
}

/** Retry-after delay without a queue: a minimum and random jitter, in ms. */
const baseDelayMs = { min: 120, jitter: 300 } as const;

/** Part of the time left up to which callers honour a retry-after delay. */
const maxTimeLeftShare = 1 / 3;

/** Number of runs of a service from which its mean is used. */
const minRuns = 20;

/** Weight of a new run in the moving average. */
const smoothingFactor = 0.05;

/**
 * Returns the time until a request would begin to run, in milliseconds; 0 when
 * a slot is free or nothing is known of the runs.
 */
export function getExpectedWaitMs(
  { load, slots, meanRunMs = 0 }: TargetQueue,
): number {
  const ahead = Math.max(0, load + 1 - slots);
  return ahead * meanRunMs / Math.max(1, slots);
}

/** Returns true when a request would not even begin before its deadline. */
export function isBeyondDeadline(
  queue: TargetQueue,
  timeLeftMs: number,
): boolean {
  return getExpectedWaitMs(queue) > timeLeftMs;
}

/**
 * Returns the delay after which a refused caller should come back, in
 * milliseconds: once the queue has passed, or the first target is back from its
 * pause, spread over as long again.
 */
export function getRetryAfterMs(
  queue: TargetQueue | undefined,
  { timeLeftMs, pausedMs = 0, waitMs: queueWaitMs = 0, random }: {
    readonly timeLeftMs: number;
    /** Expected wait in this router's own queue, in milliseconds. */
    readonly waitMs?: number;
    /** Time for which all targets of the service are paused. */
    readonly pausedMs?: number;
    /** Random number in [0, 1). */
    readonly random: number;
  },
): number {
  const waitMs = Math.max(
    pausedMs,
    queueWaitMs,
    queue === undefined ? 0 : getExpectedWaitMs(queue),
  );
  const delayMs = baseDelayMs.min + waitMs +
    random * (baseDelayMs.jitter + waitMs);
  const maxMs = Math.max(baseDelayMs.min, timeLeftMs * maxTimeLeftShare);
  if (delayMs <= maxMs) return delayMs;
  // The jitter is kept below the bound too, so that callers stay spread; a
  // return during the pause would be in vain.
  const pausedMinMs = baseDelayMs.min + pausedMs;
  const minMs = pausedMinMs < maxMs ? pausedMinMs : baseDelayMs.min;
  return minMs + random * (maxMs - minMs);
}

/** Mean run times of services, from this router's own requests. */
export interface RunTimes {
  /** Records a run that began without waiting for a slot. */
  record(service: string, runMs: number): void;
  /** Returns the mean; undefined while too few runs were seen. */
  tryGetMeanMs(service: string): number | undefined;
}

/** Creates a record without runs. */
export function createRunTimes(): RunTimes {
  const services = new Map<string, { runs: number; meanMs: number }>();

  return { record, tryGetMeanMs };

  function record(service: string, runMs: number): void {
    const known = services.get(service) ?? { runs: 0, meanMs: runMs };
    services.set(service, {
      runs: known.runs + 1,
      meanMs: known.meanMs + (runMs - known.meanMs) * smoothingFactor,
    });
  }

  function tryGetMeanMs(service: string): number | undefined {
    const known = services.get(service);
    return known !== undefined && known.runs >= minRuns
      ? known.meanMs
      : undefined;
  }
}
