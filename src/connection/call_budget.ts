/** Limits the calls of one process to the platform. */

import { assertInvariant } from "../types/assert.ts";

/** A token bucket of calls. */
export interface CallBudget {
  /** Takes one call; returns 0, or the time to wait in milliseconds. */
  take(): number;
}

/** Creates a bucket that holds the calls of one second. */
export function createCallBudget(callsPerSecond: number): CallBudget {
  assertInvariant(callsPerSecond > 0, "a process may make some calls");
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
