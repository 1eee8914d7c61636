/** Creates an agent's attempt service over a fake target, without sockets. */

import { createAttemptTable } from "../../src/process/attempts/attempt_table.ts";
import type { BodyDigests } from "../../src/process/attempts/body_digest.ts";
import { createContextIndex } from "../../src/process/placement/context_index.ts";
import {
  type CrashQuarantine,
  createCrashQuarantine,
} from "../../src/process/attempts/crash_quarantine.ts";
import { createLoadGate } from "../../src/process/admission/load_gate.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createMetrics } from "../../src/process/telemetry/metrics.ts";
import type { SuspectClaims } from "../../src/process/membership/suspect_claims.ts";
import { createWorkQueue } from "../../src/process/admission/work_queue.ts";
import {
  type AttemptService,
  createAttemptService,
} from "../../src/request/attempt_service.ts";
import type {
  ResponseEvent,
  ResponseReader,
} from "../../src/types/response.ts";
import { isLastEvent } from "../../src/types/response.ts";
import type { RunOrder } from "../../src/types/run_order.ts";
import type { CrashView } from "../../src/types/view.ts";
import { createCrashView } from "./agent_host.ts";
import type { FakeTarget } from "./fake_target.ts";

/** Settings and host functions of an agent under test. */
export interface AgentPartsOptions {
  readonly incarnation?: number;
  readonly slots?: number;
  readonly queueLimit?: number;
  readonly crashes?: CrashView;
  readonly isUp?: () => boolean;
  /** Returns whether a lost connection to the target was a crash. */
  readonly hasCrashed?: () => boolean;
  readonly isLeaving?: () => boolean;
  readonly digests?: BodyDigests;
  /** Mean load of the service's targets, in work units. */
  readonly mean?: number;
  readonly suspects?: SuspectClaims | undefined;
  readonly tombstoneMs?: number;
  /** When true, suspect requests run concurrently, without a quarantine. */
  readonly isQuarantineDisabled?: boolean;
}

/** An agent's attempt service, its quarantine and its load. */
export interface AgentParts {
  readonly service: AttemptService;
  readonly quarantine: CrashQuarantine;
  getLoad(): number;
}

/** Returns the same digest for every body, at no cost. */
const constantDigests: BodyDigests = {
  create: () => ({ update: () => undefined, getHex: () => "digest" }),
};

/** Creates an attempt service with an agent's real decision modules. */
export function createAgentParts(
  target: FakeTarget,
  options: AgentPartsOptions = {},
): AgentParts {
  const quarantine = createCrashQuarantine({
    crashes: options.crashes ?? createCrashView(),
  });
  const gate = createLoadGate({
    getMean: () => ({
      mean: options.mean ?? 1_000_000,
      targets: 3,
      ageMs: 0,
    }),
    getLoadMultiple: () => 1.25,
    getColdMultiple: () => 1.1,
  });
  const queue = createWorkQueue({
    getSlots: () => options.slots ?? 2,
    getQueueLimit: () => options.queueLimit ?? 8,
    getPriorityWeight: (priority) => priority === "interactive" ? 4 : 1,
    getWorkspaceWeight: () => 1,
  });
  const isQuarantineDisabled = options.isQuarantineDisabled ?? false;
  const service = createAttemptService({
    contexts: createContextIndex(),
    table: createAttemptTable({
      keptAnswerBytes: 1_000_000,
      keptAnswerMs: 60_000,
      tombstoneMs: options.tombstoneMs ?? 60_000,
      maxEntries: 1_000,
    }),
    gate,
    queue: {
      ...queue,
      add: (job) =>
        queue.add(isQuarantineDisabled ? { ...job, exclusive: false } : job),
    },
    quarantine,
    suspects: options.suspects ?? {
      tryClaim: () => Promise.resolve("claimed"),
      release: () => Promise.resolve(),
    },
    target,
    watch: {
      isUp: options.isUp ?? (() => true),
      checkCrash: () => Promise.resolve(options.hasCrashed?.() ?? false),
    },
    digests: options.digests ?? constantDigests,
    log: createSilentLog(),
    metrics: createMetrics(),
    incarnation: options.incarnation ?? 1,
    getWeight: () => 100,
    isLeaving: options.isLeaving ?? (() => false),
  });
  return { service, quarantine, getLoad: gate.getLoad };
}

/** Creates the order of attempt `number`; its request id is `r<number>`. */
export function createRunOrder(
  number: number,
  fields: Partial<RunOrder> = {},
): RunOrder {
  return {
    attempt: { router: "router-a1", routerIncarnation: 5, number },
    targetIncarnation: 1,
    requestId: `r${number}`,
    service: "chat",
    workspace: "w1",
    priority: "interactive",
    deadlineAt: Date.now() + 60_000,
    repeatable: true,
    fingerprint: `f${number}`,
    estimate: { promptTokens: 10, outputTokens: 10, cachedTokens: 0 },
    crashes: 0,
    method: "POST",
    path: "/",
    headers: [],
    body: new Uint8Array(),
    isChat: true,
    claim: "",
    observedLoads: [],
    silentTargets: 0,
    conversationHash: number,
    messageCount: 1,
    onlyIfHeld: false,
    ...fields,
  };
}

/** Collects the events of a reader as they arrive. */
export function collectEvents(reader: ResponseReader): ResponseEvent[] {
  const events: ResponseEvent[] = [];
  const readAll = (): void => {
    for (;;) {
      const event = reader.tryRead();
      if (event === undefined) return;
      events.push(event);
      if (isLastEvent(event)) reader.close();
    }
  };
  reader.onReadable(readAll);
  readAll();
  return events;
}

/** Returns the body in the events, as text. */
export function joinBody(events: readonly ResponseEvent[]): string {
  return events
    .map((event) =>
      event.kind === "chunk" ? Buffer.from(event.data).toString() : ""
    )
    .join("");
}
