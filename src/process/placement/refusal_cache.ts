/**
 * Remembers for a short time which targets refused work or could not be
 * reached. It only reorders the next asks; it never refuses by itself.
 */

/** Longest time that one refusal is remembered, in milliseconds. */
const maxRefusalTtlMs = 1_000;

/** Time that a refusal without a hint is remembered, in milliseconds. */
const defaultRefusalTtlMs = 100;

/** Time that a target is asked last of all after it was not reached, in ms. */
const unreachableTtlMs = 1_000;

/** Targets that are remembered; the oldest goes first. */
const maxTargets = 2_000;

/** Recent refusals of one process. */
export interface RefusalCache {
  /** Notes a refusal; `forMs` is the target's hint, 0 for none. */
  recordRefusal(target: string, retryAfterMs: number): void;
  /** Notes that a target gave no answer. */
  recordUnreachable(target: string): void;
  /** Forgets the refusals of a target that has taken work. */
  recordAccepted(target: string): void;
  /** True while the target should be asked after others. */
  isDeprioritized(target: string): boolean;
  /** True while asking the target would likely cost a wait for nothing. */
  isUnreachable(target: string): boolean;
  /** Remembered targets with the time left, in milliseconds. */
  getRemainingMs(): ReadonlyMap<string, number>;
}

/** Creates an empty memory. */
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

/** Puts a target last in a map, for some time. */
function setExpiry(
  expiries: Map<string, number>,
  target: string,
  ttlMs: number,
): void {
  expiries.delete(target);
  expiries.set(target, performance.now() + ttlMs);
  if (expiries.size > maxTargets) evictOldest(expiries);
}

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
