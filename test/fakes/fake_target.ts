/** An in-memory target that counts its runs and responds as a test plans. */

import { setMaxListeners } from "node:events";
import { EitherAsync } from "purify-ts";
import {
  type TargetClient,
  type TargetError,
  type TargetRequest,
  type TargetResponse,
  toTargetError,
} from "../../src/connection/target_client.ts";

import type { Header } from "../../src/types/work.ts";

/** How the target responds to one call. */
export interface FakeCall {
  /** Time until the response starts, in milliseconds. */
  readonly delayMs: number;
  /** Chunks of the body. */
  readonly body: readonly string[];
  readonly headers?: readonly Header[];
  /**
   * How the call ends: `whole` after the body, `cut` by a lost connection after
   * the body, `not_sent` without a connection, `crash` by a crash of the target
   * before the response.
   */
  readonly end: "whole" | "cut" | "not_sent" | "crash";
}

/** An in-memory target. */
export interface FakeTarget
  extends Pick<TargetClient, "send" | "resume" | "cancelStream"> {
  /** Number of started runs, by request id. */
  readonly runs: ReadonlyMap<string, number>;
  /** Request ids of the runs in flight. */
  readonly running: ReadonlySet<string>;
  /** Request ids of the runs that the sender aborted. */
  readonly aborted: ReadonlySet<string>;
  /** Fails all runs in flight; later calls reach a new process. */
  crash(): void;
}

/** Creates a target that responds to each call as `planCall` specifies. */
export function createFakeTarget(
  planCall: (request: TargetRequest) => FakeCall,
  host: { readonly onCrash?: () => void } = {},
): FakeTarget {
  const runs = new Map<string, number>();
  const running = new Set<string>();
  const aborted = new Set<string>();
  let processController = new AbortController();

  return {
    runs,
    running,
    aborted,
    send,
    resume: () =>
      EitherAsync<TargetError, TargetResponse>(({ throwE }) =>
        throwE({ kind: "lost", message: "stream not found" })
      ),
    cancelStream: () => undefined,
    crash,
  };

  function send(
    request: TargetRequest,
  ): EitherAsync<TargetError, TargetResponse> {
    return EitherAsync<TargetError, TargetResponse>(async ({ throwE }) => {
      const call = planCall(request);
      if (call.end === "not_sent") {
        return throwE({ kind: "not_sent", message: "connection refused" });
      }
      const body = run(request, call);
      const { requestId } = request;
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      running.add(requestId);
      try {
        // The first chunk is empty and marks the start of the response.
        await body.next();
      } catch (error) {
        return throwE(toTargetError(error));
      }
      return { status: 200, headers: call.headers ?? [], body };
    });
  }

  async function* run(
    { requestId, signal }: TargetRequest,
    call: FakeCall,
  ): AsyncGenerator<Uint8Array, void> {
    const abortSignals = [processController.signal, signal];
    try {
      await waitOrAbort(call.delayMs, abortSignals);
      throwIfAborted();
      if (call.end === "crash") crash();
      throwIfAborted();
      yield new Uint8Array();
      for (const text of call.body) {
        yield Buffer.from(text);
        await waitOrAbort(1, abortSignals);
        throwIfAborted();
      }
      if (call.end === "cut") throw new Error("socket closed");
    } finally {
      running.delete(requestId);
    }

    function throwIfAborted(): void {
      if (abortSignals[0]?.aborted) throw new Error("connection reset");
      if (!signal.aborted) return;
      aborted.add(requestId);
      throw Object.assign(new Error("aborted"), { name: "AbortError" });
    }
  }

  function crash(): void {
    const crashedController = processController;
    processController = new AbortController();
    setMaxListeners(0, processController.signal);
    host.onCrash?.();
    crashedController.abort();
  }
}

function waitOrAbort(
  ms: number,
  signals: readonly AbortSignal[],
): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(finish, ms);
    signals.forEach((signal) => signal.addEventListener("abort", finish));

    function finish(): void {
      clearTimeout(timer);
      signals.forEach((signal) => signal.removeEventListener("abort", finish));
      resolve();
    }
  });
}
