/** Keeps the highest recent value of a number that changes now and then. */

/** A number and its highest value within a time. */
export interface RecentMaximum {
  /** Records the value from now on. */
  record(value: number): void;
  /** Returns the highest value that was current within the time. */
  get(): number;
}

/** A value that is no longer current. */
interface PastValue {
  readonly value: number;
  /** When another value replaced it, on the monotonic clock. */
  readonly endedAt: number;
}

/** Creates a number whose value is 0 until the first record. */
export function createRecentMaximum(
  { windowMs }: { readonly windowMs: number },
): RecentMaximum {
  let current = 0;
  let past: readonly PastValue[] = [];

  return { record, get };

  function record(value: number): void {
    if (value === current) return;
    const now = performance.now();
    // Lower values that ended earlier can never be the highest again.
    past = [
      ...getRecent().filter((entry) => entry.value > current),
      { value: current, endedAt: now },
    ];
    current = value;
  }

  function get(): number {
    return Math.max(current, ...getRecent().map(({ value }) => value));
  }

  function getRecent(): readonly PastValue[] {
    const oldest = performance.now() - windowMs;
    return past.filter(({ endedAt }) => endedAt >= oldest);
  }
}
