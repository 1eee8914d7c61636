/**
 * Limits the time of an HTTP call: until its response begins, between the pieces
 * of its body, and from its head to its end. A silent server is noticed soon, and
 * a long response still has the time that a slow link needs for it.
 */

/** The limits, in milliseconds. */
export interface CallTimeoutOptions {
  /** Time from the start of the call to the head of the response. */
  readonly headMs: number;
  /** Time from the head of the response to its end. */
  readonly bodyMs: number;
  /** Time from the head or a piece of the body to the next; `bodyMs` without it. */
  readonly bodySilenceMs?: number;
}

/** The timeout of one call. */
export interface CallTimeout {
  /** Aborts when a limit is exceeded. */
  readonly signal: AbortSignal;
  /** Records that the head of the response has arrived. */
  recordHead(): void;
  /** Records that a piece of the body has arrived. */
  recordPiece(): void;
  /** Ends the timeout. */
  clear(): void;
}

/** Starts the timeout of a call. */
export function startCallTimeout(
  { headMs, bodyMs, bodySilenceMs = bodyMs }: CallTimeoutOptions,
): CallTimeout {
  const controller = new AbortController();
  let timer = start(headMs, "The response did not begin in time");
  let silenceTimer: NodeJS.Timeout | undefined;

  return {
    signal: controller.signal,
    recordHead: () => {
      clearTimeout(timer);
      timer = start(bodyMs, "The response did not end in time");
      silenceTimer = start(bodySilenceMs, "The response did not go on");
    },
    recordPiece: () => void silenceTimer?.refresh(),
    clear: () => {
      clearTimeout(timer);
      clearTimeout(silenceTimer);
    },
  };

  function start(ms: number, reason: string): NodeJS.Timeout {
    return setTimeout(() => controller.abort(new Error(reason)), ms).unref();
  }
}
