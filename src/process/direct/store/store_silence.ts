/**
 * Measures for how long the store has owed this router a response.
 *
 * Load pattern: the store, or the path to it, holds all bytes back for some
 * seconds, or refuses all calls. A watch without changes is answered only at the
 * end of its wait, so that its silence tells nothing before. A process that is
 * stopped waits for nothing: time in which it did not run does not count.
 */

import { minSilenceMs, type StoreContactSpan } from "./store_availability.ts";

/** What the measurement needs from the process. */
export interface StoreSilenceHost {
  /** Records a time in which a response was owed. */
  recordSilence(span: StoreContactSpan): void;
  /** Handles that a response has been owed for `minSilenceMs`. */
  handleSilent(): void;
}

/** The silence of the store towards one router. */
export interface StoreSilence {
  /**
   * Records a call that the store may hold for a time, in milliseconds; returns
   * its end, by a response or a failure.
   */
  beginCall(waitMs: number): () => void;
  /** Records that a call has failed. */
  recordFailure(): void;
  /** Records that a response has begun. */
  recordResponse(): void;
  /**
   * Returns the time for which a response has been owed since the last one, in
   * milliseconds; 0 while none is.
   */
  getSilentMs(): number;
}

/** Time after which a response that is due is owed, in milliseconds. */
const toleranceMs = 250;

/** Time after a failure for which the store counts as silent, in ms. */
const failureTtlMs = 700;

/** Interval of the measurement, in milliseconds. */
const tickIntervalMs = 50;

/** Maximum time that counts in one interval, in milliseconds. */
const maxTickMs = 100;

/** Creates the measurement of a router that has made no call. */
export function createStoreSilence(host: StoreSilenceHost): StoreSilence {
  /** Times from which on the responses to pending calls are owed. */
  const owedTimes = new Set<{ readonly at: number }>();
  let failedAt = Number.NEGATIVE_INFINITY;
  let silentMs = 0;
  let tickedAt = 0;
  let timer: NodeJS.Timeout | undefined;

  return {
    beginCall,
    recordFailure: () => {
      failedAt = performance.now();
      startTicks();
    },
    recordResponse: () => {
      silentMs = 0;
      failedAt = Number.NEGATIVE_INFINITY;
      owedTimes.clear();
    },
    getSilentMs: () => silentMs,
  };

  function beginCall(waitMs: number): () => void {
    const owed = { at: performance.now() + waitMs + toleranceMs };
    owedTimes.add(owed);
    startTicks();
    return () => void owedTimes.delete(owed);
  }

  function startTicks(): void {
    if (timer !== undefined) return;
    tickedAt = performance.now();
    timer = setInterval(tick, tickIntervalMs).unref();
  }

  function tick(): void {
    const now = performance.now();
    const elapsedMs = Math.min(now - tickedAt, maxTickMs);
    tickedAt = now;
    if (isOwed(now)) {
      const wasSilent = silentMs >= minSilenceMs;
      silentMs += elapsedMs;
      host.recordSilence({ since: now - elapsedMs, until: now });
      if (!wasSilent && silentMs >= minSilenceMs) host.handleSilent();
    } else if (owedTimes.size === 0) {
      clearInterval(timer);
      timer = undefined;
      silentMs = 0;
    }
  }

  function isOwed(now: number): boolean {
    if (now - failedAt <= failureTtlMs) return true;
    return [...owedTimes].some(({ at }) => now > at);
  }
}
