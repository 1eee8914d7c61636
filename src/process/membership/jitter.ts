/** Waits that grow after failures and differ between processes. */

/** Options of a wait that grows. */
export interface BackOffOptions {
  /** Wait after the first failure, in milliseconds. */
  readonly firstMs: number;
  /** Longest wait, in milliseconds. */
  readonly maxMs: number;
}

/**
 * Returns the wait after a number of failures in a row: between half and all
 * of a bound that doubles, so that processes do not come back together.
 */
export function getBackOffMs(
  failures: number,
  options: BackOffOptions,
): number {
  const doublings = Math.min(Math.max(0, failures - 1), 30);
  const boundMs = Math.min(options.maxMs, options.firstMs * 2 ** doublings);
  return getJitteredMs(boundMs);
}

/** Returns a time between half and all of the given one. */
export function getJitteredMs(ms: number): number {
  return ms * (0.5 + Math.random() / 2);
}
