/**
 * Crashes a router before or after any one of its calls to agents and to the
 * platform.
 */

import { EitherAsync } from "purify-ts";
import type { AgentCalls, AgentEvents } from "../../src/types/agent_calls.ts";
import type { Platform } from "../../src/types/platform.ts";
import type { Reply } from "../../src/types/reply.ts";

/** The step at which the router crashes. */
export interface CrashPoint {
  /** Number of the call, from 0. */
  readonly step: number;
  /** True when the router crashes after the call took effect. */
  readonly after: boolean;
}

/** Agents, platform and callers of a router that may crash. */
export interface CrashableHost {
  readonly calls: AgentCalls;
  readonly platform: Platform;
  wrapReply(reply: Reply): Reply;
  hasCrashed(): boolean;
}

/** Wraps the host of a router; without a crash point it never crashes. */
export function createCrashableHost(
  host: { readonly calls: AgentCalls; readonly platform: Platform },
  crashPoint: CrashPoint | undefined,
): CrashableHost {
  const { calls, platform } = host;
  let step = 0;
  let crashed = false;

  return {
    calls: {
      run: (dispatch) => runEventsStep(() => calls.run(dispatch)),
      attach: (placed, offset) =>
        runEventsStep(() => calls.attach(placed, offset)),
      settle: (placed) => runPromiseStep(() => calls.settle(placed)),
      cancel: (placed) => {
        if (!crashed) calls.cancel(placed);
      },
    },
    platform: {
      ...platform,
      get: (key) => runEitherStep(() => platform.get(key)),
      put: (key, value, options) =>
        runEitherStep(() => platform.put(key, value, options)),
      remove: (key, revision) =>
        runEitherStep(() => platform.remove(key, revision)),
      createLease: (ttlMs) => runEitherStep(() => platform.createLease(ttlMs)),
    },
    wrapReply: (reply) => ({
      disconnectSignal: reply.disconnectSignal,
      start: (head) => crashed ? undefined : reply.start(head),
      write: (data) => crashed ? undefined : reply.write(data),
      end: (end) => crashed ? undefined : reply.end(end),
    }),
    hasCrashed: () => crashed,
  };

  /** Counts a call; returns true when it takes effect. */
  function countStep(): boolean {
    if (crashed) return false;
    const isLast = crashPoint !== undefined && step === crashPoint.step;
    step++;
    if (isLast) crashed = true;
    return !isLast || crashPoint.after;
  }

  function runPromiseStep<T>(operation: () => Promise<T>): Promise<T> {
    const result = countStep() ? operation() : undefined;
    return crashed || result === undefined
      ? createPendingPromise<T>()
      : result.then(blockAfterCrash);
  }

  function runEitherStep<L, R>(
    operation: () => EitherAsync<L, R>,
  ): EitherAsync<L, R> {
    const result = runPromiseStep(() => operation().run());
    return EitherAsync.fromPromise(() => result);
  }

  function runEventsStep(operation: () => AgentEvents): AgentEvents {
    const events = countStep() ? operation() : undefined;
    const isBlocked = (): boolean => crashed || events === undefined;
    return {
      next: () =>
        isBlocked()
          ? createPendingPromise()
          : events?.next().then(blockAfterCrash) ?? createPendingPromise(),
      return: () =>
        isBlocked()
          ? createPendingPromise()
          : events?.return?.() ?? createPendingPromise(),
      [Symbol.asyncIterator]() {
        return this;
      },
    };
  }

  /** Returns the value or, after the crash, a promise that never settles. */
  function blockAfterCrash<T>(value: T): T | Promise<T> {
    return crashed ? createPendingPromise<T>() : value;
  }
}

function createPendingPromise<T>(): Promise<T> {
  return new Promise(() => undefined);
}
