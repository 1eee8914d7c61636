/**
 * Sends requests through routers without sockets, under faults, and checks the
 * response of each caller against the runs at the targets.
 */

import { createAttemptNumbers } from "../../src/process/attempts/attempt_numbers.ts";
import type { BodyDigests } from "../../src/process/attempts/body_digest.ts";
import { createClaimLeases } from "../../src/process/attempts/claim_leases.ts";
import {
  createPlacement,
  type PlacementHost,
} from "../../src/process/placement/placement.ts";
import { createRefusalCache } from "../../src/process/placement/refusal_cache.ts";
import { createRetryBudget } from "../../src/process/limits/retry_budget.ts";
import type { RequestHost } from "../../src/request/request_host.ts";
import { formatError } from "../../src/connection/caller_reply.ts";
import { promisesNotRun } from "../../src/types/promises.ts";
import type { AgentCalls } from "../../src/types/agent_calls.ts";
import type { Configuration } from "../../src/types/configuration.ts";
import type { Platform } from "../../src/types/platform.ts";
import type { Reply, RequestEnd } from "../../src/types/reply.ts";
import type { Work } from "../../src/types/work.ts";
import type { FakeTargets } from "../fakes/fake_targets.ts";

/** Name of the only service in a history. */
export const service = "desk";

/** A caller with everything that it has received. */
export interface TestCaller {
  readonly work: Work;
  readonly text: () => string;
  readonly reply: Reply;
  /** Undefined until the request ends; stays so when the router crashes. */
  readonly end: () => RequestEnd | undefined;
  /** Undefined until the response starts or ends. */
  readonly status: () => number | undefined;
  /** Number of runs of the call when the request ended. */
  readonly runsAtEnd: () => number;
  /** Time until the request ended, in milliseconds; before that Infinity. */
  readonly durationMs: () => number;
  disconnect(): void;
}

/** Libraries that a test file loads once. */
export interface Libraries {
  readonly digests: BodyDigests;
  readonly placement: PlacementHost;
}

const configuration: Configuration = {
  version: 1,
  services: new Map([[service, {
    kind: "plain",
    loadMultiple: 1.25,
    slots: 4,
    queueLimit: 4,
    priorityWeights: { interactive: 4, background: 1 },
    retryBudget: 0.2,
    checksFencing: true,
    routes: [],
  }]]),
  workspaces: new Map(),
};

/** Creates the host of one router. */
export function createRequestHost(
  libraries: Libraries,
  options: {
    readonly id: string;
    readonly targets: FakeTargets;
    readonly platform: Platform;
    readonly calls?: AgentCalls;
  },
): RequestHost {
  const { targets, platform } = options;
  return {
    calls: options.calls ?? targets.calls,
    members: {
      getAvailableAgents: targets.getMembers,
      tryGetMember: (id) =>
        targets.getMembers().find((member) => member.id === id),
      recordContact: () => undefined,
    },
    configuration: { getConfiguration: () => configuration },
    crashes: { getCrashes: () => 0 },
    limits: { acquire: () => Promise.resolve({ kind: "granted" }) },
    placement: createPlacement(libraries.placement),
    refusals: createRefusalCache(),
    retries: createRetryBudget(),
    attempts: createAttemptNumbers({
      router: options.id,
      routerIncarnation: 1,
    }),
    digests: libraries.digests,
    closingSignal: new AbortController().signal,
    claims: { platform, leases: createClaimLeases({ platform }) },
    hashConversation: () => 0,
  };
}

/** Creates a request whose body names the call. */
export function createWork(
  fields: Partial<Work> & { readonly requestId: string; readonly call: string },
): Work {
  const { call, ...rest } = fields;
  return {
    kind: "call",
    service,
    workspace: "team",
    conversation: "",
    messageCount: 0,
    priority: "interactive",
    deadlineAt: Date.now() + 10_000,
    repeatable: false,
    idempotencyKey: undefined,
    fingerprint: call,
    estimate: { promptTokens: 0, outputTokens: 1, cachedTokens: 0 },
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.from(call),
    hintedTargetId: undefined,
    ...rest,
  };
}

/** Creates a caller that records everything it receives. */
export function createCaller(
  targets: Pick<FakeTargets, "countRuns">,
  work: Work,
): TestCaller {
  const disconnectController = new AbortController();
  let text = "";
  let end: RequestEnd | undefined;
  let status: number | undefined;
  let runsAtEnd = 0;
  let durationMs = Infinity;
  const startedAt = performance.now();
  const call = Buffer.from(work.body).toString();
  const reply: Reply = {
    disconnectSignal: disconnectController.signal,
    start: (head) => {
      status = head.status;
    },
    write: (data) => {
      text += Buffer.from(data).toString();
      return undefined;
    },
    end: (value) => {
      end = value;
      status ??= formatError(value, work.requestId).status;
      durationMs = performance.now() - startedAt;
      runsAtEnd = targets.countRuns(call);
    },
  };
  return {
    work,
    reply,
    text: () => text,
    end: () => end,
    status: () => status,
    runsAtEnd: () => runsAtEnd,
    durationMs: () => durationMs,
    disconnect: () => disconnectController.abort(),
  };
}

/** Returns descriptions of all broken guarantees. */
export function findViolations(
  targets: FakeTargets,
  callers: readonly TestCaller[],
): readonly string[] {
  return callers.flatMap((caller) => [
    ...findResponseViolations(targets, caller),
    ...findRunViolations(targets, caller),
  ]);
}

/**
 * Checks that a completed response equals the draft of one run, and that an
 * incomplete one is a prefix of such a draft.
 */
function findResponseViolations(
  targets: FakeTargets,
  caller: TestCaller,
): string[] {
  const call = Buffer.from(caller.work.body).toString();
  const drafts = targets.runs.filter((run) => run.call === call);
  const text = caller.text();
  const isDone = caller.end()?.outcome === "done";
  if (isDone && !drafts.some((run) => run.draft === text)) {
    return [
      `${caller.work.requestId} received done with "${text}", no run wrote it`,
    ];
  }
  if (!drafts.some((run) => run.draft.startsWith(text)) && text !== "") {
    return [
      `${caller.work.requestId} received a text of no single run: "${text}"`,
    ];
  }
  if (!isDone && text.includes("[DONE]")) {
    return [`${caller.work.requestId} received the end marker without done`];
  }
  return [];
}

/**
 * Checks that work which is not repeatable runs at most once, and that the
 * outcome `not_run` and statuses that promise it are true.
 */
function findRunViolations(targets: FakeTargets, caller: TestCaller): string[] {
  const { work } = caller;
  const call = Buffer.from(work.body).toString();
  const found: string[] = [];
  const outcome = caller.end()?.outcome;
  const status = caller.status();
  const isPromised = outcome === "not_run" ||
    (status !== undefined && promisesNotRun(status));
  const promise = `${outcome} with status ${status}`;
  const runs = targets.runs.filter((run) => run.requestId === work.requestId);
  if (work.repeatable) {
    const isConsistent = !isPromised || runs.length === 0;
    return isConsistent ? [] : [`${work.requestId} ran despite ${promise}`];
  }
  const runCount = work.idempotencyKey === undefined
    ? runs.length
    : targets.countRuns(call);
  if (runCount > 1) found.push(`${call} ran ${runCount} times`);
  if (!isPromised) return found;
  if (runs.length > 0) found.push(`${work.requestId} ran despite ${promise}`);
  if (work.idempotencyKey !== undefined && caller.runsAtEnd() > 0) {
    found.push(`${call} had run when ${work.requestId} ended as ${promise}`);
  }
  return found;
}
