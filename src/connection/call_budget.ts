/** Limits the rate at which one process calls the platform. */

import { assertInvariant } from "../types/assert.ts";

/** A token bucket; each call takes one token. */
export interface CallBudget {
  /**
   * Takes a token and returns 0 if one is available; otherwise returns the
   * delay until the next one, in milliseconds.
   */
  take(): number;
}

/** Creates a full bucket with a capacity of one second's calls. */
export function createCallBudget(callsPerSecond: number): CallBudget {
  assertInvariant(callsPerSecond > 0, "the call rate must be positive");
  const capacity = Math.max(1, callsPerSecond);
  let tokens = capacity;
  let refilledAt = Date.now();

  return { take };

  function take(): number {
    const now = Date.now();
    const elapsedMs = Math.max(0, now - refilledAt);
    tokens = Math.min(capacity, tokens + elapsedMs * callsPerSecond / 1000);
    refilledAt = now;
    if (tokens < 1) return Math.ceil((1 - tokens) * 1000 / callsPerSecond);
    tokens--;
    return 0;
  }
}
