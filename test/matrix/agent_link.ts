/** Connects routers to agents in memory, over links that can be blocked. */

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
  type TargetedAttempt,
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

/** The link to one agent; faults change the fields at any time. */
export interface AgentLink {
  /** One-way delay of a message, in milliseconds. */
  delayMs: number;
  /** Returns a random extra delay of a message to the agent, in ms. */
  readonly getJitterMs: () => number;
  /** Time until which messages to the agent wait, in epoch milliseconds. */
  toAgentBlockedUntil: number;
  /** Time until which messages from the agent wait, in epoch milliseconds. */
  fromAgentBlockedUntil: number;
  /** Service of the agent's process; undefined while no process runs. */
  service: AttemptService | undefined;
  /** Counts kills and restarts of the process; each loses open streams. */
  generation: number;
}

/** Receives the steps of a request at which faults can be injected. */
export interface LinkListener {
  onDispatch(target: string): void;
  onSent(target: string): void;
  onChunkReceived(target: string): void;
  onEndSent(target: string): void;
}

/** Time after which a blocked connection counts as lost, in milliseconds. */
const unresponsiveTimeoutMs = 1_000;

/** Creates the agent calls of one router over links. */
export function createAgentCalls(
  links: ReadonlyMap<string, AgentLink>,
  listener: LinkListener,
): AgentCalls {
  return {
    run: (dispatch) => {
      const { id } = dispatch.target;
      listener.onDispatch(id);
      const order = tryParseRunOrder(toRunRequest(dispatch));
      const events = openStream(
        id,
        (service) => order === undefined ? undefined : service.run(order),
      );
      listener.onSent(id);
      return events;
    },
    attach: (placed, offset) =>
      openStream(
        placed.target.id,
        (service) => service.attach(toTargetedAttempt(placed), offset),
      ),
    settle,
    cancel: (placed) => {
      const link = getLink(placed.target.id);
      deliver(link, () => link.service?.cancel(toTargetedAttempt(placed)));
    },
  };

  function getLink(target: string): AgentLink {
    return links.get(target) as AgentLink;
  }

  /** Delivers a message to the agent once the link is not blocked. */
  function deliver(link: AgentLink, callback: () => void): void {
    const { generation } = link;
    const blockedMs = link.toAgentBlockedUntil - Date.now();
    setTimeout(() => {
      // A fault may have blocked the link while the message was in flight.
      if (link.toAgentBlockedUntil > Date.now()) return deliver(link, callback);
      if (link.generation === generation) callback();
    }, Math.max(link.delayMs, blockedMs) + link.getJitterMs());
  }

  function openStream(
    target: string,
    start: (service: AttemptService) => ResponseReader | undefined,
  ): AgentEvents {
    const link = getLink(target);
    const queue = createEventQueue();
    if (link.service === undefined) {
      schedule(link.delayMs, () => queue.push({ kind: "lost", sent: false }));
      return queue.events;
    }
    const detector = createLossDetector(link, queue);
    deliver(link, () => {
      const reader = link.service === undefined
        ? undefined
        : start(link.service);
      if (reader !== undefined) pump(target, { link, reader, queue, detector });
    });
    return queue.events;
  }

  function pump(
    target: string,
    { link, reader, queue, detector }: {
      readonly link: AgentLink;
      readonly reader: ResponseReader;
      readonly queue: EventQueue;
      readonly detector: LossDetector;
    },
  ): void {
    const { generation } = link;
    const forwardReadable = (): void => {
      for (;;) {
        if (queue.isClosed()) return reader.close();
        const event = reader.tryRead();
        if (event === undefined) return;
        const received = tryParseRunEvent(toRunEvent(event, 0));
        if (event.kind === "end") listener.onEndSent(target);
        if (received !== undefined) sendBack(received);
        if (isLastEvent(event)) return reader.close();
      }
    };
    reader.onReadable(forwardReadable);
    forwardReadable();

    function sendBack(event: AgentEvent): void {
      const blockedMs = link.fromAgentBlockedUntil - Date.now();
      schedule(Math.max(link.delayMs, blockedMs), () => {
        if (link.fromAgentBlockedUntil > Date.now()) return sendBack(event);
        if (link.generation !== generation || detector.isLost()) return;
        queue.push(event);
        if (event.kind !== "head" && event.kind !== "chunk") detector.end();
        if (event.kind === "chunk") listener.onChunkReceived(target);
      });
    }
  }

  /** Ends a stream when its agent is replaced or its link blocked too long. */
  function createLossDetector(
    link: AgentLink,
    queue: EventQueue,
  ): LossDetector {
    const { generation } = link;
    let blockedSince: number | undefined;
    let lost = false;
    const timer = setInterval(() => {
      const now = Date.now();
      const isBlocked = link.toAgentBlockedUntil > now ||
        link.fromAgentBlockedUntil > now;
      blockedSince = isBlocked ? blockedSince ?? now : undefined;
      const hasTimedOut = blockedSince !== undefined &&
        now - blockedSince >= unresponsiveTimeoutMs;
      if (queue.isClosed()) clearInterval(timer);
      if (link.generation === generation && !hasTimedOut) return;
      lost = true;
      clearInterval(timer);
      queue.push({ kind: "lost", sent: true });
    }, 50);
    return { isLost: () => lost, end: () => clearInterval(timer) };
  }

  function settle(placed: PlacedAttempt): Promise<SettleState> {
    const link = getLink(placed.target.id);
    return new Promise((resolve) => {
      schedule(unresponsiveTimeoutMs, () => resolve("no_answer"));
      if (link.service === undefined) return;
      deliver(link, () => {
        const state = link.service?.settle(toTargetedAttempt(placed));
        const knownState = settleStates.find((known) => known === state);
        const returnDelayMs = Math.max(
          link.delayMs,
          link.fromAgentBlockedUntil - Date.now(),
        );
        schedule(returnDelayMs, () => resolve(knownState ?? "no_answer"));
      });
    });
  }
}

interface LossDetector {
  isLost(): boolean;
  /** Stops the detector after the last event. */
  end(): void;
}

function toTargetedAttempt(
  { attempt, target }: PlacedAttempt,
): TargetedAttempt {
  return { attempt, targetIncarnation: target.incarnation };
}

function schedule(ms: number, callback: () => void): void {
  setTimeout(callback, ms);
}
