/**
 * Times events that wait in the event loop of the observing process. What is
 * handled now may have happened at any time since the loop was last idle.
 */

import type { Span } from "./observations.ts";

/** Interval of the ticks, in milliseconds. */
const tickIntervalMs = 5;

/** Time between two ticks from which the process counts as busy, in ms. */
export const minBusyMs = 50;

/** A clock that knows how long the event loop has been busy. */
export type LoopClock = ReturnType<typeof startLoopClock>;

/** Starts the clock's ticks. */
export function startLoopClock() {
  let lastTickAt = performance.now();
  let longestMs = 0;
  const busySpans: Span[] = [];
  const timer = setInterval(() => {
    const now = performance.now();
    longestMs = Math.max(longestMs, now - lastTickAt);
    if (now - lastTickAt > minBusyMs) {
      busySpans.push({ from: lastTickAt, to: now });
    }
    lastTickAt = now;
  }, tickIntervalMs);
  return {
    /** Returns the earliest time at which what is handled now can have begun. */
    getEarliest: () => lastTickAt,
    /** Times in which events were seen late. */
    busySpans,
    /** Returns the longest time between two ticks, in milliseconds. */
    getLongestBusyMs: () => longestMs,
    stop: () => clearInterval(timer),
  };
}
