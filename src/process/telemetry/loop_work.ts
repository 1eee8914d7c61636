/**
 * Attributes the time of the event loop's turns to kinds of work, so that the log
 * and the metrics tell what fills a long turn.
 */

import type { Log, LogFields } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Kinds of work that can hold the event loop. */
export type WorkKind =
  /** Accepting a connection, without the runtime's own part. */
  | "connection"
  /** Reading the head of a request up to its wait for a turn. */
  | "head"
  /** Refusing a request for which the process has no turn. */
  | "refusal"
  /** Handling the requests that have a turn, up to their first wait. */
  | "request"
  /** Reading a piece of a target's response. */
  | "response"
  /** Writing to callers. */
  | "write"
  /** Handling what peers send, and sending to them. */
  | "digest"
  /** Applying what the store sends. */
  | "store"
  /** Formatting log lines. */
  | "log"
  /** Collecting garbage. */
  | "collection";

/** Length of a turn from which it is logged, in milliseconds. */
const longTurnMs = 150;

/** Minimum time between two such lines, in milliseconds. */
const minLogIntervalMs = 500;

/** What the work needs from the process. */
export interface LoopWorkHost {
  readonly metrics: Pick<Metrics, "record">;
  readonly log: Pick<Log, "warn">;
  /** Returns the processor time of the process so far, in milliseconds. */
  getProcessorMs(): number;
}

/** The work of the event loop. */
export interface LoopWork {
  /** Runs a piece of work; work inside it is not counted twice. */
  measure<Result>(kind: WorkKind, run: () => Result): Result;
  /** Begins a piece of work; returns a function that ends it. */
  begin(kind: WorkKind): () => void;
  /** Adds work that was timed elsewhere, such as by the runtime, in ms. */
  add(kind: WorkKind, ms: number): void;
  /** Ends a turn that took `lengthMs` without its wait for events. */
  endTurn(lengthMs: number): void;
}

/** Creates the work of a loop that has done nothing. */
export function createLoopWork(host: LoopWorkHost): LoopWork {
  /** Time and pieces of work of this turn, by kind. */
  const done = new Map<WorkKind, { ms: number; count: number }>();
  /** Time of the work inside the piece that is running. */
  let innerMs = 0;
  let loggedAt = -Infinity;
  let unlogged = 0;
  let processorMs = host.getProcessorMs();
  let processorAt = performance.now();

  return { measure, begin, add, endTurn };

  function measure<Result>(kind: WorkKind, run: () => Result): Result {
    const end = begin(kind);
    try {
      return run();
    } finally {
      end();
    }
  }

  function begin(kind: WorkKind): () => void {
    const outerMs = innerMs;
    innerMs = 0;
    const startedAt = performance.now();
    return () => {
      const tookMs = performance.now() - startedAt;
      add(kind, tookMs - innerMs);
      innerMs = outerMs + tookMs;
    };
  }

  function add(kind: WorkKind, ms: number): void {
    const work = done.get(kind);
    if (work === undefined) {
      done.set(kind, { ms, count: 1 });
      return;
    }
    work.ms += ms;
    work.count++;
  }

  function endTurn(lengthMs: number): void {
    host.metrics.record("loop_turn_ms", lengthMs);
    done.forEach(({ ms }, kind) =>
      host.metrics.record("loop_work_ms", ms, { kind })
    );
    if (lengthMs >= longTurnMs) logTurn(lengthMs);
    done.clear();
  }

  function logTurn(lengthMs: number): void {
    const now = performance.now();
    if (now - loggedAt < minLogIntervalMs) {
      unlogged++;
      return;
    }
    const usedMs = host.getProcessorMs();
    const fields: LogFields = {
      turnMs: Math.round(lengthMs),
      ...describeWork(),
      // The time since the last such line tells whether the process had to wait.
      processorMs: Math.round(usedMs - processorMs),
      sinceMs: Math.round(now - processorAt),
      unlogged: unlogged || undefined,
    };
    [loggedAt, unlogged] = [now, 0];
    [processorMs, processorAt] = [usedMs, now];
    host.log.warn("Turn of the event loop was long", fields);
  }

  function describeWork(): LogFields {
    const parts = [...done].filter(([, { ms }]) => ms >= 1).flatMap((
      [kind, { ms, count }],
    ) => [[`${kind}Ms`, Math.round(ms)], [`${kind}Count`, count]]);
    return Object.fromEntries(parts) as LogFields;
  }
}
