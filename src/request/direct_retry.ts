/** The retries of one request, as far as they count for the retry budget. */

import type { RetryShare } from "../process/direct/limits/retry_share.ts";

/** The retries of one request. */
export interface DirectRetry {
  /** Spends a retry unless one is granted that no attempt uses; false without. */
  trySpend(): boolean;
  /** Begins an attempt, which uses the retry that is granted, if any. */
  beginAttempt(): AttemptRetry;
  /** Gives back a retry that is granted and that no attempt uses. */
  giveBack(): void;
  /** Ends the request; attempts that end later give their retries back. */
  end(): void;
}

/** The retry that one attempt uses; nothing for the first attempt. */
export interface AttemptRetry {
  /** Records that the attempt is sent now; only the first call counts. */
  recordSent(): void;
  /** Ends the attempt; a retry that was not sent is left for the next one. */
  end(): void;
}

/** Creates the retries of a request to a service. */
export function createDirectRetry(
  share: Pick<RetryShare, "recordSent" | "recordUnsent" | "trySpend">,
  service: string,
): DirectRetry {
  let isGranted = false;
  let isEnded = false;

  return {
    ...{ trySpend, beginAttempt, giveBack },
    end: () => {
      isEnded = true;
      giveBack();
    },
  };

  function trySpend(): boolean {
    isGranted ||= share.trySpend(service);
    return isGranted;
  }

  function beginAttempt(): AttemptRetry {
    let isUnsent = isGranted;
    isGranted = false;
    return { recordSent, end };

    function recordSent(): void {
      if (isUnsent) share.recordSent(service);
      isUnsent = false;
    }

    function end(): void {
      if (!isUnsent) return;
      isUnsent = false;
      if (isGranted || isEnded) share.recordUnsent(service);
      else isGranted = true;
    }
  }

  function giveBack(): void {
    if (isGranted) share.recordUnsent(service);
    isGranted = false;
  }
}
