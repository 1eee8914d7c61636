/** All that routers may ask of an agent about attempts, without sockets. */

import { createResponseBuffer } from "../process/attempts/response_buffer.ts";
import type {
  AttemptEntry,
  SettledState,
} from "../process/attempts/attempt_table.ts";
import type { ResponseEvent, ResponseReader } from "../types/response.ts";
import type { Attempt } from "../types/attempt.ts";
import type { RunOrder } from "../types/run_order.ts";
import {
  createExecution,
  type Execution,
  type ExecutionHost,
} from "./execution.ts";

/** Bytes of one answer that are held after they have been read. */
const heldAnswerBytes = 1024 * 1024;

/** What the service needs from its agent. */
export interface AttemptServiceHost extends ExecutionHost {
  /** Start time of this process, in milliseconds since the epoch. */
  readonly incarnation: number;
}

/** An attempt and the agent incarnation it is meant for. */
export interface PlacedAttempt {
  readonly attempt: Attempt;
  readonly targetIncarnation: number;
}

/** What became of the work in flight at the end of a drain. */
export interface DrainResult {
  /** Attempts that had not ended, or whose answer was still being read. */
  readonly cutOff: number;
}

/** Attempts at one agent. */
export interface AttemptService {
  /** Runs an attempt that is new, or joins it when it is known. */
  run(order: RunOrder): ResponseReader;
  /** Joins a known attempt at an offset of its body, in bytes. */
  attach(placed: PlacedAttempt, offset: number): ResponseReader;
  settle(placed: PlacedAttempt): SettledState | "wrong_incarnation";
  cancel(placed: PlacedAttempt): void;
  /** Gives waiting work back and lets running work end. */
  refuseWaiting(): void;
  /** Waits until all is over and read, at most this time. */
  waitUntilIdle(longestMs: number): Promise<DrainResult>;
  getInFlight(): number;
}

/** Creates the service of an agent. */
export function createAttemptService(
  host: AttemptServiceHost,
): AttemptService {
  const executions = new Map<AttemptEntry, Execution>();
  let openReaders = 0;
  let noteIdle = (): void => undefined;

  return {
    run,
    attach,
    settle,
    cancel,
    refuseWaiting: () => host.queue.refuseWaiting("target_leaving"),
    waitUntilIdle,
    getInFlight: () => executions.size,
  };

  function run(order: RunOrder): ResponseReader {
    if (order.targetIncarnation !== host.incarnation) {
      return createFixedReader({
        kind: "refusal",
        code: "wrong_incarnation",
        retryAfterMs: 0,
      });
    }
    const claimed = host.table.claim(order.attempt);
    switch (claimed.kind) {
      case "forgotten":
        return createUnknownReader();
      case "known":
        return join(claimed.entry, 0);
      case "new":
        return begin(order, claimed.entry);
    }
  }

  function begin(order: RunOrder, entry: AttemptEntry): ResponseReader {
    const answer = createResponseBuffer({ maxRetainedBytes: heldAnswerBytes });
    entry.response = answer;
    const reader = join(entry, 0);
    const execution = createExecution(host, { order, entry, answer });
    executions.set(entry, execution);
    void execution.done.then(() => {
      executions.delete(entry);
      checkIdle();
    });
    execution.start();
    return reader;
  }

  function attach(placed: PlacedAttempt, offset: number): ResponseReader {
    if (placed.targetIncarnation !== host.incarnation) {
      return createUnknownReader();
    }
    const entry = host.table.tryGet(placed.attempt);
    return entry === undefined ? createUnknownReader() : join(entry, offset);
  }

  function join(entry: AttemptEntry, offset: number): ResponseReader {
    if (entry.refusal !== undefined) return createFixedReader(entry.refusal);
    const reader = entry.response?.tryCreateReader(offset);
    if (reader === undefined) {
      return createFixedReader({
        kind: "failure",
        code: "answer_gone",
        mayHaveRun: true,
      });
    }
    return countOpen(reader);
  }

  function countOpen(reader: ResponseReader): ResponseReader {
    let open = true;
    openReaders++;
    return {
      ...reader,
      close: () => {
        reader.close();
        if (!open) return;
        open = false;
        openReaders--;
        checkIdle();
      },
    };
  }

  function settle(placed: PlacedAttempt): SettledState | "wrong_incarnation" {
    if (placed.targetIncarnation !== host.incarnation) {
      return "wrong_incarnation";
    }
    return host.table.settle(placed.attempt);
  }

  function cancel(placed: PlacedAttempt): void {
    if (settle(placed) !== "running") return;
    const entry = host.table.tryGet(placed.attempt);
    if (entry !== undefined) executions.get(entry)?.cancel();
  }

  function checkIdle(): void {
    if (executions.size === 0 && openReaders === 0) noteIdle();
  }

  async function waitUntilIdle(longestMs: number): Promise<DrainResult> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, longestMs);
      noteIdle = () => {
        clearTimeout(timer);
        resolve();
      };
      checkIdle();
    });
    return { cutOff: Math.max(executions.size, openReaders) };
  }
}

/** What is said of an attempt that this process cannot vouch for. */
function createUnknownReader(): ResponseReader {
  return createFixedReader({
    kind: "failure",
    code: "outcome_unknown",
    mayHaveRun: true,
  });
}

/** A reader of one event that is there at once. */
function createFixedReader(event: ResponseEvent): ResponseReader {
  let left: ResponseEvent | undefined = event;
  return {
    tryRead: () => {
      const next = left;
      left = undefined;
      return next;
    },
    onReadable: () => undefined,
    close: () => undefined,
  };
}
