import * as fc from "fast-check";
import type { Header } from "../../src/types/work.ts";
import {
  findResponseFault,
  promiseStatuses,
  type TargetResponse,
  type TargetRun,
} from "./answer_checker.ts";
import {
  createConfiguration,
  createRoute,
  type FleetRouter,
  hasLogged,
  startConfiguredStore,
  startFleetRouter,
  waitUntil,
} from "./direct_fleet.ts";
import { type RawResponse, sendRawRequest } from "./framing_caller.ts";
import type { StoreStandIn } from "./store_stand_in.ts";
import {
  behaviours,
  brokenBody,
  brokenLargeBody,
  brokenStream,
  wholeBody,
  wholeStream,
} from "./target_behaviour.ts";
import {
  playBehaviour,
  type PlayedBehaviour,
  startTarget,
  type TargetStandIn,
} from "./target_stand_in.ts";

/** Number of random requests; a long run by hand sets more. */
const requestCount = Number(process.env["WHOLE_ANSWERS_REQUESTS"] ?? 200);

const seed = Number(process.env["WHOLE_ANSWERS_SEED"] ?? 1);

/** Requests that run at the same time, within the slots of the targets. */
const concurrency = 20;

/** Timeout of a test, for long runs by hand, in milliseconds of real time. */
const testTimeoutMs = 600_000;

/** Time that a caller waits, in milliseconds. */
const deadlineMs = 2_000;

/** Number of targets that may run a request that may run again. */
const maxTargets = 3;

const targetIds = ["target-1", "target-2", "target-3", "target-4"];

/** Paths of the routes by their names in the cases. */
const prefixes = {
  safe: "/proofs/",
  unsafe: "/orders/",
  stream: "/notes/",
  resumable: "/draft/",
} as const;

/**
 * One request and what its targets do with it, in the order of arrival; further
 * ones do what the last one does.
 */
interface Case {
  readonly route: keyof typeof prefixes;
  /** Last event that the caller has. */
  readonly lastEventId: string | undefined;
  readonly closesAfterBody: boolean;
  readonly behaviours: readonly PlayedBehaviour[];
}

const cases: fc.Arbitrary<Case> = fc.record({
  route: fc.constantFrom(
    "safe",
    "unsafe",
    "stream",
    "resumable",
    "resumable",
    "resumable",
  ),
  lastEventId: fc.constantFrom(undefined, undefined, undefined, "2"),
  closesAfterBody: fc.boolean(),
  behaviours: fc.array(
    behaviours.filter((behaviour): behaviour is PlayedBehaviour =>
      behaviour.kind !== "not_sent"
    ),
    { minLength: targetIds.length, maxLength: targetIds.length },
  ),
});

/** The first request of a run, whose stream later ones take up. */
const begunId = "request-1";

/** Cases with a resumable route by the failure that they led to. */
const knownCases: Readonly<Record<string, Partial<Case>>> = {
  "an error appended to a stream that broke off": {
    behaviours: [brokenStream, { ...wholeBody, status: 500 }],
  },
  "an error appended to a stream whose connection ended": {
    behaviours: [
      { ...brokenStream, breakKind: "ended" },
      { ...wholeBody, status: 500 },
    ],
  },
  "a body appended to a stream that broke off": {
    behaviours: [brokenStream, { ...wholeBody, announcesLength: true }],
  },
  "a stream with events of another one with wrong ids": {
    behaviours: [brokenStream, { ...wholeStream, ids: "foreign" }],
  },
  "a stream with events of another one without ids": {
    behaviours: [brokenStream, { ...wholeStream, ids: "none" }],
  },
  "a stream that broke off, complete by an empty one": {
    behaviours: [brokenStream, { ...wholeStream, events: 0 }],
  },
  "a stream that broke off, complete by a response without a body": {
    behaviours: [brokenStream, { ...wholeBody, status: 204 }],
  },
  "a stream that broke off and got no response elsewhere": {
    behaviours: [brokenStream, { kind: "lost" }],
  },
  "a part of a body after a later target's stream": {
    behaviours: [brokenBody, wholeStream],
  },
  "a body over the buffer with another target's body": {
    route: "safe",
    behaviours: [brokenLargeBody, wholeBody],
  },
  "a body without length that was reset": {
    route: "unsafe",
    closesAfterBody: true,
    behaviours: [brokenBody],
  },
  "a large body without length that was reset": {
    route: "unsafe",
    closesAfterBody: true,
    behaviours: [brokenLargeBody],
  },
};

describe("the response of a direct router, by its framing", () => {
  let store: StoreStandIn;
  let targets: readonly TargetStandIn[];
  let router: FleetRouter;
  let requestNumber = 0;
  /** Cases and the runs so far by request id. */
  const scripts = new Map<
    string,
    { readonly testCase: Case; readonly runs: TargetRun[] }
  >();

  beforeAll(async () => {
    store = await startConfiguredStore();
    store.put("op/config", createConfiguration(2, { Routes: createRoutes() }));
    targets = await Promise.all(
      targetIds.map((id) => startTarget(id, "desk")),
    );
    targets.forEach((target) => {
      target.setHandler((request, response) => {
        const id = String(request.headers["x-request-id"]);
        const script = scripts.get(id);
        if (script === undefined) throw new Error(`Unknown request ${id}`);
        const { testCase, runs } = script;
        const behaviour = testCase.behaviours[runs.length] ??
          testCase.behaviours.at(-1) ?? wholeBody;
        runs.push(playBehaviour(behaviour, {
          request,
          response,
          target: target.id,
          run: runs.length + 1,
          closesAfterBody: testCase.closesAfterBody,
        }));
      });
      store.put(`servers/${target.id}`, target.createEntry());
    });
    router = await startFleetRouter("router-1", store, { retrySlack: 5_000 });
    await waitUntil(() => hasLogged(router, "Router is ready"));
    const begun = { route: "resumable", behaviours: [wholeStream] } as const;
    expect(
      await tryFindFault({
        ...{ ...begun, lastEventId: undefined, closesAfterBody: false },
      }),
    ).toBeUndefined();
  });

  afterAll(async () => {
    await router.directRouter.stop("test");
    await Promise.all(targets.map((target) => target.close()));
    await store.close();
  });

  /** Sends the request of a case and returns what is wrong, if anything. */
  async function tryFindFault(testCase: Case): Promise<string | undefined> {
    const id = `request-${++requestNumber}`;
    const runs: TargetRun[] = [];
    scripts.set(id, { testCase, runs });
    const { route, lastEventId } = testCase;
    const response = await sendRawRequest(router.settings.frontend, {
      method: route === "unsafe" ? "POST" : "GET",
      path: `${prefixes[route]}${id}`,
      headers: {
        host: "cards.example",
        "x-request-id": id,
        "x-deadline-ms": String(deadlineMs),
        "x-credential": "key-1",
        ...(route === "unsafe" ? { "content-length": "0" } : {}),
        ...(lastEventId === undefined
          ? {}
          : { "last-event-id": lastEventId, resumes: begunId }),
      },
    });
    return findFault(testCase, runs, response) ??
      findLoss(testCase, runs, response);
  }

  describe("is not", () => {
    it.each(Object.entries(knownCases))("%s", async (_name, changes) => {
      const testCase: Case = {
        route: "resumable",
        lastEventId: undefined,
        closesAfterBody: false,
        behaviours: [],
        ...changes,
      };
      expect(await tryFindFault(testCase)).toBeUndefined();
    });
  });

  it("is complete only if targets sent all of it", async () => {
    const waiting = fc.sample(cases, { seed, numRuns: requestCount });
    const faults: string[] = [];
    await Promise.all(Array.from({ length: concurrency }, async () => {
      for (;;) {
        const testCase = waiting.shift();
        if (testCase === undefined) return;
        const fault = await tryFindFault(testCase);
        if (fault !== undefined) {
          faults.push(`Seed ${seed}: ${fault}\n${JSON.stringify(testCase)}`);
        }
      }
    }));
    expect(faults).toEqual([]);
  }, testTimeoutMs);
});

function createRoutes(): readonly unknown[] {
  const attempts = { Attempts: maxTargets, GoalMs: 100 };
  return [
    createRoute(prefixes.unsafe, "unsafe"),
    { ...createRoute(prefixes.safe, "safe"), ...attempts },
    { ...createRoute(prefixes.stream, "stream"), ...attempts },
    {
      ...createRoute(prefixes.resumable, "stream"),
      ...attempts,
      Resumable: true,
    },
  ];
}

function findFault(
  { route, lastEventId }: Case,
  runs: readonly TargetRun[],
  response: RawResponse | undefined,
): string | undefined {
  if (response === undefined) return "No response";
  if (response.surplus.length > 0) return "Bytes after the end";
  const possibleRuns = runs.filter(({ mayHaveRun }) => mayHaveRun).length;
  const mayRunAgain = route === "safe" || route === "resumable";
  if (possibleRuns > (mayRunAgain ? maxTargets : 1)) {
    return `${possibleRuns} targets may have run the request`;
  }
  if (possibleRuns > 0 && promiseStatuses.has(response.status)) {
    return "Refused with a promise, but a target may have run it";
  }
  if (!response.headers.has("x-run")) {
    return findErrorFault(response, possibleRuns);
  }
  return findResponseFault(
    {
      head: {
        status: response.status,
        headers: pickHeaders(response.headers),
      },
      body: response.body,
      isComplete: response.isComplete,
    },
    runs.map((run) => ({ ...run, response: pickResponse(run.response) })),
    { isResumable: route === "resumable", lastEventId },
  );
}

/** Tells when the caller misses what its only target sent whole. */
function findLoss(
  { lastEventId, behaviours: [behaviour] }: Case,
  [run, ...otherRuns]: readonly TargetRun[],
  response: RawResponse | undefined,
): string | undefined {
  if (run?.response?.isWhole !== true || otherRuns.length > 0) return undefined;
  const hasOwnIds = behaviour?.kind === "response" && behaviour.isEventStream &&
    behaviour.ids !== "next";
  if (lastEventId !== undefined || hasOwnIds) return undefined;
  // Passed on, the status would promise that the request has not run.
  if (promiseStatuses.has(run.response.status)) {
    return response?.status === 502
      ? undefined
      : "A refusal without a proof did not become an error";
  }
  return response?.headers.has("x-run") === true && response.isComplete
    ? undefined
    : "The whole response of the only target did not arrive";
}

/** Returns what is wrong with an error of the router; undefined for none. */
function findErrorFault(
  { body, isComplete }: RawResponse,
  possibleRuns: number,
): string | undefined {
  if (!isComplete) return "The router's error broke off";
  const { error } = JSON.parse(body.toString()) as {
    readonly error: { readonly outcome: string };
  };
  return error.outcome === "not_run" && possibleRuns > 0
    ? "Reported as not run, but a target may have run it"
    : undefined;
}

function pickResponse(
  response: TargetResponse | undefined,
): TargetResponse | undefined {
  if (response === undefined) return undefined;
  const headers = new Map(
    response.headers.map(({ name, value }) => [name, value]),
  );
  return { ...response, headers: pickHeaders(headers) };
}

/** Returns the headers that tell the runs of a request apart. */
function pickHeaders(
  headers: ReadonlyMap<string, string>,
): readonly Header[] {
  return ["content-type", "x-run"].map((name) => ({
    name,
    value: headers.get(name) ?? "",
  }));
}
