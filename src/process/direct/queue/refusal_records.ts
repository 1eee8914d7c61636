/**
 * Remembers for a short time which requests were refused, so that one that comes
 * back is queued as if it had waited since it first arrived.
 *
 * Load pattern: in a surge many callers are refused, and most of them try once
 * more after the delay that they were told. Behind newcomers they would be refused
 * again.
 */

/** Time for which a refusal is remembered, in milliseconds. */
const refusalTtlMs = 6_000;

/** Maximum number of remembered refusals; the oldest is forgotten first. */
const maxRefusals = 2_000;

/** Refusals of requests, by what identifies a request to its router. */
export interface RefusalRecords {
  /** Records that a request was refused that first arrived at that time. */
  record(key: string, firstArrivedAt: number): void;
  /** Takes the arrival of a request that comes back; undefined for a new one. */
  tryTake(key: string): number | undefined;
  /** Returns the arrival that `tryTake` would take, and leaves it. */
  tryGet(key: string): number | undefined;
  getSize(): number;
}

/** Creates records without a refusal. */
export function createRefusalRecords(): RefusalRecords {
  let refusals: {
    readonly key: string;
    readonly at: number;
    readonly firstArrivedAt: number;
  }[] = [];

  return { record, tryTake, tryGet, getSize: () => refusals.length };

  function record(key: string, firstArrivedAt: number): void {
    removeExpired();
    refusals.push({ key, at: performance.now(), firstArrivedAt });
    if (refusals.length > maxRefusals) refusals.shift();
  }

  function tryTake(key: string): number | undefined {
    if (refusals.length === 0) return undefined;
    removeExpired();
    const index = refusals.findIndex((refusal) => refusal.key === key);
    if (index < 0) return undefined;
    return refusals.splice(index, 1)[0]?.firstArrivedAt;
  }

  function tryGet(key: string): number | undefined {
    const oldest = performance.now() - refusalTtlMs;
    return refusals.find((refusal) =>
      refusal.key === key && refusal.at >= oldest
    )?.firstArrivedAt;
  }

  function removeExpired(): void {
    const oldest = performance.now() - refusalTtlMs;
    if ((refusals[0]?.at ?? oldest) >= oldest) return;
    refusals = refusals.filter(({ at }) => at >= oldest);
  }
}
