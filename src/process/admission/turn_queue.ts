/**
 * Decides which requests wait for a turn of the process, and which are refused.
 *
 * Load pattern: requests arrive faster than the process can handle them. A queue
 * that only grows serves nobody in time, and each request that passes its timeout
 * in it is work in vain. A burst may wait as long as it can still be served. Once
 * the queue has not been empty for a while, waiting gains nothing, so it is kept
 * short and the rest is refused at once, while callers have time to return.
 */

/** Time without an empty queue after which it no longer holds a burst, in ms. */
const standingMs = 2_500;

/** Maximum expected waits in a burst and in a queue that stands, in ms. */
const maxWaitsMs = { burst: 2_000, standing: 150 } as const;

/** Part of its time that a request of a burst may wait at most. */
const maxBurstShare = 0.75;

/** Number of requests that may wait whatever is expected. */
const minWaiting = 4;

/** Minimum time that a target needs for a request, in milliseconds. */
const minRunMs = 20;

/** Requests that the process handles until one is sent and answered. */
const requestsUntilServed = 4;

/** Turns from which the mean time per request is used; the first take longer. */
const minTurns = 4;

/** Weight of a new turn in the mean time per request. */
const smoothingFactor = 0.1;

/** Part of the longest turn that is kept with each turn after it. */
const longestTurnDecay = 0.9;

/**
 * Time without a turn, while others waited, after which nothing is known of their
 * length, in milliseconds. A queue that takes nothing in has no turns.
 */
const maxPaceAgeMs = 1_000;

/** Longest time that is taken for that of one request or turn, in milliseconds. */
const maxRequestMs = 500;

/** A request that waits for a turn. */
export interface TurnWaiter {
  /** When its timeout passes, on the monotonic clock. */
  readonly deadlineAt: number;
}

/** The queue, with the requests that it releases. */
export interface TurnQueue<Waiter extends TurnWaiter> {
  /** Adds a request; returns false when it is refused instead. */
  tryAdd(waiter: Waiter): boolean;
  /** Returns true when no request may wait. */
  isOverloaded(): boolean;
  /** Returns the time in milliseconds after which there may be room. */
  getReturnMs(): number;
  /** Removes the requests that can't be served in time any more. */
  takeExpired(): readonly Waiter[];
  /** Removes the requests whose turn it is, those that have waited longest. */
  take(maxCount: number): readonly Waiter[];
  /** Records that the process does something else first, for a short time. */
  interrupt(): void;
  /** Returns the number of requests that wait. */
  countWaiting(): number;
}

/** Creates an empty queue. */
export function createTurnQueue<
  Waiter extends TurnWaiter,
>(): TurnQueue<Waiter> {
  let waiting: Waiter[] = [];
  let emptyAt = performance.now();
  /** The last turn, when others still waited. */
  let taken: { readonly at: number; readonly count: number } | undefined;
  /** Mean time per request while others wait, in milliseconds. */
  let meanRequestMs = 0;
  /** Longest turn while others wait, which lessens with each one, in ms. */
  let longestTurnMs = 0;
  /** End of the last turn while others waited. */
  let turnAt = 0;
  let turns = 0;

  return {
    tryAdd,
    isOverloaded,
    getReturnMs,
    takeExpired,
    take,
    interrupt: () => {
      taken = undefined;
    },
    countWaiting: () => waiting.length,
  };

  function tryAdd(waiter: Waiter): boolean {
    const now = performance.now();
    if (waiting.length === 0) {
      emptyAt = now;
      if (now - turnAt > maxPaceAgeMs) forgetPace();
    }
    if (isOverloaded() || !mayWait(waiter.deadlineAt - now)) return false;
    waiting.push(waiter);
    return true;
  }

  function forgetPace(): void {
    turns = 0;
    meanRequestMs = 0;
    longestTurnMs = 0;
  }

  function mayWait(timeLeftMs: number): boolean {
    const waitMs = getWaitMs();
    if (waitMs + getServeMs() > timeLeftMs) return false;
    const maxMs = Math.min(maxWaitsMs.burst, timeLeftMs * maxBurstShare);
    return waiting.length < minWaiting || waitMs <= maxMs;
  }

  function isOverloaded(): boolean {
    return waiting.length >= minWaiting && getStandingMs() > standingMs &&
      getWaitMs() > maxWaitsMs.standing;
  }

  /** An overload that has lasted for some time is likely to last as long again. */
  function getReturnMs(): number {
    return Math.max(getWaitMs(), getStandingMs());
  }

  function getStandingMs(): number {
    return performance.now() - emptyAt;
  }

  function getWaitMs(): number {
    return waiting.length * getRequestMs();
  }

  /** Returns the least time that a request needs from its turn on, in ms. */
  function getServeMs(): number {
    if (turns < minTurns) return minRunMs;
    return minRunMs + Math.max(
      requestsUntilServed * meanRequestMs,
      // The turn in which the response is read may be as long as the longest.
      longestTurnMs,
    );
  }

  /** What waits for longer than it has time is not kept until its deadline. */
  function takeExpired(): readonly Waiter[] {
    const firstAt = performance.now() + getServeMs();
    const requestMs = getRequestMs();
    const kept: Waiter[] = [];
    const expired = waiting.filter((waiter) => {
      const isLate = waiter.deadlineAt < firstAt + kept.length * requestMs;
      if (!isLate) kept.push(waiter);
      return isLate;
    });
    if (expired.length > 0) waiting = kept;
    return expired;
  }

  function take(maxCount: number): readonly Waiter[] {
    const now = performance.now();
    if (taken !== undefined) recordTurn(now - taken.at, taken.count);
    const next = waiting.splice(0, maxCount);
    taken = waiting.length > 0 ? { at: now, count: next.length } : undefined;
    if (waiting.length === 0) emptyAt = now;
    return next;
  }

  function recordTurn(turnMs: number, requests: number): void {
    const bounded = Math.min(turnMs / requests, maxRequestMs);
    turnAt = performance.now();
    longestTurnMs = Math.max(
      Math.min(turnMs, maxRequestMs),
      longestTurnMs * longestTurnDecay,
    );
    turns++;
    const weight = Math.max(smoothingFactor, 1 / turns);
    meanRequestMs += (bounded - meanRequestMs) * weight;
  }

  function getRequestMs(): number {
    return turns < minTurns ? 0 : meanRequestMs;
  }
}
