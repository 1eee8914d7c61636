/** The moment from which a request is given up: deadline or caller gone. */

/** Why a request is given up. */
export type StopReason = "deadline" | "caller_gone";

/** Watches the deadline and the caller of one request. */
export interface RequestStop {
  readonly signal: AbortSignal;
  /** Undefined while the request goes on. */
  getReason(): StopReason | undefined;
  /** Ends the watch. */
  clear(): void;
}

/** Starts to watch. */
export function createRequestStop(
  options: {
    readonly deadlineAt: number;
    readonly disconnected: AbortSignal;
    /** The clock of the deadline; the time of day when absent. */
    getNow?(): number;
  },
): RequestStop {
  const getNow = options.getNow ?? Date.now;
  const controller = new AbortController();
  let reason: StopReason | undefined;
  const timer = setTimeout(
    () => stop("deadline"),
    Math.max(0, options.deadlineAt - getNow()),
  );
  const onDisconnected = (): void => stop("caller_gone");
  options.disconnected.addEventListener("abort", onDisconnected, {
    once: true,
  });
  if (options.disconnected.aborted) onDisconnected();

  return {
    signal: controller.signal,
    getReason,
    clear,
  };

  function getReason(): StopReason | undefined {
    // A process that was paused sees the clock before it sees the timer.
    if (reason === undefined && getNow() >= options.deadlineAt) {
      stop("deadline");
    }
    return reason;
  }

  function stop(cause: StopReason): void {
    if (reason !== undefined) return;
    reason = cause;
    controller.abort();
  }

  function clear(): void {
    clearTimeout(timer);
    options.disconnected.removeEventListener("abort", onDisconnected);
  }
}
