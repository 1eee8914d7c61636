/**
 * Bounds how long connections wait to be accepted.
 *
 * Load pattern: more connections come than the process can accept and answer. The
 * runtime accepts one per turn of the event loop, the others wait in a queue of the
 * system, whose length it does not tell. A queue that is never empty makes all of
 * them wait for longer than their callers do, unread and unanswered. Those that
 * wait are turned away together then, which takes no time per connection: nothing
 * of them was read, so their callers may go to another router at once. What comes at
 * the same moment to a process with little else to do is accepted first, as that is
 * quick, and handled then.
 */

import type { LoopTurn } from "../telemetry/loop_turns.ts";

/**
 * Longest times for which connections are accepted without a gap, in ms: in a burst,
 * and while an overload lasts.
 */
const maxStandingMs = { burst: 500, overload: 250 } as const;

/** Time after which an overload that has shown no more is over, in milliseconds. */
const overloadMs = 5_000;

/** Time for which a burst is only accepted, and its requests wait, in ms. */
const burstAcceptMs = 100;

/** The connections that wait to be accepted, as far as they are known. */
export interface ListenQueue {
  /**
   * Records that a connection was accepted in a turn; returns the earliest time at
   * which it can have arrived, on the monotonic clock.
   */
  recordAccepted(turn: LoopTurn): number;
  /** Records that nothing waits any more. */
  recordEmpty(): void;
  /**
   * Returns how long connections may have waited, in milliseconds; undefined when
   * none is known to wait.
   */
  tryGetWaitMs(): number | undefined;
  /**
   * Returns how many turns in a row should only accept connections until requests
   * have a turn.
   */
  getAcceptTurns(): number;
  /** Returns true when those that wait should be turned away. */
  isOverdue(): boolean;
  /** Records that they were turned away. */
  recordReset(): void;
}

/** The time since a queue was last known to be empty. */
interface Backlog {
  /** Earliest arrival of its first connection. */
  readonly firstArrivedAt: number;
  /** When that one was accepted; a paused process has accepted nothing before. */
  readonly firstAcceptedAt: number;
  /** When connections were accepted, the newest as many as may wait. */
  readonly acceptTimes: number[];
}

/** Creates a queue in which nothing waits. */
export function createListenQueue(
  { maxWaiting }: { readonly maxWaiting: number },
): ListenQueue {
  let backlog: Backlog | undefined;
  let resetAt = -Infinity;

  return {
    recordAccepted,
    recordEmpty,
    tryGetWaitMs,
    getAcceptTurns,
    isOverdue,
    recordReset,
  };

  function recordAccepted({ startedAt, arrivedAt }: LoopTurn): number {
    backlog ??= {
      firstArrivedAt: Math.max(resetAt, arrivedAt),
      firstAcceptedAt: startedAt,
      acceptTimes: [],
    };
    const oldestAt = getOldestAt(backlog);
    backlog.acceptTimes.push(startedAt);
    if (backlog.acceptTimes.length > maxWaiting) backlog.acceptTimes.shift();
    return oldestAt;
  }

  /** What is accepted now had not arrived when the queue was full of others. */
  function getOldestAt({ firstArrivedAt, acceptTimes }: Backlog): number {
    const [fullQueueAt = firstArrivedAt] = acceptTimes;
    return acceptTimes.length < maxWaiting ? firstArrivedAt : fullQueueAt;
  }

  function recordEmpty(): void {
    backlog = undefined;
  }

  function tryGetWaitMs(): number | undefined {
    return backlog && performance.now() - getOldestAt(backlog);
  }

  function getAcceptTurns(): number {
    if (backlog === undefined) return 0;
    return !isOverload() && getStandingMs(backlog) < burstAcceptMs
      ? Infinity
      : 1;
  }

  function isOverdue(): boolean {
    const { burst, overload } = maxStandingMs;
    return backlog !== undefined &&
      getStandingMs(backlog) > (isOverload() ? overload : burst);
  }

  function isOverload(): boolean {
    return performance.now() - resetAt < overloadMs;
  }

  function recordReset(): void {
    resetAt = performance.now();
    recordEmpty();
  }
}

function getStandingMs({ firstAcceptedAt }: Backlog): number {
  return performance.now() - firstAcceptedAt;
}
