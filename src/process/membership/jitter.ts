/** Computes exponential back-off and random jitter for delays. */

/** Bounds of an exponential back-off. */
export interface BackOffOptions {
  /** Delay after the first failure, before jitter, in milliseconds. */
  readonly firstMs: number;
  /** Maximum delay, in milliseconds. */
  readonly maxMs: number;
}

/**
 * Returns the delay after a number of failures in a row: between 50% and 100%
 * of a bound that doubles, so that processes do not retry at the same time.
 */
export function getBackOffMs(
  failures: number,
  options: BackOffOptions,
): number {
  const doublings = Math.min(Math.max(0, failures - 1), 30);
  const boundMs = Math.min(options.maxMs, options.firstMs * 2 ** doublings);
  return getJitteredMs(boundMs);
}

/** Returns a random duration between 50% and 100% of the given one. */
export function getJitteredMs(ms: number): number {
  return ms * (0.5 + Math.random() / 2);
}
