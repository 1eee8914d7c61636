/** Stops a request when its deadline passes or its caller disconnects. */

/** Lateness of a timer from which the process was paused, in milliseconds. */
const minPauseMs = 50;

/** Time in which a response is read that arrived during a pause, in ms. */
const readTimeMs = 100;

/** Why a request is stopped. */
export type StopReason = "deadline" | "caller_gone";

/** Stop condition of one request. */
export interface RequestStop {
  /** Aborts when the request is stopped. */
  readonly signal: AbortSignal;
  /** Returns why the request is stopped; undefined while it may run. */
  getReason(): StopReason | undefined;
  /**
   * Returns how long after its deadline the request was stopped, in milliseconds;
   * undefined when it was not stopped at its deadline.
   */
  getLateMs(): number | undefined;
  /** Removes the timer and the listener. */
  clear(): void;
}

/** Starts to watch the deadline and the caller of a request. */
export function createRequestStop(
  options: {
    readonly deadlineAt: number;
    /** Aborts when the caller disconnects. */
    readonly disconnectSignal: AbortSignal;
    /** Clock of `deadlineAt`; defaults to `Date.now`. */
    getNow?(): number;
  },
): RequestStop {
  const getNow = options.getNow ?? Date.now;
  const controller = new AbortController();
  let reason: StopReason | undefined;
  let lateMs: number | undefined;
  let timer = setTimeout(
    handleDeadline,
    Math.max(0, options.deadlineAt - getNow()),
  );
  const onDisconnected = (): void => stop("caller_gone");
  options.disconnectSignal.addEventListener("abort", onDisconnected, {
    once: true,
  });
  if (options.disconnectSignal.aborted) onDisconnected();

  return {
    signal: controller.signal,
    getReason,
    getLateMs: () => lateMs,
    clear,
  };

  function getReason(): StopReason | undefined {
    // After a pause of the process the clock can show that the deadline has
    // passed before the timer fires.
    if (reason === undefined && getNow() >= options.deadlineAt) {
      stop("deadline");
    }
    return reason;
  }

  /** After a pause of the process a response may be ready to be read. */
  function handleDeadline(): void {
    const isPaused = getNow() - options.deadlineAt >= minPauseMs;
    if (!isPaused) stop("deadline");
    else timer = setTimeout(() => stop("deadline"), readTimeMs);
  }

  function stop(cause: StopReason): void {
    if (reason !== undefined) return;
    reason = cause;
    if (cause === "deadline") lateMs = getNow() - options.deadlineAt;
    controller.abort();
  }

  function clear(): void {
    clearTimeout(timer);
    options.disconnectSignal.removeEventListener("abort", onDisconnected);
  }
}
