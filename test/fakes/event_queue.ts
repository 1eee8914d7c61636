/** A queue of agent events that a fake writes and a router reads. */

import type { AgentEvent, AgentEvents } from "../../src/types/agent_calls.ts";

/** The reading and writing ends of one queue. */
export interface EventQueue {
  readonly events: AgentEvents;
  push(event: AgentEvent): void;
  isClosed(): boolean;
}

/** Creates an empty queue. */
export function createEventQueue(): EventQueue {
  const queued: AgentEvent[] = [];
  let resolveNext: ((result: IteratorResult<AgentEvent>) => void) | undefined;
  let closed = false;

  return {
    events: {
      next,
      return: () => {
        closed = true;
        resolveNext?.(finished);
        return Promise.resolve(finished);
      },
      [Symbol.asyncIterator]() {
        return this;
      },
    },
    push,
    isClosed: () => closed,
  };

  function next(): Promise<IteratorResult<AgentEvent>> {
    const event = queued.shift();
    if (event !== undefined) {
      return Promise.resolve({ done: false, value: event });
    }
    if (closed) return Promise.resolve(finished);
    return new Promise((resolve) => {
      resolveNext = resolve;
    });
  }

  function push(event: AgentEvent): void {
    if (closed) return;
    const resolve = resolveNext;
    resolveNext = undefined;
    if (resolve === undefined) queued.push(event);
    else resolve({ done: false, value: event });
  }
}

const finished: IteratorResult<AgentEvent> = { done: true, value: undefined };
