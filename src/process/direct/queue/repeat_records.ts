/**
 * Remembers when callers whose requests were refused were told to come back, so
 * that one who comes earlier gets no earlier place.
 *
 * Load pattern: in a surge, three of ten callers ignore the Retry-After and repeat
 * their request at once, three times. Each repeat would be queued by its first
 * arrival, ahead of callers who wait as told and of new requests, and use up the
 * place that a return gets. A repeat that comes early is queued as if it came when
 * it was told to; the earlier arrival counts for the one that comes in time.
 */

/** Maximum number of refusals that are remembered; the oldest is forgotten. */
const maxRefusals = 2_000;

/**
 * Time by which a caller may come too early, in milliseconds, as delays are
 * rounded on the way and timers are not exact.
 */
const toleranceMs = 5;

/** Refusals of requests, by what identifies a request to its router. */
export interface RepeatRecords {
  /** Records that a request was refused, and after which time it may return. */
  recordRefusal(getKey: () => string, retryAfterMs: number): void;
  /**
   * Returns the time from which the place of a request counts that comes before
   * it was told to; undefined for all others. The key is asked for only while
   * refusals are remembered.
   */
  tryGetPlaceTime(getKey: () => string): number | undefined;
  getSize(): number;
}

/** Creates records without a refusal. */
export function createRepeatRecords(): RepeatRecords {
  /** Times at which requests may return, by key, the last refusal last. */
  const returns = new Map<string, number>();
  /** Time after which no record is of use. */
  let lastReturnAt = Number.NEGATIVE_INFINITY;

  return { recordRefusal, tryGetPlaceTime, getSize: () => returns.size };

  function recordRefusal(getKey: () => string, retryAfterMs: number): void {
    if (retryAfterMs <= 0) return;
    removeExpired();
    const key = getKey();
    // A repeat that was refused again doesn't shorten what was told before.
    const returnAt = Math.max(
      returns.get(key) ?? 0,
      performance.now() + retryAfterMs,
    );
    returns.delete(key);
    returns.set(key, returnAt);
    lastReturnAt = Math.max(lastReturnAt, returnAt);
    const [oldest] = returns.keys();
    if (returns.size > maxRefusals && oldest !== undefined) {
      returns.delete(oldest);
    }
  }

  function tryGetPlaceTime(getKey: () => string): number | undefined {
    removeExpired();
    if (returns.size === 0) return undefined;
    const returnAt = returns.get(getKey());
    return returnAt !== undefined && returnAt > performance.now() + toleranceMs
      ? returnAt
      : undefined;
  }

  /** Refusals are told similar times, so the oldest mostly end first. */
  function removeExpired(): void {
    const now = performance.now();
    if (lastReturnAt <= now) return returns.clear();
    for (const [key, returnAt] of returns) {
      if (returnAt > now) return;
      returns.delete(key);
    }
  }
}
