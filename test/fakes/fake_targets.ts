/**
 * Agents and the network to them, in memory: each message meets the next
 * fault of a given list. The count of runs is the judge of every history.
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
 * - `lost`: the message never arrives, the sender sees a lost connection.
 * - `late`: the sender sees a lost connection, the message arrives later.
 * - `unsent`: the connection cannot be made.
 * - `cut`: the answer's connection is lost after some events.
 * - `doubled`, `swapped`: parts of the answer come twice or out of order.
 * - `hole`, `crossed`: one part is missing, or is that of another answer.
 */
export type Fault =
  | "none"
  | "lost"
  | "late"
  | "unsent"
  | "cut"
  | "doubled"
  | "swapped"
  | "hole"
  | "crossed";

/** What one message meets. */
export interface Fate {
  readonly fault: Fault;
  readonly delayMs: number;
  /** Events that arrive before a cut. */
  readonly events: number;
}

/** One run at a target. */
export interface Run {
  readonly requestId: string;
  readonly call: string;
  readonly target: string;
  readonly draft: string;
}

/** How targets behave; change the fields at any moment. */
export interface TargetBehaviour {
  /** Ids of targets that refuse, with the code. */
  readonly refuses: Map<string, DiagnosticCode>;
  /** Ids of targets that crash after some events of each run. */
  readonly crashesAfter: Map<string, number>;
  /** True when every run of a call writes the same text. */
  sameDrafts: boolean;
  /** True when answers are streams of events. */
  streams: boolean;
  /** Time that an attempt waits before it runs, in milliseconds. */
  queueMs: number;
  /** Time between the parts of an answer, in milliseconds. */
  partMs: number;
}

/** The targets of one service. */
export interface FakeTargets {
  readonly calls: AgentCalls;
  readonly behaviour: TargetBehaviour;
  readonly runs: readonly Run[];
  getMembers(): readonly Member[];
  /** Replaces an agent: its attempts and answers are gone. */
  replace(id: string): void;
  countRuns(call: string): number;
  /** Messages that were sent to targets. */
  getMessages(): number;
  /** Targets that were asked to run a request, each counted once. */
  countAsked(requestId: string): number;
}

interface Entry {
  readonly events: AgentEvent[];
  readonly readers: Set<(event: AgentEvent) => void>;
  state: "queued" | "running" | "done" | "refused";
}

/** Time after which a lost connection is noticed, in milliseconds. */
const noticeMs = 20;

/** Time by which a late message comes later, in milliseconds. */
const lateMs = 200;

/** Bytes of one part of an answer. */
const partBytes = 8;

const noFate: Fate = { fault: "none", delayMs: 1, events: 0 };

/** Creates targets with one service. */
export function createFakeTargets(
  host: { readonly digests: BodyDigests },
  options: {
    readonly ids: readonly string[];
    readonly service: string;
    readonly fates: readonly Fate[];
  },
): FakeTargets {
  const fates = [...options.fates];
  const members = new Map(options.ids.map((id) => [id, createAgent(id, 1)]));
  const tables = new Map(
    options.ids.map((id) => [id, new Map<string, Entry>()]),
  );
  const runs: Run[] = [];
  const asked = new Map<string, Set<string>>();
  let messages = 0;
  const behaviour: TargetBehaviour = {
    refuses: new Map(),
    crashesAfter: new Map(),
    sameDrafts: false,
    streams: false,
    queueMs: 0,
    partMs: 5,
  };

  return {
    calls: { run, attach, settle, cancel },
    behaviour,
    runs,
    getMembers: () => [...members.values()],
    replace,
    countRuns: (call) => runs.filter((run) => run.call === call).length,
    getMessages: () => messages,
    countAsked: (requestId) => asked.get(requestId)?.size ?? 0,
  };

  function createAgent(id: string, incarnation: number): Member {
    const { service } = options;
    return createMember({ id, role: "agent", service, incarnation });
  }

  function replace(id: string): void {
    const before = members.get(id)?.incarnation ?? 0;
    const table = tables.get(id);
    members.set(id, createAgent(id, before + 1));
    tables.set(id, new Map());
    table?.forEach((entry) => {
      entry.state = "refused";
      entry.readers.forEach((read) => read({ kind: "lost", sent: true }));
    });
  }

  function takeFate(): Fate {
    messages++;
    return fates.shift() ?? noFate;
  }

  function run(dispatch: Dispatch): AgentEvents {
    const { requestId } = dispatch.work;
    const targets = asked.get(requestId) ?? new Set();
    asked.set(requestId, targets.add(dispatch.target.id));
    return send((deliver) => startRun(dispatch, deliver));
  }

  function attach(placed: PlacedAttempt, offset: number): AgentEvents {
    return send((deliver) => {
      const entry = tryGetEntry(placed);
      if (entry !== undefined) return join(entry, { offset, deliver });
      deliver({ kind: "failure", code: "outcome_unknown", mayHaveRun: true });
    });
  }

  /** Brings a request to its target and the events back. */
  function send(
    arrive: (deliver: (event: AgentEvent) => void) => void,
  ): AgentEvents {
    const fate = takeFate();
    const queue = createEventQueue();
    switch (fate.fault) {
      case "unsent":
        later(0, () => queue.push({ kind: "lost", sent: false }));
        break;
      case "lost":
        later(noticeMs, () => queue.push({ kind: "lost", sent: true }));
        break;
      case "late":
        later(noticeMs, () => queue.push({ kind: "lost", sent: true }));
        later(lateMs + fate.delayMs, () => arrive(() => undefined));
        break;
      case "none":
      case "cut":
      case "doubled":
      case "swapped":
      case "hole":
      case "crossed":
        later(fate.delayMs, () => arrive(createLink(queue, fate)));
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
    if (known !== undefined) return join(known, { offset: 0, deliver });
    const entry = createEntry(dispatch, "queued");
    join(entry, { offset: 0, deliver });
    const code = behaviour.refuses.get(target.id);
    if (code !== undefined) return refuseEntry(entry, code);
    later(behaviour.queueMs, () => execute(entry, dispatch));
  }

  function execute(entry: Entry, { work, target }: Dispatch): void {
    if (entry.state !== "queued") return;
    entry.state = "running";
    const call = getCall(work);
    const text = behaviour.sameDrafts
      ? `the only answer to ${call}, which is long`
      : `answer to ${call} in run ${runs.length} at ${target.id}`;
    const draft = behaviour.streams ? formatStream(text) : text;
    runs.push({ requestId: work.requestId, call, target: target.id, draft });
    const events = createEvents(draft, behaviour.crashesAfter.get(target.id));
    events.forEach((event, index) => {
      later(index * behaviour.partMs, () => {
        if (entry.state !== "running") return;
        if (index === events.length - 1) entry.state = "done";
        emit(entry, event);
      });
    });
  }

  function createEvents(
    draft: string,
    crashAfter: number | undefined,
  ): AgentEvent[] {
    const body = Buffer.from(draft);
    const digest = host.digests.create();
    digest.update(body);
    const type = behaviour.streams ? "text/event-stream" : "text/plain";
    const headers = [{ name: "content-type", value: type }];
    const events: AgentEvent[] = [{ kind: "head", status: 200, headers }];
    for (let offset = 0; offset < body.length; offset += partBytes) {
      const data = body.subarray(offset, offset + partBytes);
      events.push({ kind: "chunk", offset, data });
    }
    if (crashAfter !== undefined) {
      return [
        ...events.slice(0, crashAfter),
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
    const fate = takeFate();
    await wait(fate.delayMs);
    if (fate.fault === "lost" || fate.fault === "unsent") return "no_answer";
    if (fate.fault === "late") {
      later(lateMs, () => settleNow(placed));
      return "no_answer";
    }
    const state = settleNow(placed);
    return fate.fault === "cut" ? "no_answer" : state;
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
    later(1, () => {
      const entry = tryGetEntry(placed);
      if (entry?.state === "running") entry.state = "done";
    });
  }

  function tryGetEntry({ attempt, target }: PlacedAttempt): Entry | undefined {
    if (members.get(target.id)?.incarnation !== target.incarnation) {
      return undefined;
    }
    return tables.get(target.id)?.get(getAttemptKey(attempt));
  }

  function createEntry(
    { attempt, target }: PlacedAttempt,
    state: Entry["state"],
  ): Entry {
    const entry: Entry = { events: [], readers: new Set(), state };
    if (state === "refused") {
      entry.events.push(createRefusal("attempt_settled"));
    }
    tables.get(target.id)?.set(getAttemptKey(attempt), entry);
    return entry;
  }
}

/** Formats one event for each word, and the end marker. */
function formatStream(text: string): string {
  const events = [...text.split(" "), "[DONE]"];
  return events.map((event) => `data: ${event}\n\n`).join("");
}

/** The call that a request stands for. */
function getCall(work: Work): string {
  return Buffer.from(work.body).toString();
}

function getRunState(entry: Entry): SettleState {
  return entry.state === "done" ? "done" : "running";
}

/** Replays an answer from an offset and follows it. */
function join(
  entry: Entry,
  { offset, deliver }: {
    readonly offset: number;
    readonly deliver: (event: AgentEvent) => void;
  },
): void {
  const read = (event: AgentEvent): void => {
    if (event.kind !== "chunk") return deliver(event);
    const skipped = Math.max(0, offset - event.offset);
    if (skipped >= event.data.length) return;
    deliver({
      kind: "chunk",
      offset: event.offset + skipped,
      data: event.data.subarray(skipped),
    });
  };
  entry.events.forEach(read);
  entry.readers.add(read);
}

function emit(entry: Entry, event: AgentEvent): void {
  entry.events.push(event);
  entry.readers.forEach((read) => read(event));
}

function refuseEntry(entry: Entry, code: DiagnosticCode): void {
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

/** A link that carries events with the fault of a fate. */
function createLink(
  queue: EventQueue,
  fate: Fate,
): (event: AgentEvent) => void {
  let carried = 0;
  let held: AgentEvent | undefined;
  return (event) => {
    carried++;
    if (fate.fault === "cut" && carried > fate.events) {
      if (carried === fate.events + 1) {
        later(noticeMs, () => queue.push({ kind: "lost", sent: true }));
      }
      return;
    }
    if (fate.fault === "swapped" && carried === fate.events + 2) {
      held = event;
      return;
    }
    if (fate.fault === "hole" && carried === fate.events + 2) return;
    const isCrossed = fate.fault === "crossed" && carried === fate.events + 2;
    queue.push(isCrossed ? damage(event) : event);
    if (fate.fault === "doubled") queue.push(event);
    if (held !== undefined) queue.push(held);
    held = undefined;
  };
}

/** Puts the bytes of another answer into a part. */
function damage(event: AgentEvent): AgentEvent {
  if (event.kind !== "chunk") return event;
  const data = Buffer.from(event.data);
  data[0] = 0x58;
  return { ...event, data };
}

function later(delayMs: number, act: () => void): void {
  setTimeout(act, delayMs);
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
