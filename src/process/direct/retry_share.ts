/**
 * This router's share of the repeats that the whole fleet may send to a
 * service in any window. Load pattern: many targets fail at once and every
 * router wants to repeat; the shares add up to the fleet's allowance even so,
 * as each router counts its own requests and divides what is left over by the
 * number of routers that are registered, not by those that it hears.
 */

/** The allowance of the whole fleet. */
export interface RetryAllowance {
  /** Repeats as a share of the requests of the same window. */
  readonly ratio: number;
  /** Repeats beyond that in any window. */
  readonly slack: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/** Part of the allowance that is spent; the rest covers clients' own bursts. */
const usableFraction = 0.8;

/** Requests and repeats of one service. */
interface Counts {
  readonly requestTimes: number[];
  readonly retryTimes: number[];
}

/** The share of one router. */
export interface RetryShare {
  /** Counts a caller's request for a service. */
  recordRequest(service: string): void;
  /** Takes one repeat; false when the share is spent. */
  trySpend(service: string): boolean;
  /** Repeats sent in the current window, for metrics. */
  getSpent(): number;
}

/** Creates an unspent share. */
export function createRetryShare(
  host: { getRouters(): number },
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
      allowance.slack / Math.max(1, host.getRouters());
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
