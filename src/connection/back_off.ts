/** Keeps a process away from a service that does not answer. */

/** Source of randomness, from 0 up to 1. */
export interface BackOffHost {
  random(): number;
}

/** Grows with each failure in a row; a success ends it. */
export interface BackOff {
  /** Time until the next call may go out, in milliseconds; 0 means now. */
  getDelayMs(): number;
  recordFailure(): void;
  recordSuccess(): void;
}

/** First pause, in milliseconds; it doubles with each failure. */
const initialDelayMs = 100;

/** Longest pause, in milliseconds. */
const maxDelayMs = 2000;

/**
 * Creates a back-off with jitter: processes that lost the service in the same
 * moment come back spread over the length of the pause.
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
    // Calls that were out together fail together and count as one.
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
