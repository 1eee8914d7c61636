/**
 * Times the silence of a target. Time in which this process was paused does not
 * count: what the target sent meanwhile has arrived but has not been read.
 *
 * Load pattern: a router is frozen for seconds or its event loop is blocked. As
 * timers fire before sockets are read, it would take all targets for silent at
 * once, and start their work again elsewhere.
 */

/** Lateness of a timer from which the process was paused, in milliseconds. */
const minPauseMs = 50;

/** The timer of one target's silence. */
export interface SilenceTimer {
  /** Starts the timer anew with a duration in milliseconds. */
  start(durationMs: number): void;
  /** Stops the timer and keeps the time that is left. */
  hold(): void;
  /** Goes on with the time that was left at `hold`. */
  resume(): void;
  /** Stops the timer for good, unless it is started again. */
  stop(): void;
}

/** Creates a timer that is not started. */
export function createSilenceTimer(
  host: { onSilent(): void },
): SilenceTimer {
  let timer: NodeJS.Timeout | undefined;
  /** Time that was left at the last hold; undefined when none was running. */
  let leftMs: number | undefined;
  let dueAt: number | undefined;

  return { start, hold, resume, stop };

  function start(durationMs: number): void {
    clearTimeout(timer);
    leftMs = undefined;
    dueAt = performance.now() + durationMs;
    timer = setTimeout(handleDue, durationMs, durationMs, dueAt);
  }

  /** Gives the time of a pause back, at most the whole duration once. */
  function handleDue(durationMs: number, firedFor: number): void {
    dueAt = undefined;
    const lateMs = performance.now() - firedFor;
    if (lateMs < minPauseMs) host.onSilent();
    else start(Math.min(lateMs, durationMs));
  }

  function hold(): void {
    if (dueAt === undefined) return;
    leftMs = Math.max(0, dueAt - performance.now());
    clearTimeout(timer);
    dueAt = undefined;
  }

  function resume(): void {
    if (leftMs !== undefined) start(leftMs);
  }

  function stop(): void {
    clearTimeout(timer);
    dueAt = undefined;
    leftMs = undefined;
  }
}
