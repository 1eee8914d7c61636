/**
 * Decides which targets are asked last because they recently refused work or
 * could not be reached, as when single targets are overloaded or have failed.
 * An entry only changes the order of targets; it never refuses a request.
 */

/** Maximum time for which a refusal is cached. */
const maxRefusalTtlMs = 1_000;

/** Time for which a refusal without a retry-after delay is cached. */
const defaultRefusalTtlMs = 100;

/** Time for which a target that could not be reached is asked last of all. */
const unreachableTtlMs = 1_000;

/** Capacity of the cache in targets; the oldest entry is evicted first. */
const maxTargets = 2_000;

/** The recent refusals and failed calls that one process has seen. */
export interface RefusalCache {
  /** Records a refusal; `retryAfterMs` is 0 when the target gave no delay. */
  recordRefusal(target: string, retryAfterMs: number): void;
  /** Records that a target did not respond. */
  recordUnreachable(target: string): void;
  /** Removes the entries of a target that has accepted work. */
  recordAccepted(target: string): void;
  /** Returns true while the target should be asked after others. */
  isDeprioritized(target: string): boolean;
  /** Returns true while a call to the target is likely to time out. */
  isUnreachable(target: string): boolean;
  /** Returns the time until each entry expires, by target, in milliseconds. */
  getRemainingMs(): ReadonlyMap<string, number>;
}

/** Creates an empty cache. */
export function createRefusalCache(): RefusalCache {
  const expiries = new Map<string, number>();
  const unreachableExpiries = new Map<string, number>();

  return {
    recordRefusal,
    recordUnreachable,
    recordAccepted,
    isDeprioritized: (target) => isUnexpired(expiries, target),
    isUnreachable: (target) => isUnexpired(unreachableExpiries, target),
    getRemainingMs,
  };

  function recordRefusal(target: string, retryAfterMs: number): void {
    setExpiry(
      expiries,
      target,
      Math.min(maxRefusalTtlMs, retryAfterMs || defaultRefusalTtlMs),
    );
  }

  function recordUnreachable(target: string): void {
    setExpiry(expiries, target, unreachableTtlMs);
    setExpiry(unreachableExpiries, target, unreachableTtlMs);
  }

  function recordAccepted(target: string): void {
    expiries.delete(target);
    unreachableExpiries.delete(target);
  }

  function getRemainingMs(): ReadonlyMap<string, number> {
    const now = performance.now();
    const remainingMs = new Map<string, number>();
    expiries.forEach((expiresAt, target) => {
      if (expiresAt > now) remainingMs.set(target, Math.round(expiresAt - now));
    });
    return remainingMs;
  }
}

/** Sets when a target's entry expires and moves the entry to the end. */
function setExpiry(
  expiries: Map<string, number>,
  target: string,
  ttlMs: number,
): void {
  expiries.delete(target);
  expiries.set(target, performance.now() + ttlMs);
  if (expiries.size > maxTargets) evictOldest(expiries);
}

/** Returns true if a target has an unexpired entry; removes an expired one. */
function isUnexpired(expiries: Map<string, number>, target: string): boolean {
  const expiresAt = expiries.get(target);
  if (expiresAt === undefined) return false;
  if (expiresAt > performance.now()) return true;
  expiries.delete(target);
  return false;
}

function evictOldest(expiries: Map<string, number>): void {
  const oldest = expiries.keys().next();
  if (!oldest.done) expiries.delete(oldest.value);
}
