/** The network between routers and agents, in memory, with faults on demand. */

import {
  toRunEvent,
  tryParseRunOrder,
} from "../../src/connection/agent_server_codec.ts";
import {
  toRunRequest,
  tryParseRunEvent,
} from "../../src/connection/agent_client_codec.ts";
import {
  type AttemptService,
  type TargetedAttempt as ServedAttempt,
} from "../../src/request/attempt_service.ts";
import {
  type AgentCalls,
  type AgentEvent,
  type AgentEvents,
  type PlacedAttempt,
  type SettleState,
  settleStates,
} from "../../src/types/agent_calls.ts";
import { isLastEvent, type ResponseReader } from "../../src/types/response.ts";
import { createEventQueue, type EventQueue } from "../fakes/event_queue.ts";

/** State of the way to one agent; change the fields at any moment. */
export interface Way {
  /** Time that a message takes, in milliseconds. */
  delayMs: number;
  /** Draws the time that one message takes longer, in milliseconds. */
  readonly getJitterMs: () => number;
  /** Messages to the agent wait until this moment, in epoch milliseconds. */
  toHeldUntil: number;
  /** Messages from the agent wait until this moment. */
  fromHeldUntil: number;
  /** The process behind the way; undefined while there is none. */
  service: AttemptService | undefined;
  /** Grows when the process is replaced; older streams are lost. */
  process: number;
}

/** Moments of a message's life that a fault can strike at. */
export interface LinkListener {
  onDispatch(target: string): void;
  onTheWay(target: string): void;
  onData(target: string): void;
  onEndSent(target: string): void;
}

/** Silence after which a connection is taken for lost, in milliseconds. */
const silenceMs = 1_000;

/** Creates the calls of one router over ways to agents. */
export function createLink(
  ways: ReadonlyMap<string, Way>,
  listener: LinkListener,
): AgentCalls {
  return {
    run: (dispatch) => {
      const { id } = dispatch.target;
      listener.onDispatch(id);
      const order = tryParseRunOrder(toRunRequest(dispatch));
      const events = open(
        id,
        (service) => order === undefined ? undefined : service.run(order),
      );
      listener.onTheWay(id);
      return events;
    },
    attach: (placed, offset) =>
      open(
        placed.target.id,
        (service) => service.attach(toServed(placed), offset),
      ),
    settle,
    cancel: (placed) => {
      const way = getWay(placed.target.id);
      deliver(way, () => way.service?.cancel(toServed(placed)));
    },
  };

  function getWay(target: string): Way {
    return ways.get(target) as Way;
  }

  /** Brings a message to the agent, late when the way is held. */
  function deliver(way: Way, act: () => void): void {
    const { process } = way;
    const heldMs = way.toHeldUntil - Date.now();
    setTimeout(() => {
      // A fault may have struck while the message was on its way.
      if (way.toHeldUntil > Date.now()) return deliver(way, act);
      if (way.process === process) act();
    }, Math.max(way.delayMs, heldMs) + way.getJitterMs());
  }

  function open(
    target: string,
    start: (service: AttemptService) => ResponseReader | undefined,
  ): AgentEvents {
    const way = getWay(target);
    const queue = createEventQueue();
    if (way.service === undefined) {
      later(way.delayMs, () => queue.push({ kind: "lost", sent: false }));
      return queue.events;
    }
    const watch = createSilenceWatch(way, queue);
    deliver(way, () => {
      const reader = way.service === undefined ? undefined : start(way.service);
      if (reader !== undefined) pump(target, { way, reader, queue, watch });
    });
    return queue.events;
  }

  function pump(
    target: string,
    { way, reader, queue, watch }: {
      readonly way: Way;
      readonly reader: ResponseReader;
      readonly queue: EventQueue;
      readonly watch: SilenceWatch;
    },
  ): void {
    const { process } = way;
    const read = (): void => {
      for (;;) {
        if (queue.isClosed()) return reader.close();
        const event = reader.tryRead();
        if (event === undefined) return;
        const received = tryParseRunEvent(toRunEvent(event, 0));
        if (event.kind === "end") listener.onEndSent(target);
        if (received !== undefined) comeBack(received);
        if (isLastEvent(event)) return reader.close();
      }
    };
    reader.onReadable(read);
    read();

    function comeBack(event: AgentEvent): void {
      const heldMs = way.fromHeldUntil - Date.now();
      later(Math.max(way.delayMs, heldMs), () => {
        if (way.fromHeldUntil > Date.now()) return comeBack(event);
        if (way.process !== process || watch.isLost()) return;
        queue.push(event);
        if (event.kind !== "head" && event.kind !== "chunk") watch.end();
        if (event.kind === "chunk") listener.onData(target);
      });
    }
  }

  /** Ends a stream when its agent is replaced or cut off for too long. */
  function createSilenceWatch(way: Way, queue: EventQueue): SilenceWatch {
    const { process } = way;
    let silentSince: number | undefined;
    let lost = false;
    const timer = setInterval(() => {
      const now = Date.now();
      const isHeld = way.toHeldUntil > now || way.fromHeldUntil > now;
      silentSince = isHeld ? silentSince ?? now : undefined;
      const isSilent = silentSince !== undefined &&
        now - silentSince >= silenceMs;
      if (queue.isClosed()) clearInterval(timer);
      if (way.process === process && !isSilent) return;
      lost = true;
      clearInterval(timer);
      queue.push({ kind: "lost", sent: true });
    }, 50);
    return { isLost: () => lost, end: () => clearInterval(timer) };
  }

  function settle(placed: PlacedAttempt): Promise<SettleState> {
    const way = getWay(placed.target.id);
    return new Promise((resolve) => {
      later(silenceMs, () => resolve("no_answer"));
      if (way.service === undefined) return;
      deliver(way, () => {
        const state = way.service?.settle(toServed(placed));
        const read = settleStates.find((known) => known === state);
        const backMs = Math.max(way.delayMs, way.fromHeldUntil - Date.now());
        later(backMs, () => resolve(read ?? "no_answer"));
      });
    });
  }
}

interface SilenceWatch {
  isLost(): boolean;
  /** Ends the watch: the last event has arrived. */
  end(): void;
}

function toServed({ attempt, target }: PlacedAttempt): ServedAttempt {
  return { attempt, targetIncarnation: target.incarnation };
}

function later(ms: number, act: () => void): void {
  setTimeout(act, ms);
}
