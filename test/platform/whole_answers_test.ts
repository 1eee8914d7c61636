import * as fc from "fast-check";
import { createContention } from "../../src/process/direct/limits/contention.ts";
import { createRepeatRecords } from "../../src/process/direct/queue/repeat_records.ts";
import { createPromptSizes } from "../../src/process/direct/placement/prompt_sizes.ts";
import { createEngineMemory } from "../../src/process/direct/limits/engine_memory.ts";
import { targetCodec } from "../../src/platform/target_codec.ts";
import { headerNames } from "../../src/platform/wire_names.ts";
import { createRunTimes } from "../../src/process/direct/limits/admission_estimate.ts";
import { createCachedParts } from "../../src/process/direct/placement/cached_parts.ts";
import { createCrashSuspects } from "../../src/process/direct/crashes/crash_suspects.ts";
import { createLoadView } from "../../src/process/direct/targets/load_view.ts";
import { createReadPace } from "../../src/process/admission/read_pace.ts";
import { createMemoryBudget } from "../../src/process/direct/limits/memory_budget.ts";
import { createPartPrefills } from "../../src/process/direct/placement/part_prefills.ts";
import { createTargetHealth } from "../../src/process/direct/targets/target_health.ts";
import { createTargetPauses } from "../../src/process/direct/targets/target_pauses.ts";
import { createTargetTable } from "../../src/process/direct/targets/target_table.ts";
import { createPlacement } from "../../src/process/placement/placement.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { runDirect } from "../../src/request/direct_run.ts";
import type { DirectCall, DirectResult } from "../../src/types/direct_calls.ts";
import { getDiagnostic } from "../../src/types/diagnostics.ts";
import type { ReplyHead, RequestEnd } from "../../src/types/reply.ts";
import type { DirectRoute } from "../../src/types/route_table.ts";
import {
  createRequest,
  createRoute,
  createTarget,
  createTestLimits,
  createTestPace,
  createTestQuarantine,
  createTestQueue,
  createTestStreamOrigins,
} from "../support/direct.ts";
import {
  findResponseFault,
  promiseStatuses,
  type TargetResponse,
  type TargetRun,
} from "./answer_checker.ts";
import {
  type Behaviour,
  behaviours,
  brokenBody,
  brokenLargeBody,
  brokenStream,
  createSentResponse,
  endsAfterEvent,
  type ResponseBehaviour,
  type SentResponse,
  wholeBody,
  wholeStream,
} from "./target_behaviour.ts";

/** Number of seeds; a long run by hand sets more. */
const seedCount = Number(process.env["WHOLE_ANSWERS_SEEDS"] ?? 4);

const firstSeed = Number(process.env["WHOLE_ANSWERS_SEED"] ?? 1);

/** Lowest status of a response with which a target reports its own failure. */
const minServerErrorStatus = 500;

/** Maximum number of pieces of one body, so that large ones take few writes. */
const maxPieces = 64;

/** Requests per seed. */
const requestCount = 5_000;

/** Timeout of a test, for long runs by hand, in milliseconds of real time. */
const testTimeoutMs = 600_000;

const routeTimeoutMs = 6_000;

/** More targets than a request may be sent to. */
const targetIds = ["a", "b", "c", "d", "e", "f"];

const seeds = Array.from(
  { length: seedCount },
  (_, index) => firstSeed + index,
);

/** One request and what its targets do with it, in the order of sending. */
interface Case {
  readonly route: keyof typeof routes;
  readonly maxTargets: number;
  /** Last event that the caller has. */
  readonly lastEventId: string | undefined;
  readonly retries: number;
  readonly isSlowCaller: boolean;
  readonly behaviours: readonly Behaviour[];
}

const routes = {
  safe: { kind: "safe" },
  unsafe: { kind: "unsafe" },
  stream: { kind: "stream" },
  resumable: { kind: "stream", isResumable: true },
} as const satisfies Record<string, Partial<DirectRoute>>;

const cases: fc.Arbitrary<Case> = fc.record({
  route: fc.constantFrom(
    "safe",
    "unsafe",
    "stream",
    "resumable",
    "resumable",
    "resumable",
  ),
  maxTargets: fc.integer({ min: 1, max: 4 }),
  lastEventId: fc.oneof(
    { weight: 4, arbitrary: fc.constant(undefined) },
    { weight: 1, arbitrary: fc.constantFrom("0", "2", "7", "word") },
  ),
  retries: fc.integer({ min: 0, max: 5 }),
  isSlowCaller: fc.boolean(),
  behaviours: fc.array(behaviours, {
    minLength: targetIds.length,
    maxLength: targetIds.length,
  }),
});

/** What one request led to. */
interface Observation {
  readonly runs: readonly TargetRun[];
  readonly heads: readonly ReplyHead[];
  readonly body: Buffer;
  readonly end: RequestEnd | undefined;
  /** Calls of the reply out of order. */
  readonly misuses: readonly string[];
}

/** Results of calls after which the target has certainly not run. */
const notRunKinds: ReadonlySet<Behaviour["kind"]> = new Set([
  "not_sent",
  "refused",
  "wrong_target",
]);

/** Cases with a resumable route by the failure that they led to. */
const knownCases: Readonly<Record<string, Partial<Case>>> = {
  "an error appended to a stream that broke off": {
    behaviours: [brokenStream, { ...wholeBody, status: 500 }],
  },
  "a body appended to a stream that broke off": {
    behaviours: [brokenStream, wholeBody],
  },
  "a stream that broke off, complete by a response without a body": {
    behaviours: [brokenStream, { ...wholeBody, status: 204 }],
  },
  "a stream that broke off, complete by an empty stream": {
    behaviours: [brokenStream, { ...wholeStream, events: 0 }],
  },
  "a stream with events of another one without ids": {
    behaviours: [brokenStream, { ...wholeStream, ids: "none" }],
  },
  "a stream with events of another one whose ids are not numbers": {
    behaviours: [brokenStream, { ...wholeStream, ids: "words" }],
  },
  "a stream with events of another one from its start": {
    behaviours: [brokenStream, { ...wholeStream, ids: "start" }],
  },
  "a stream without ids that began again at another target": {
    behaviours: [{ ...brokenStream, ids: "none" }, wholeStream],
  },
  "a part of a body after a later target's stream": {
    behaviours: [brokenBody, wholeStream],
  },
  "a part of a body after a later target's empty stream": {
    behaviours: [brokenBody, { ...wholeStream, events: 0 }],
  },
  "a body over the buffer with another target's body": {
    behaviours: [brokenLargeBody, wholeBody],
  },
  "a body over the buffer with another target's stream": {
    behaviours: [brokenLargeBody, wholeStream],
  },
  "a body over the buffer that broke off, on a safe route": {
    route: "safe",
    behaviours: [brokenLargeBody, wholeBody],
  },
  "a stream of two targets on a safe route": {
    route: "safe",
    behaviours: [brokenStream, wholeStream],
  },
  "a stream without its events with empty ids": {
    route: "safe",
    behaviours: [{ ...wholeStream, ids: "empty" }],
  },
  "a stream without the events before the caller's last one": {
    route: "stream",
    lastEventId: "2",
    behaviours: [{ ...wholeStream, ids: "start" }],
  },
};

const simpleResults: Readonly<
  Record<
    Exclude<Behaviour["kind"], "response">,
    (call: DirectCall) => DirectResult | Promise<DirectResult>
  >
> = {
  not_sent: () => ({ kind: "not_sent", reason: "connection refused" }),
  refused: () => ({ kind: "refused", status: 503 }),
  wrong_target: () => ({ kind: "wrong_target", status: 421 }),
  lost: () => ({ kind: "lost", reason: "reset" }),
  spoiled: () => ({ kind: "spoiled", reason: "another request's id" }),
  hang: async ({ signal }) => {
    await waitForAbort(signal);
    return { kind: "aborted" };
  },
};

describe("the response of a direct request", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  describe("is complete only if targets sent all of it", () => {
    it.each(seeds)("with seed %i", async (seed) => {
      await fc.assert(
        fc.asyncProperty(cases, async (testCase) => {
          const observation = await observe(testCase);
          const fault = findFault(testCase, observation);
          if (fault === undefined) return;
          const used = testCase.behaviours.slice(0, observation.runs.length);
          throw new Error(
            `${fault}\nTargets: ${
              used.map((item) => JSON.stringify(item)).join("\n")
            }`,
          );
        }),
        { seed, numRuns: requestCount },
      );
    }, testTimeoutMs);
  });

  describe("is not", () => {
    it.each(Object.entries(knownCases))("%s", async (_name, changes) => {
      const testCase: Case = {
        route: "resumable",
        maxTargets: 2,
        lastEventId: undefined,
        retries: 5,
        isSlowCaller: false,
        behaviours: [],
        ...changes,
      };
      expect(findFault(testCase, await observe(testCase))).toBeUndefined();
    });
  });

  it("is of each kind that the property is about", async () => {
    const kinds = new Set<string>();
    for (const testCase of fc.sample(cases, { seed: 1, numRuns: 2_000 })) {
      const observation = await observe(testCase);
      if (findFault(testCase, observation) !== undefined) continue;
      kinds.add(getKind(observation));
    }
    expect([...kinds].sort()).toEqual([
      "complete, from one target",
      "complete, from several targets",
      "cut, from one target",
      "cut, from several targets",
      "error of the router",
    ]);
  });
});

function getKind({ heads, body, end }: Observation): string {
  if (heads.length === 0) return "error of the router";
  const runs = new Set(body.toString("latin1").match(/run \d+/g));
  return `${end?.outcome === "done" ? "complete" : "cut"}, ` +
    `from ${runs.size > 1 ? "several targets" : "one target"}`;
}

/** Returns which promise was broken; undefined when none was. */
function findFault(
  testCase: Case,
  { runs, heads, body, end, misuses }: Observation,
): string | undefined {
  const [misuse] = misuses;
  if (misuse !== undefined) return misuse;
  if (end === undefined) return "The request has not ended";
  const possibleRuns = runs.filter(({ mayHaveRun }) => mayHaveRun);
  if (possibleRuns.length > getMaxRuns(testCase)) {
    return `${possibleRuns.length} targets may have run the request`;
  }
  if (end.outcome === "not_run" && possibleRuns.length > 0) {
    return "Reported as not run, but a target may have run it";
  }
  const [head] = heads;
  if (possibleRuns.length > 0 && promiseStatuses.has(getStatus(head, end))) {
    return "Refused with a promise, but a target may have run it";
  }
  const length = head?.length;
  if (end.outcome === "done" && (length ?? body.length) !== body.length) {
    return `${body.length} bytes where ${length} were announced`;
  }
  if (end.outcome !== "done" && isWholeAtOnce(testCase, runs)) {
    return "The only run responded whole, but the request has failed";
  }
  return findResponseFault(
    {
      head,
      body,
      // A caller that has received the announced bytes sees no break.
      isComplete: end.outcome === "done" || length === body.length,
    },
    runs,
    {
      isResumable: testCase.route === "resumable",
      lastEventId: testCase.lastEventId,
    },
  );
}

/** Returns the status that the caller received. */
function getStatus(head: ReplyHead | undefined, end: RequestEnd): number {
  if (head !== undefined) return head.status;
  return end.report === undefined ? 0 : getDiagnostic(end.report.code).status;
}

function getMaxRuns({ route, maxTargets, retries }: Case): number {
  const mayRunAgain = route === "safe" || route === "resumable";
  return mayRunAgain ? Math.min(maxTargets, retries + 1) : 1;
}

/** Returns true when the only run sent a response that nothing is wrong with. */
function isWholeAtOnce(
  testCase: Case,
  runs: readonly TargetRun[],
): boolean {
  const possible = runs.filter(({ mayHaveRun }) => mayHaveRun);
  const [response] = possible.map((run) => run.response);
  if (possible.length !== 1 || response === undefined) return false;
  const behaviour = testCase.behaviours[runs.length - 1];
  return response.isWhole && response.status < minServerErrorStatus &&
    !promiseStatuses.has(response.status) && behaviour?.kind === "response" &&
    (!response.isEventStream || behaviour.ids === "next");
}

async function observe(testCase: Case): Promise<Observation> {
  const { route, maxTargets } = testCase;
  const runs: TargetRun[] = [];
  const heads: ReplyHead[] = [];
  const parts: Uint8Array[] = [];
  const misuses: string[] = [];
  let end: RequestEnd | undefined;
  let retriesLeft = testCase.retries;
  const streamOrigins = createTestStreamOrigins();
  const targets = createTargetTable();
  targetIds.forEach((id) =>
    targets.put(createTarget(id, { address: `10.0.0.1:${id}` }))
  );
  const running = runDirect(
    {
      calls: { send, tryListCachedParts: () => Promise.resolve(undefined) },
      targets,
      health: createTargetHealth({ log: createSilentLog() }),
      promptSizes: createPromptSizes(),
      engineMemory: createEngineMemory({ tryGetEngine: () => undefined }),
      repeats: createRepeatRecords(),
      contention: createContention({
        ...{ isConfigured: false, log: createSilentLog() },
      }),
      queue: createTestQueue(),
      limits: createTestLimits(),
      ...createTestPace({ loads: createLoadView() }),
      streamOrigins,
      serviceVersions: {
        isCurrent: () => true,
        tryGetOnly: () => ({
          version: streamOrigins.getVersion(createTarget("a")),
          source: "only_version",
        }),
        tryGetOnlyAtStart: () => undefined,
        mayBegin: () => true,
      },
      pauses: createTargetPauses({ log: createSilentLog(), random: () => 0.5 }),
      loads: createLoadView(),
      cachedParts: createCachedParts(),
      prefills: createPartPrefills(),
      placement: createPlacement({
        hash: (key, seed) => key.length * 7 + seed,
      }),
      retries: {
        recordRequest: () => undefined,
        trySpend: () => retriesLeft-- > 0,
        recordSent: () => undefined,
        recordUnsent: () => undefined,
      },
      crashes: createCrashSuspects({
        log: createSilentLog(),
        handlePeerResponse: () => undefined,
        report: () => undefined,
      }),
      runTimes: createRunTimes(),
      targetCrashes: {
        check: () => Promise.resolve(false),
        hasCrashed: () => false,
      },
      abortedAttempts: { add: () => undefined },
      quarantine: createTestQuarantine(),
      ...{ responseMemory: createMemoryBudget(), readPace: createReadPace() },
      ...{ metrics: { count: () => undefined }, isLoopBusy: () => false },
      log: createSilentLog(),
      zone: "zone-a",
      loadMultiple: 2,
      random: () => 0.5,
    },
    createRequest(
      createRoute({
        ...routes[route],
        maxTargets,
        timeoutMs: routeTimeoutMs,
      }),
      { lastEventId: testCase.lastEventId },
    ),
    {
      disconnectSignal: new AbortController().signal,
      start: (head) => {
        if (heads.length > 0) misuses.push("Started twice");
        if (end !== undefined) misuses.push("Started after the end");
        heads.push(head);
      },
      write: (data) => {
        if (heads.length === 0) misuses.push("Written before the start");
        if (end !== undefined) misuses.push("Written after the end");
        parts.push(data);
        return testCase.isSlowCaller ? sleep(1) : undefined;
      },
      end: (value) => {
        if (end !== undefined) misuses.push("Ended twice");
        end = value;
      },
    },
  );
  await jest.advanceTimersByTimeAsync(routeTimeoutMs * 2);
  if (end !== undefined) await running;
  return { runs, heads, body: Buffer.concat(parts), end, misuses };

  async function send(call: DirectCall): Promise<DirectResult> {
    const behaviour = testCase.behaviours[runs.length] ??
      { kind: "hang" };
    const { lastEventId } = call;
    if (behaviour.kind !== "response") {
      const mayHaveRun = !notRunKinds.has(behaviour.kind);
      runs.push({ lastEventId, mayHaveRun, response: undefined });
      return await simpleResults[behaviour.kind](call);
    }
    const run = runs.length + 1;
    const sent = createSentResponse(behaviour, { run, lastEventId });
    const { result, response } = createAnswer(behaviour, sent, call);
    runs.push({ lastEventId, mayHaveRun: true, response });
    return result;
  }
}

/** Creates the result of a call, and the response for the checker. */
function createAnswer(
  { status, pieceBytes }: ResponseBehaviour,
  sent: SentResponse,
  call: DirectCall,
): { readonly result: DirectResult; readonly response: TargetResponse } {
  const decoded = targetCodec.decodeHead(status, [
    { name: headerNames.requestId, value: call.requestId },
    { name: headerNames.signature, value: "stamp" },
    ...sent.headers,
  ], call);
  if (decoded.kind !== "head") throw new Error(`Decoded as ${decoded.kind}`);
  const { head } = decoded;
  const { body, breakKind } = sent;
  // The end of a body that has neither length nor events can't be early.
  const endsEarly = breakKind === "ended" && head.isEventStream &&
    head.length === undefined;
  return {
    result: {
      kind: "answer",
      head,
      body: sendBody(),
      drop: () => undefined,
    },
    response: {
      status,
      headers: head.headers,
      body,
      isEventStream: head.isEventStream,
      isWhole: breakKind === undefined || (endsEarly && endsAfterEvent(body)),
    },
  };

  async function* sendBody(): AsyncGenerator<Uint8Array> {
    const stepBytes = Math.max(
      pieceBytes,
      Math.ceil(body.length / maxPieces),
    );
    for (let start = 0; start < body.length; start += stepBytes) {
      yield body.subarray(start, start + stepBytes);
      if (call.signal.aborted) throw new Error("The call was aborted");
    }
    if (breakKind === undefined || endsEarly) return;
    if (breakKind === "stalled") await waitForAbort(call.signal);
    throw new Error("The response broke off");
  }
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
