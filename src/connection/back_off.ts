/** Keeps a process away from a service that does not answer. */

/** Source of randomness, from 0 up to 1. */
export interface BackOffHost {
  random(): number;
}

/** Grows with each failure in a row; a success ends it. */
export interface BackOff {
  /** Time until the next call may go out, in milliseconds; 0 means now. */
  getWaitMs(): number;
  noteFailure(): void;
  noteSuccess(): void;
}

/** First pause, in milliseconds; it doubles with each failure. */
const firstPauseMs = 100;

/** Longest pause, in milliseconds. */
const longestPauseMs = 2000;

/**
 * Creates a back-off with jitter: processes that lost the service in the same
 * moment come back spread over the length of the pause.
 */
export function createBackOff(host: BackOffHost): BackOff {
  let failures = 0;
  let openAt = 0;

  return { getWaitMs, noteFailure, noteSuccess };

  function getWaitMs(): number {
    return Math.max(0, openAt - Date.now());
  }

  function noteFailure(): void {
    // Calls that were out together fail together and count as one.
    if (getWaitMs() > 0) return;
    const pauseMs = Math.min(longestPauseMs, firstPauseMs * 2 ** failures);
    failures++;
    openAt = Date.now() + pauseMs * (0.5 + host.random() / 2);
  }

  function noteSuccess(): void {
    failures = 0;
    openAt = 0;
  }
}
