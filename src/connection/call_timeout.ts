/**
 * Limits the time of an HTTP call in two steps: until its response begins, and
 * from then until it ends. A silent server is noticed soon, and a long response
 * still has the time that a slow link needs for it.
 */

/** The two limits, in milliseconds. */
export interface CallTimeoutOptions {
  /** Time from the start of the call to the head of the response. */
  readonly headMs: number;
  /** Time from the head of the response to its end. */
  readonly bodyMs: number;
}

/** The timeout of one call. */
export interface CallTimeout {
  /** Aborts when a limit is exceeded. */
  readonly signal: AbortSignal;
  /** Records that the head of the response has arrived. */
  recordHead(): void;
  /** Ends the timeout. */
  clear(): void;
}

/** Starts the timeout of a call. */
export function startCallTimeout(
  { headMs, bodyMs }: CallTimeoutOptions,
): CallTimeout {
  const controller = new AbortController();
  let timer = start(headMs, "The response did not begin in time");

  return {
    signal: controller.signal,
    recordHead: () => {
      clearTimeout(timer);
      timer = start(bodyMs, "The response did not end in time");
    },
    clear: () => clearTimeout(timer),
  };

  function start(ms: number, reason: string): NodeJS.Timeout {
    return setTimeout(() => controller.abort(new Error(reason)), ms).unref();
  }
}
