/**
 * Limits this router's retries to its share of the fleet's retry budget.
 *
 * Load pattern: many targets fail at once and every router retries. The sum of
 * the shares still stays within the budget: each router counts its own requests
 * and divides the slack by the number of registered routers, not by the number
 * of those that it hears from.
 */

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

/** Times of the requests and retries of one service. */
interface Counts {
  readonly requestTimes: number[];
  readonly retryTimes: number[];
}

/** Share of one router in the retry budget. */
export interface RetryShare {
  /** Records a caller's request for a service. */
  recordRequest(service: string): void;
  /** Spends one retry; returns false when the share is spent. */
  trySpend(service: string): boolean;
  /** Returns the number of retries in the current window, for metrics. */
  getSpent(): number;
}

/** Creates an unspent share. */
export function createRetryShare(
  host: { getRouterCount(): number },
  allowance: RetryAllowance,
): RetryShare {
  const services = new Map<string, Counts>();

  return { recordRequest, trySpend, getSpent };

  function recordRequest(service: string): void {
    getCounts(service).requestTimes.push(performance.now());
  }

  function trySpend(service: string): boolean {
    const { requestTimes, retryTimes } = getCounts(service);
    const allowedRetries = requestTimes.length * allowance.ratio +
      allowance.slack / Math.max(1, host.getRouterCount());
    if (retryTimes.length + 1 > allowedRetries * usableFraction) return false;
    retryTimes.push(performance.now());
    return true;
  }

  function getSpent(): number {
    return [...services.keys()]
      .reduce((sum, name) => sum + getCounts(name).retryTimes.length, 0);
  }

  function getCounts(service: string): Counts {
    const counts = services.get(service) ??
      { requestTimes: [], retryTimes: [] };
    services.set(service, counts);
    const oldest = performance.now() - allowance.windowMs;
    dropBefore(counts.requestTimes, oldest);
    dropBefore(counts.retryTimes, oldest);
    return counts;
  }
}

function dropBefore(times: number[], oldest: number): void {
  const firstRecent = times.findIndex((at) => at >= oldest);
  times.splice(0, firstRecent < 0 ? times.length : firstRecent);
}
