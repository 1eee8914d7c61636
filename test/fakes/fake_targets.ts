/**
 * Fakes the agents of a service and the network to them. Each message is
 * delivered with the next fault of a given list. Tests compare the responses of
 * callers with the recorded runs of the targets.
 */

import type { BodyDigests } from "../../src/process/attempts/body_digest.ts";
import type {
  AgentCalls,
  AgentEvent,
  AgentEvents,
  Dispatch,
  PlacedAttempt,
  SettleState,
} from "../../src/types/agent_calls.ts";
import { getAttemptKey } from "../../src/types/attempt.ts";
import type { DiagnosticCode } from "../../src/types/diagnostics.ts";
import type { Member } from "../../src/types/member.ts";
import type { Work } from "../../src/types/work.ts";
import { createMember } from "../support/static_fleet.ts";
import { createEventQueue, type EventQueue } from "./event_queue.ts";

/**
 * A fault of one message:
 *
 * - `lost`: the message never arrives; the sender sees a lost connection.
 * - `late`: the sender sees a lost connection; the message arrives later.
 * - `unsent`: the connection cannot be established.
 * - `cut`: the connection is lost after some events of the response.
 * - `doubled`, `swapped`: events of the response arrive twice or out of order.
 * - `hole`, `crossed`: one event is missing, or has bytes of another response.
 */
export type DeliveryFault =
  | "none"
  | "lost"
  | "late"
  | "unsent"
  | "cut"
  | "doubled"
  | "swapped"
  | "hole"
  | "crossed";

/** How one message is delivered. */
export interface Delivery {
  readonly fault: DeliveryFault;
  readonly delayMs: number;
  /**
   * Number of events that arrive before a cut. A swapped, missing or crossed
   * event is the second one after these.
   */
  readonly events: number;
}

/** One run of a call at a target. */
export interface Run {
  readonly requestId: string;
  readonly call: string;
  readonly target: string;
  /** Body that the run writes. */
  readonly draft: string;
}

/** How targets behave; tests change the fields at any time. */
export interface TargetBehaviour {
  /** Codes of targets that refuse all work, by target id. */
  readonly refusalCodes: Map<string, DiagnosticCode>;
  /** Number of events before a run crashes its target, by target id. */
  readonly eventsBeforeCrash: Map<string, number>;
  /** Statuses of responses other than 200, by target id. */
  readonly statuses: Map<string, number>;
  /** True when every run of a call writes the same body. */
  writesSameDrafts: boolean;
  /** True when responses are event streams. */
  usesStreams: boolean;
  /** Time that an attempt waits before it runs, in milliseconds. */
  queueDelayMs: number;
  /** Time between two events of a response, in milliseconds. */
  chunkIntervalMs: number;
}

/** The fake targets of one service, each with an agent. */
export interface FakeTargets {
  readonly calls: AgentCalls;
  readonly behaviour: TargetBehaviour;
  readonly runs: readonly Run[];
  getMembers(): readonly Member[];
  /** Replaces an agent; its attempts and responses are lost. */
  replace(id: string): void;
  /** Returns the number of runs of a call over all targets. */
  countRuns(call: string): number;
  /** Returns the number of messages that were sent to targets. */
  getMessageCount(): number;
  /** Returns the number of distinct targets that a request was sent to. */
  countAttemptedTargets(requestId: string): number;
}

interface AttemptEntry {
  readonly events: AgentEvent[];
  readonly listeners: Set<(event: AgentEvent) => void>;
  state: "queued" | "running" | "done" | "refused";
}

/** Time after which a lost connection is detected, in milliseconds. */
const lossDetectionMs = 20;

/** Additional delay of a late message, in milliseconds. */
const lateDelayMs = 200;

/** Size of one chunk of a response, in bytes. */
const chunkBytes = 8;

const faultlessDelivery: Delivery = { fault: "none", delayMs: 1, events: 0 };

/** Creates the fake targets of one service. */
export function createFakeTargets(
  host: { readonly digests: BodyDigests },
  options: {
    readonly ids: readonly string[];
    readonly service: string;
    readonly deliveries: readonly Delivery[];
  },
): FakeTargets {
  const deliveries = [...options.deliveries];
  const members = new Map(options.ids.map((id) => [id, createAgent(id, 1)]));
  const tables = new Map(
    options.ids.map((id) => [id, new Map<string, AttemptEntry>()]),
  );
  const runs: Run[] = [];
  const attemptedTargets = new Map<string, Set<string>>();
  let messageCount = 0;
  const behaviour: TargetBehaviour = {
    refusalCodes: new Map(),
    eventsBeforeCrash: new Map(),
    statuses: new Map(),
    writesSameDrafts: false,
    usesStreams: false,
    queueDelayMs: 0,
    chunkIntervalMs: 5,
  };

  return {
    calls: { run, attach, settle, cancel },
    behaviour,
    runs,
    getMembers: () => [...members.values()],
    replace,
    countRuns: (call) => runs.filter((run) => run.call === call).length,
    getMessageCount: () => messageCount,
    countAttemptedTargets: (requestId) =>
      attemptedTargets.get(requestId)?.size ?? 0,
  };

  function createAgent(id: string, incarnation: number): Member {
    const { service } = options;
    return createMember({ id, role: "agent", service, incarnation });
  }

  function replace(id: string): void {
    const previous = members.get(id)?.incarnation ?? 0;
    const table = tables.get(id);
    members.set(id, createAgent(id, previous + 1));
    tables.set(id, new Map());
    table?.forEach((entry) => {
      entry.state = "refused";
      entry.listeners.forEach((listener) =>
        listener({ kind: "lost", sent: true })
      );
    });
  }

  function takeDelivery(): Delivery {
    messageCount++;
    return deliveries.shift() ?? faultlessDelivery;
  }

  function run(dispatch: Dispatch, onSent?: () => void): AgentEvents {
    const { requestId } = dispatch.work;
    const targets = attemptedTargets.get(requestId) ?? new Set();
    attemptedTargets.set(requestId, targets.add(dispatch.target.id));
    if (deliveries[0]?.fault !== "unsent") onSent?.();
    return send((deliver) => startRun(dispatch, deliver));
  }

  function attach(placed: PlacedAttempt, offset: number): AgentEvents {
    return send((deliver) => {
      const entry = tryGetEntry(placed);
      if (entry !== undefined) return subscribe(entry, { offset, deliver });
      deliver({ kind: "failure", code: "outcome_unknown", mayHaveRun: true });
    });
  }

  /** Delivers a request to its target and returns the events. */
  function send(
    onArrival: (deliver: (event: AgentEvent) => void) => void,
  ): AgentEvents {
    const delivery = takeDelivery();
    const queue = createEventQueue();
    switch (delivery.fault) {
      case "unsent":
        schedule(0, () => queue.push({ kind: "lost", sent: false }));
        break;
      case "lost":
        schedule(
          lossDetectionMs,
          () => queue.push({ kind: "lost", sent: true }),
        );
        break;
      case "late":
        schedule(
          lossDetectionMs,
          () => queue.push({ kind: "lost", sent: true }),
        );
        schedule(
          lateDelayMs + delivery.delayMs,
          () => onArrival(() => undefined),
        );
        break;
      case "none":
      case "cut":
      case "doubled":
      case "swapped":
      case "hole":
      case "crossed":
        schedule(
          delivery.delayMs,
          () => onArrival(createFaultyLink(queue, delivery)),
        );
        break;
    }
    return queue.events;
  }

  function startRun(
    dispatch: Dispatch,
    deliver: (event: AgentEvent) => void,
  ): void {
    const { target } = dispatch;
    if (members.get(target.id)?.incarnation !== target.incarnation) {
      return refuse(deliver, "wrong_incarnation");
    }
    const known = tryGetEntry(dispatch);
    if (known !== undefined) return subscribe(known, { offset: 0, deliver });
    const entry = createEntry(dispatch, "queued");
    subscribe(entry, { offset: 0, deliver });
    const code = behaviour.refusalCodes.get(target.id);
    if (code !== undefined) return refuseEntry(entry, code);
    schedule(behaviour.queueDelayMs, () => execute(entry, dispatch));
  }

  function execute(entry: AttemptEntry, { work, target }: Dispatch): void {
    if (entry.state !== "queued") return;
    entry.state = "running";
    const call = getCall(work);
    const text = behaviour.writesSameDrafts
      ? `the only answer to ${call}, which is long`
      : `answer to ${call} in run ${runs.length} at ${target.id}`;
    const draft = behaviour.usesStreams ? formatStream(text) : text;
    runs.push({ requestId: work.requestId, call, target: target.id, draft });
    const events = createEvents(draft, target.id);
    events.forEach((event, index) => {
      schedule(index * behaviour.chunkIntervalMs, () => {
        if (entry.state !== "running") return;
        if (index === events.length - 1) entry.state = "done";
        emit(entry, event);
      });
    });
  }

  function createEvents(
    draft: string,
    targetId: string,
  ): AgentEvent[] {
    const eventsBeforeCrash = behaviour.eventsBeforeCrash.get(targetId);
    const status = behaviour.statuses.get(targetId) ?? 200;
    const body = Buffer.from(draft);
    const digest = host.digests.create();
    digest.update(body);
    const type = behaviour.usesStreams ? "text/event-stream" : "text/plain";
    const headers = [{ name: "content-type", value: type }];
    const events: AgentEvent[] = [{ kind: "head", status, headers }];
    for (let offset = 0; offset < body.length; offset += chunkBytes) {
      const data = body.subarray(offset, offset + chunkBytes);
      events.push({ kind: "chunk", offset, data });
    }
    if (eventsBeforeCrash !== undefined) {
      return [
        ...events.slice(0, eventsBeforeCrash),
        { kind: "failure", code: "target_crashed", mayHaveRun: true },
      ];
    }
    const usage = { promptTokens: 0, outputTokens: 0, cachedTokens: 0 };
    const length = body.length;
    return [...events, {
      kind: "end",
      length,
      digest: digest.getHex(),
      usage,
    }];
  }

  async function settle(placed: PlacedAttempt): Promise<SettleState> {
    const rpc = takeDelivery();
    await sleep(rpc.delayMs);
    if (rpc.fault === "lost" || rpc.fault === "unsent") return "no_answer";
    if (rpc.fault === "late") {
      schedule(lateDelayMs, () => settleNow(placed));
      return "no_answer";
    }
    const state = settleNow(placed);
    return rpc.fault === "cut" ? "no_answer" : state;
  }

  function settleNow(placed: PlacedAttempt): SettleState {
    const { id, incarnation } = placed.target;
    if (members.get(id)?.incarnation !== incarnation) {
      return "wrong_incarnation";
    }
    const entry = tryGetEntry(placed) ?? createEntry(placed, "refused");
    if (entry.state === "queued") refuseEntry(entry, "attempt_settled");
    return entry.state === "refused" ? "not_run" : getRunState(entry);
  }

  function cancel(placed: PlacedAttempt): void {
    schedule(1, () => {
      const entry = tryGetEntry(placed);
      if (entry?.state === "running") entry.state = "done";
    });
  }

  function tryGetEntry(
    { attempt, target }: PlacedAttempt,
  ): AttemptEntry | undefined {
    if (members.get(target.id)?.incarnation !== target.incarnation) {
      return undefined;
    }
    return tables.get(target.id)?.get(getAttemptKey(attempt));
  }

  function createEntry(
    { attempt, target }: PlacedAttempt,
    state: AttemptEntry["state"],
  ): AttemptEntry {
    const entry: AttemptEntry = { events: [], listeners: new Set(), state };
    if (state === "refused") {
      entry.events.push(createRefusal("attempt_settled"));
    }
    tables.get(target.id)?.set(getAttemptKey(attempt), entry);
    return entry;
  }
}

/** Formats an event stream with one event per word and an end marker. */
function formatStream(text: string): string {
  const events = [...text.split(" "), "[DONE]"];
  return events.map((event) => `data: ${event}\n\n`).join("");
}

/** Returns the call that a request makes, which is its body. */
function getCall(work: Work): string {
  return Buffer.from(work.body).toString();
}

function getRunState(entry: AttemptEntry): SettleState {
  return entry.state === "done" ? "done" : "running";
}

/** Delivers the past and future events of an attempt, from a body offset. */
function subscribe(
  entry: AttemptEntry,
  { offset, deliver }: {
    readonly offset: number;
    readonly deliver: (event: AgentEvent) => void;
  },
): void {
  const forward = (event: AgentEvent): void => {
    if (event.kind !== "chunk") return deliver(event);
    const skipped = Math.max(0, offset - event.offset);
    if (skipped >= event.data.length) return;
    deliver({
      kind: "chunk",
      offset: event.offset + skipped,
      data: event.data.subarray(skipped),
    });
  };
  entry.events.forEach(forward);
  entry.listeners.add(forward);
}

function emit(entry: AttemptEntry, event: AgentEvent): void {
  entry.events.push(event);
  entry.listeners.forEach((listener) => listener(event));
}

function refuseEntry(entry: AttemptEntry, code: DiagnosticCode): void {
  entry.state = "refused";
  emit(entry, createRefusal(code));
}

function refuse(
  deliver: (event: AgentEvent) => void,
  code: DiagnosticCode,
): void {
  deliver(createRefusal(code));
}

function createRefusal(code: DiagnosticCode): AgentEvent {
  return { kind: "refusal", code, retryAfterMs: 50, load: 0 };
}

/** Creates a link that delivers events with the fault of a delivery. */
function createFaultyLink(
  queue: EventQueue,
  delivery: Delivery,
): (event: AgentEvent) => void {
  let eventCount = 0;
  let delayedEvent: AgentEvent | undefined;
  return (event) => {
    eventCount++;
    if (delivery.fault === "cut" && eventCount > delivery.events) {
      if (eventCount === delivery.events + 1) {
        schedule(
          lossDetectionMs,
          () => queue.push({ kind: "lost", sent: true }),
        );
      }
      return;
    }
    if (delivery.fault === "swapped" && eventCount === delivery.events + 2) {
      delayedEvent = event;
      return;
    }
    if (delivery.fault === "hole" && eventCount === delivery.events + 2) return;
    const isCrossed = delivery.fault === "crossed" &&
      eventCount === delivery.events + 2;
    queue.push(isCrossed ? corrupt(event) : event);
    if (delivery.fault === "doubled") queue.push(event);
    if (delayedEvent !== undefined) queue.push(delayedEvent);
    delayedEvent = undefined;
  };
}

/** Changes a byte of a chunk, as if it came from another response. */
function corrupt(event: AgentEvent): AgentEvent {
  if (event.kind !== "chunk") return event;
  const data = Buffer.from(event.data);
  data[0] = 0x58;
  return { ...event, data };
}

function schedule(delayMs: number, callback: () => void): void {
  setTimeout(callback, delayMs);
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
