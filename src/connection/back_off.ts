/**
 * Decides when calls to a failing service may resume.
 *
 * Load pattern: many processes lose the service at the same moment and would
 * retry at the same moment too.
 */

/** A source of random numbers from 0 up to 1. */
export interface BackOffHost {
  random(): number;
}

/** The delay before calls; each failure doubles it, a success resets it. */
export interface BackOff {
  /** Time until the next call may be sent, in milliseconds; 0 means now. */
  getDelayMs(): number;
  recordFailure(): void;
  recordSuccess(): void;
}

/** Delay after the first failure, in milliseconds; further ones double it. */
const initialDelayMs = 100;

/** Maximum delay, in milliseconds. */
const maxDelayMs = 2000;

/**
 * Creates a back-off with jitter: the retries of processes that lost the
 * service at the same moment are spread over the second half of the delay.
 */
export function createBackOff(host: BackOffHost): BackOff {
  let failures = 0;
  let retryAt = 0;

  return {
    getDelayMs,
    recordFailure,
    recordSuccess,
  };

  function getDelayMs(): number {
    return Math.max(0, retryAt - Date.now());
  }

  function recordFailure(): void {
    // Concurrent calls that fail together count as one failure.
    if (getDelayMs() > 0) return;
    const delayMs = Math.min(maxDelayMs, initialDelayMs * 2 ** failures);
    failures++;
    retryAt = Date.now() + delayMs * (0.5 + host.random() / 2);
  }

  function recordSuccess(): void {
    failures = 0;
    retryAt = 0;
  }
}
