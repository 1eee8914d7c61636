/** Lets a router die between any two of its steps towards the outside. */

import { EitherAsync } from "purify-ts";
import type { AgentCalls, AgentEvents } from "../../src/types/agent_calls.ts";
import type { Platform } from "../../src/types/platform.ts";
import type { Reply } from "../../src/types/reply.ts";

/** When the router dies. */
export interface Death {
  /** Number of the step, from 0. */
  readonly step: number;
  /** True when the step still takes effect. */
  readonly after: boolean;
}

/** The outside of one router that may die. */
export interface MortalHost {
  readonly calls: AgentCalls;
  readonly platform: Platform;
  wrapReply(reply: Reply): Reply;
  isDead(): boolean;
}

/** Wraps the outside of a router; undefined as death means that it lives. */
export function createMortalHost(
  outside: { readonly calls: AgentCalls; readonly platform: Platform },
  death: Death | undefined,
): MortalHost {
  const { calls, platform } = outside;
  let step = 0;
  let dead = false;

  return {
    calls: {
      run: (dispatch) => stepEvents(() => calls.run(dispatch)),
      attach: (placed, offset) =>
        stepEvents(() => calls.attach(placed, offset)),
      settle: (placed) => stepPromise(() => calls.settle(placed)),
      cancel: (placed) => {
        if (!dead) calls.cancel(placed);
      },
    },
    platform: {
      ...platform,
      get: (key) => stepEither(() => platform.get(key)),
      put: (key, value, options) =>
        stepEither(() => platform.put(key, value, options)),
      remove: (key, revision) =>
        stepEither(() => platform.remove(key, revision)),
      createLease: (ttlMs) => stepEither(() => platform.createLease(ttlMs)),
    },
    wrapReply: (reply) => ({
      disconnectSignal: reply.disconnectSignal,
      start: (head) => dead ? undefined : reply.start(head),
      write: (data) => dead ? undefined : reply.write(data),
      end: (end) => dead ? undefined : reply.end(end),
    }),
    isDead: () => dead,
  };

  /** Counts a step; true when it takes effect. */
  function takeStep(): boolean {
    if (dead) return false;
    const isLast = death !== undefined && step === death.step;
    step++;
    if (isLast) dead = true;
    return !isLast || death.after;
  }

  function stepPromise<T>(act: () => Promise<T>): Promise<T> {
    const result = takeStep() ? act() : undefined;
    return dead || result === undefined ? never<T>() : result.then(hold);
  }

  function stepEither<L, R>(
    act: () => EitherAsync<L, R>,
  ): EitherAsync<L, R> {
    const result = stepPromise(() => act().run());
    return EitherAsync.fromPromise(() => result);
  }

  function stepEvents(act: () => AgentEvents): AgentEvents {
    const events = takeStep() ? act() : undefined;
    const isHeld = (): boolean => dead || events === undefined;
    return {
      next: () => isHeld() ? never() : events?.next().then(hold) ?? never(),
      return: () => isHeld() ? never() : events?.return?.() ?? never(),
      [Symbol.asyncIterator]() {
        return this;
      },
    };
  }

  /** What arrives after the death is never seen. */
  function hold<T>(value: T): T | Promise<T> {
    return dead ? never<T>() : value;
  }
}

function never<T>(): Promise<T> {
  return new Promise(() => undefined);
}
