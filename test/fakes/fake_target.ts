/** A target in memory that counts its runs and does what it is told. */

import { setMaxListeners } from "node:events";
import { EitherAsync } from "purify-ts";
import {
  type TargetAnswer,
  type TargetClient,
  type TargetError,
  type TargetRequest,
  toTargetError,
} from "../../src/connection/target_client.ts";

import type { Header } from "../../src/types/work.ts";

/** How a call to the target goes. */
export interface FakeCall {
  /** Time until the answer begins, in milliseconds. */
  readonly delayMs: number;
  readonly body: readonly string[];
  readonly headers?: readonly Header[];
  /** How the call ends. */
  readonly end: "whole" | "cut" | "not_sent" | "crash";
}

/** A target in memory. */
export interface FakeTarget
  extends Pick<TargetClient, "send" | "resume" | "cancelStream"> {
  /** Runs begun, by request id. */
  readonly runs: ReadonlyMap<string, number>;
  /** Runs in flight now, by request id. */
  readonly running: ReadonlySet<string>;
  /** Runs that were stopped from outside. */
  readonly aborted: ReadonlySet<string>;
  /** Ends all that is in flight; the next call meets a new process. */
  crash(): void;
}

/** Creates a target whose calls go as `plan` says. */
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
      EitherAsync<TargetError, TargetAnswer>(({ throwE }) =>
        throwE({ kind: "lost", message: "gone" })
      ),
    cancelStream: () => undefined,
    crash,
  };

  function send(
    request: TargetRequest,
  ): EitherAsync<TargetError, TargetAnswer> {
    return EitherAsync<TargetError, TargetAnswer>(async ({ throwE }) => {
      const call = planCall(request);
      if (call.end === "not_sent") {
        return throwE({ kind: "not_sent", message: "refused" });
      }
      const body = run(request, call);
      const { requestId } = request;
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      running.add(requestId);
      try {
        // The first part is empty and says that the answer begins.
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
      throw Object.assign(new Error("stop"), { name: "AbortError" });
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
