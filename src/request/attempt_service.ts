/** Serves the calls of routers about attempts at one agent, without sockets. */

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

/** Bytes of one response that are retained after readers have taken them. */
const retainedResponseBytes = 1024 * 1024;

/** What the service needs from its agent. */
export interface AttemptServiceHost extends ExecutionHost {
  /** Start time of this process, in milliseconds since the epoch. */
  readonly incarnation: number;
}

/** An attempt and the agent incarnation that it is meant for. */
export interface TargetedAttempt {
  readonly attempt: Attempt;
  readonly targetIncarnation: number;
}

/** State of the work in flight at the end of a drain. */
export interface DrainResult {
  /** Attempts that had not ended, or whose response was still being read. */
  readonly cutOff: number;
}

/** Calls about the attempts of one agent. */
export interface AttemptService {
  /** Runs a new attempt, or joins a known one. */
  run(order: RunOrder): ResponseReader;
  /** Joins a known attempt at an offset of its response body, in bytes. */
  attach(placed: TargetedAttempt, offset: number): ResponseReader;
  /**
   * Returns the state of an attempt; one that has not started never runs
   * afterwards.
   */
  settle(placed: TargetedAttempt): SettledState | "wrong_incarnation";
  /** Stops an attempt that is queued or may run more than once. */
  cancel(placed: TargetedAttempt): void;
  /** Refuses queued work and lets running work end. */
  refuseQueued(): void;
  /**
   * Waits until no work is in flight and all responses have been read, or until
   * the timeout.
   */
  waitUntilIdle(timeoutMs: number): Promise<DrainResult>;
  /** Returns the number of attempts that have not ended. */
  getInFlight(): number;
}

/** Creates the service of an agent. */
export function createAttemptService(
  host: AttemptServiceHost,
): AttemptService {
  const executions = new Map<AttemptEntry, Execution>();
  let openReaders = 0;
  let notifyIdle = (): void => undefined;

  return {
    run,
    attach,
    settle,
    cancel,
    refuseQueued: () => host.queue.refuseQueued("target_leaving"),
    waitUntilIdle,
    getInFlight: () => executions.size,
  };

  function run(order: RunOrder): ResponseReader {
    if (order.targetIncarnation !== host.incarnation) {
      return createOneEventReader({
        kind: "refusal",
        code: "wrong_incarnation",
        retryAfterMs: 0,
      });
    }
    const claimed = host.table.claim(order.attempt);
    switch (claimed.kind) {
      case "forgotten":
        return createUnknownOutcomeReader();
      case "known":
        return openReader(claimed.entry, 0);
      case "new":
        return startExecution(order, claimed.entry);
    }
  }

  function startExecution(
    order: RunOrder,
    entry: AttemptEntry,
  ): ResponseReader {
    const response = createResponseBuffer({
      maxRetainedBytes: retainedResponseBytes,
    });
    entry.response = response;
    const reader = openReader(entry, 0);
    const execution = createExecution(host, { order, entry, response });
    executions.set(entry, execution);
    void execution.done.then(() => {
      executions.delete(entry);
      checkIdle();
    });
    execution.start();
    return reader;
  }

  function attach(placed: TargetedAttempt, offset: number): ResponseReader {
    if (placed.targetIncarnation !== host.incarnation) {
      return createUnknownOutcomeReader();
    }
    const entry = host.table.tryGet(placed.attempt);
    return entry === undefined
      ? createUnknownOutcomeReader()
      : openReader(entry, offset);
  }

  function openReader(entry: AttemptEntry, offset: number): ResponseReader {
    if (entry.refusal !== undefined) return createOneEventReader(entry.refusal);
    const reader = entry.response?.tryCreateReader(offset);
    if (reader === undefined) {
      return createOneEventReader({
        kind: "failure",
        code: "answer_gone",
        mayHaveRun: true,
      });
    }
    return trackReader(reader);
  }

  function trackReader(reader: ResponseReader): ResponseReader {
    let isOpen = true;
    openReaders++;
    return {
      ...reader,
      close: () => {
        reader.close();
        if (!isOpen) return;
        isOpen = false;
        openReaders--;
        checkIdle();
      },
    };
  }

  function settle(placed: TargetedAttempt): SettledState | "wrong_incarnation" {
    if (placed.targetIncarnation !== host.incarnation) {
      return "wrong_incarnation";
    }
    return host.table.settle(placed.attempt);
  }

  function cancel(placed: TargetedAttempt): void {
    if (settle(placed) !== "running") return;
    const entry = host.table.tryGet(placed.attempt);
    if (entry !== undefined) executions.get(entry)?.cancel();
  }

  function checkIdle(): void {
    if (executions.size === 0 && openReaders === 0) notifyIdle();
  }

  async function waitUntilIdle(timeoutMs: number): Promise<DrainResult> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      notifyIdle = () => {
        clearTimeout(timer);
        resolve();
      };
      checkIdle();
    });
    return { cutOff: Math.max(executions.size, openReaders) };
  }
}

/** Creates a reader for an attempt whose outcome this process does not know. */
function createUnknownOutcomeReader(): ResponseReader {
  return createOneEventReader({
    kind: "failure",
    code: "outcome_unknown",
    mayHaveRun: true,
  });
}

/** Creates a reader of one event that can be read at once. */
function createOneEventReader(event: ResponseEvent): ResponseReader {
  let pending: ResponseEvent | undefined = event;
  return {
    tryRead: () => {
      const next = pending;
      pending = undefined;
      return next;
    },
    onReadable: () => undefined,
    close: () => undefined,
  };
}
