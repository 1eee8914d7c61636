import {
  calmAt,
  createArrival,
  createRequest,
  createRouters,
  findRules,
} from "./judge_fixtures.ts";
import { minBusyMs } from "./loop_clock.ts";
import {
  type Arrival,
  bounds,
  type CallerRequest,
  type CallerResult,
  type Observations,
  type SoakRouteKind,
} from "./observations.ts";

/** How one request was cut off. */
interface CutCase {
  readonly kind?: SoakRouteKind;
  readonly result?: Partial<CallerResult>;
  readonly request?: Partial<CallerRequest>;
  readonly run?: Partial<Arrival>;
  readonly seen?: Partial<Observations>;
}

/** Judges requests that are all cut off in the same way. */
function findCut(
  { kind = "resumable", result, request, run, seen }: CutCase,
  count = 1,
): readonly string[] {
  const requests = Array.from({ length: count }, (_, index) => ({
    ...createRequest(kind, { body: "", isComplete: false, ...result }, {
      id: `q${index}`,
    }),
    ...request,
  }));
  const arrivals = requests.map(({ id }) =>
    createArrival({
      ...{ requestId: id, completedAt: undefined, closedAt: calmAt + 30 },
      ...run,
    })
  );
  return findRules({ requests, arrivals, ...seen })
    .filter((rule) => rule === "LOST");
}

/** A router that got SIGTERM some time before the request is cut off. */
function createStop(beforeMs: number): Partial<Observations> {
  return { routers: createRouters("stop", calmAt + 30 - beforeMs) };
}

describe("the judge of losses", () => {
  describe("around a stop", () => {
    const stopped = createStop(4_000);

    it.each<SoakRouteKind>(["safe", "unsafe", "stream", "resumable"])(
      "finds a %s request that was cut off",
      (kind) => {
        expect(findCut({ kind, seen: stopped })).toEqual(["LOST"]);
      },
    );

    it.each<[string, CutCase]>([
      ["its target broke off", { run: { brokeOff: true } }],
      ["its target failed", {
        run: { status: 503, completedAt: calmAt + 20, closedAt: undefined },
      }],
      ["its target named no request", {
        run: { kind: "not_run", brokeOff: true },
        result: { endedAt: calmAt + 500 },
      }],
      ["its deadline was reached", { request: { deadlineMs: 70 } }],
      ["the caller gave up", { result: { gaveUp: true } }],
      ["the caller left", {
        request: { leavesAfter: 2 },
        result: { body: "id: 2\n" },
      }],
    ])("allows it where %s", (_, changes) => {
      expect(findCut({ ...changes, seen: stopped })).toEqual([]);
    });

    it("allows a deadline, also that of a route, and no earlier end", () => {
      const at = (endedAt: number) =>
        findCut({
          result: { endedAt: calmAt + endedAt },
          request: { deadlineMs: 30_000 },
          seen: { routers: createRouters("stop", calmAt) },
        });
      expect(at(3_900)).toEqual(["LOST"]);
      expect(at(3_960)).toEqual([]);
    });

    it("allows the end of the grace period for what was sent early", () => {
      const find = (workedMs: number, sentAfterMs = 0) =>
        findCut({
          request: {
            ...{ prefix: "/long-a/", deadlineMs: 12_000 },
            sentAt: calmAt + sentAfterMs,
          },
          result: { endedAt: calmAt + 7_600 },
          run: { closedAt: calmAt + workedMs },
          seen: { routers: createRouters("stop", calmAt) },
        });
      expect(find(7_600)).toEqual([]);
      expect(find(7_600, 3_100)).toEqual(["LOST"]);
      // The router gave it up before and closed the connection later.
      expect(find(5_900)).toEqual(["LOST"]);
    });

    it("excuses unplanned work, and the store's for streams only", () => {
      const { routers = [] } = stopped;
      const [{ spans = [] } = {}] = routers;
      const at = calmAt - 2_900;
      const frozen = [...spans, { kind: "freeze", from: at, to: at }] as const;
      const seen = { routers: [{ id: "r0", spans: frozen, reloads: [] }] };
      expect(findCut({ seen })).toEqual([]);
      const storeSpans = [{ from: at, to: at }];
      expect(findCut({ seen: { ...stopped, storeSpans } })).toEqual([]);
      expect(findCut({ kind: "safe", seen: { ...stopped, storeSpans } }))
        .toEqual(["LOST"]);
    });

    it("excuses the start after a kill, but not that after a stop", () => {
      const find = (kind: "stop" | "kill") => {
        const spans = ([
          ...[["start", 0], [kind, 10_000], ["exit", calmAt - 2_000]] as const,
          ...[["start", calmAt - 1_000], ["stop", calmAt + 10]] as const,
        ] as const).map(([name, from]) => ({ kind: name, from, to: from }));
        return findCut({
          seen: { routers: [{ id: "r0", spans, reloads: [] }] },
        });
      };
      expect(find("stop")).toEqual(["LOST"]);
      expect(find("kill")).toEqual([]);
    });

    it("finds what was read and held, but not what crossed the close", () => {
      const find = (endedAt: number) =>
        findCut({
          run: { kind: "not_run" },
          result: { status: undefined, endedAt: calmAt + endedAt },
          seen: { routers: createRouters("stop", calmAt) },
        });
      expect(find(bounds.lossSlackMs + 1)).toEqual(["LOST"]);
      expect(find(bounds.lossSlackMs)).toEqual([]);
    });
  });

  it("finds what is cut off after a SIGHUP, for a time", () => {
    const { spans = [] } = createRouters("start", 0)[0] ?? {};
    const find = (at: number) =>
      findCut({
        kind: "safe",
        seen: { routers: [{ id: "r0", spans, reloads: [at] }] },
      });
    expect(find(calmAt - bounds.configApplyMs)).toEqual(["LOST"]);
    expect(find(calmAt - bounds.configApplyMs - 1)).toEqual([]);
    expect(find(calmAt + 31)).toEqual([]);
  });

  it("judges by the target that works last, not by one that failed", () => {
    const find = (closedAt: number) => {
      const request = createRequest("resumable", {
        ...{ body: "", isComplete: false, endedAt: calmAt + 600 },
      });
      const arrivals = [
        createArrival({ completedAt: undefined, closedAt }),
        createArrival({ life: "t1#1", at: calmAt + 100, status: 503 }),
      ];
      return findRules({ requests: [request], arrivals })
        .filter((rule) => rule === "LOST");
    };
    expect(find(calmAt + 500)).toEqual(["LOST"]);
    expect(find(calmAt + 105)).toEqual([]);
  });

  describe("at any time", () => {
    const frozen = { routers: createRouters("freeze", calmAt - 100) };

    it("finds a stream that was cut off at a calm router", () => {
      expect(findCut({})).toEqual(["LOST"]);
      expect(findCut({ seen: frozen })).toEqual([]);
      const starved = [{ from: calmAt - 100, to: calmAt }];
      const waiting = createRouters("start", 0)
        .map((router) => ({ ...router, starved }));
      expect(findCut({ seen: { routers: waiting } })).toEqual([]);
      expect(findCut({ run: { brokeOff: true } })).toEqual([]);
    });

    it("allows the deadline as a busy router counts it", () => {
      const at = (endedAt: number) =>
        findCut({ result: { endedAt: calmAt + endedAt } });
      expect(at(2_740)).toEqual(["LOST"]);
      expect(at(2_760)).toEqual([]);
    });

    it("finds the fourth kept connection without an answer", () => {
      const closed = { kind: "safe", result: { status: undefined } } as const;
      expect(findCut(closed, 3)).toEqual([]);
      expect(findCut(closed, 4)).toHaveLength(4);
      expect(findCut({ ...closed, seen: frozen }, 4)).toEqual([]);
      const isNew = { status: undefined, connection: "new" } as const;
      expect(findCut({ ...closed, result: isNew }, 4)).toEqual([]);
    });
  });
});

describe("the judge of overlaps", () => {
  /** Judges a request that goes on at another target. */
  function findOverlap(
    first: Partial<Arrival>,
    seen: Partial<Observations> = {},
  ): readonly string[] {
    const at = calmAt + 1_500;
    return findRules({
      requests: [createRequest("safe")],
      arrivals: [
        createArrival({ completedAt: undefined, ...first }),
        createArrival({ life: "t1#1", at }),
      ],
      ...seen,
    });
  }
  const boundAt = calmAt + 1_500 + bounds.overlapMs + minBusyMs;

  it("finds a target that works on after the bound", () => {
    expect(findOverlap({ closedAt: boundAt + 1 })).toEqual(["TWICE"]);
    expect(findOverlap({ completedAt: boundAt + 1 })).toEqual(["TWICE"]);
    expect(findOverlap({})).toEqual(["TWICE"]);
  });

  it.each<[string, Partial<Arrival>]>([
    ["whose connection closed in time", { closedAt: boundAt }],
    ["that completed in time", { completedAt: boundAt }],
    ["that broke off", { brokeOff: true }],
    ["that did not run it", { kind: "not_run" }],
  ])("allows a target %s", (_, first) => {
    expect(findOverlap(first)).toEqual([]);
  });

  it("excuses a router that was frozen or had no processor", () => {
    const routers = createRouters("freeze", calmAt + 1_600);
    expect(findOverlap({}, { routers })).toEqual([]);
    const starved = [{ from: calmAt + 1_600, to: calmAt + 1_700 }];
    const waiting = createRouters("start", 0)
      .map((router) => ({ ...router, starved }));
    expect(findOverlap({}, { routers: waiting })).toEqual([]);
  });

  it("judges no times that the observer saw late", () => {
    const find = (from: number) =>
      findOverlap({}, { busySpans: [{ from, to: from + 60 }] });
    expect(find(calmAt + 1_600)).toEqual([]);
    expect(find(calmAt + 1_000)).toEqual(["TWICE"]);
  });
});
