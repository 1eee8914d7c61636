/**
 * Limits this router's retries to its share of the fleet's retry budget.
 *
 * Load pattern: many targets fail at once and every router retries, while
 * routers restart and their entries in the store are lost. The sum of the shares
 * still stays within the budget: each router counts its own requests and divides
 * the slack by the highest number of routers that were registered lately. A new
 * process does not know what the one before it spent, so it uses a small part of
 * the slack until those retries are out of every window.
 */

import { createRequestCount, type RequestCount } from "./request_count.ts";

/** Retry budget of the whole fleet for one service. */
export interface RetryAllowance {
  /** Retries as a fraction of the requests in the same window. */
  readonly ratio: number;
  /** Retries beyond that fraction in any window. */
  readonly slack: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/** Fraction of the budget that is used; the rest covers clients' own bursts. */
const usableFraction = 0.8;

/** Fraction of the slack that a new process uses in its first window. */
const newProcessSlackFraction = 0.1;

/**
 * Maximum time from the sending of a retry to its arrival at a target, in
 * milliseconds.
 */
const maxArrivalDelayMs = 1_000;

/** Requests of one service, the times of its retries and those to come. */
interface Counts {
  readonly requests: RequestCount;
  readonly retryTimes: number[];
  /** Granted retries that are not sent yet, such as those in a queue. */
  unsent: number;
}

/** Share of one router in the retry budget. */
export interface RetryShare {
  /** Records a caller's request for a service. */
  recordRequest(service: string): void;
  /**
   * Spends one retry; returns false when the share is spent. The retry counts
   * until a window after `recordSent`, or until `recordUnsent`.
   */
  trySpend(service: string): boolean;
  /** Records that a retry that was granted is sent now. */
  recordSent(service: string): void;
  /** Records that a retry that was granted will not be sent. */
  recordUnsent(service: string): void;
  /** Returns the number of retries in the current window, for metrics. */
  getSpent(): number;
}

/** Creates an unspent share. */
export function createRetryShare(
  host: {
    /** Returns the highest number of routers that were registered lately. */
    getRouterCount(): number;
  },
  allowance: RetryAllowance,
): RetryShare {
  const services = new Map<string, Counts>();
  const retryWindowMs = allowance.windowMs + maxArrivalDelayMs;
  const startedAt = performance.now();

  return { recordRequest, trySpend, recordSent, recordUnsent, getSpent };

  function recordRequest(service: string): void {
    getCounts(service).requests.record();
  }

  function trySpend(service: string): boolean {
    const counts = getCounts(service);
    const allowedRetries =
      counts.requests.getGuaranteed() * allowance.ratio * usableFraction +
      getSlackShare();
    if (countSpent(counts) + 1 > allowedRetries) return false;
    counts.unsent++;
    return true;
  }

  function recordSent(service: string): void {
    const counts = getCounts(service);
    counts.unsent--;
    counts.retryTimes.push(performance.now());
  }

  function recordUnsent(service: string): void {
    getCounts(service).unsent--;
  }

  function getSlackShare(): number {
    const isNew = performance.now() - startedAt < retryWindowMs;
    const fraction = isNew ? newProcessSlackFraction : usableFraction;
    return allowance.slack * fraction / Math.max(1, host.getRouterCount());
  }

  function getSpent(): number {
    return [...services.keys()]
      .reduce((sum, name) => sum + countSpent(getCounts(name)), 0);
  }

  function getCounts(service: string): Counts {
    const counts: Counts = services.get(service) ?? {
      requests: createRequestCount({ windowMs: allowance.windowMs }),
      retryTimes: [],
      unsent: 0,
    };
    services.set(service, counts);
    dropBefore(counts.retryTimes, performance.now() - retryWindowMs);
    return counts;
  }
}

function countSpent({ retryTimes, unsent }: Counts): number {
  return retryTimes.length + unsent;
}

function dropBefore(times: number[], oldest: number): void {
  const firstRecent = times.findIndex((at) => at >= oldest);
  times.splice(0, firstRecent < 0 ? times.length : firstRecent);
}
