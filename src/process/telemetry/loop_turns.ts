/**
 * Tells when data that is read now can have arrived. The event loop checks its
 * sockets once per turn, and what arrives meanwhile bears no time of arrival.
 *
 * Load pattern: a process that has more to do than it can bear, or that was paused,
 * takes long turns. Requests wait in their sockets, and a time that begins when they
 * are read would let each of them wait that much longer.
 */

import type { LoopWork, WorkKind } from "./loop_work.ts";
import type { Metrics } from "./metrics.ts";

/** Interval of the timer that marks turns in which nothing is read, in ms. */
const beatMs = 100;

/** Lateness of that timer from which the process was busy or paused, in ms. */
const minLateMs = 5;

/** Lateness of that timer from which the event loop counts as busy, in ms. */
const busyLateMs = 200;

/** Time for which the event loop counts as busy after that, in milliseconds. */
const busyMs = 1_000;

/** What the turns need from the process. */
export interface LoopTurnsHost {
  readonly metrics: Pick<Metrics, "record">;
  readonly work: LoopWork;
  /** Returns how long the event loop has waited for events so far, in ms. */
  getIdleMs(): number;
}

/** One turn of the event loop. */
export interface LoopTurn {
  /** Start of the turn as far as it was seen, on the monotonic clock. */
  readonly startedAt: number;
  /** Earliest time at which data that is read in it can have arrived. */
  readonly arrivedAt: number;
}

/** The turns of the event loop. */
export interface LoopTurns {
  /** Returns the current turn; called when data has been read. */
  getTurn(): LoopTurn;
  /** Runs a piece of work that the current turn is told to contain. */
  measure<Result>(kind: WorkKind, run: () => Result): Result;
  /** Begins a piece of work; returns a function that ends it. */
  begin(kind: WorkKind): () => void;
  /** Returns true when timers have fired late within the last second. */
  isBusy(): boolean;
  /** Stops to mark turns. */
  stop(): void;
}

/** Starts to mark turns. */
export function createLoopTurns(host: LoopTurnsHost): LoopTurns {
  let polledAt = performance.now();
  let idleMs = host.getIdleMs();
  let beatDueAt = polledAt + beatMs;
  let turn: LoopTurn | undefined;
  let busyUntil = Number.NEGATIVE_INFINITY;
  const timer = setInterval(beat, beatMs).unref();

  return {
    ...{ getTurn, measure, begin, isBusy },
    stop: () => clearInterval(timer),
  };

  /** The timer may be due and have had no turn. */
  function isBusy(): boolean {
    const now = performance.now();
    return now < busyUntil || now - beatDueAt >= busyLateMs;
  }

  function measure<Result>(kind: WorkKind, run: () => Result): Result {
    getTurn();
    return host.work.measure(kind, run);
  }

  function begin(kind: WorkKind): () => void {
    getTurn();
    return host.work.begin(kind);
  }

  function getTurn(): LoopTurn {
    turn ??= startTurn();
    return turn;
  }

  function startTurn(): LoopTurn {
    const now = performance.now();
    const isLate = now - beatDueAt >= minLateMs;
    // After a wait for events, what is read has just arrived.
    const waitedMs = host.getIdleMs() - idleMs;
    const hasWaited = waitedMs > 0;
    const arrivedAt = hasWaited && !isLate ? now : polledAt;
    host.work.endTurn(Math.max(0, now - polledAt - waitedMs));
    setImmediate(endTurn);
    return { startedAt: now, arrivedAt };
  }

  /** Runs after the sockets were checked. */
  function endTurn(): void {
    polledAt = turn?.startedAt ?? performance.now();
    idleMs = host.getIdleMs();
    turn = undefined;
  }

  function beat(): void {
    const now = performance.now();
    const lateMs = now - beatDueAt;
    host.metrics.record("event_loop_late_ms", lateMs);
    if (lateMs >= busyLateMs) busyUntil = now + busyMs;
    getTurn();
    beatDueAt = now + beatMs;
  }
}
