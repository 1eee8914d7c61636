import {
  calmAt,
  createArrival,
  createRequest,
  createRouters,
  createVersion,
  findRules,
  life,
} from "./judge_fixtures.ts";
import {
  type Arrival,
  bounds,
  type CallerRequest,
  type CallerResult,
  type Observations,
  type SoakRouteKind,
} from "./observations.ts";

function createEvent(id: number, run = life): string {
  return `id: ${id}\ndata: q ${run} ${id}/2\n\n`;
}

describe("the judge of a soak", () => {
  describe("of targets that limit their requests", () => {
    const limits = [{ life, perS: 2, from: 0, to: Infinity }];
    const limitNotices = [{ router: "r0", life, at: calmAt - 500 }];

    /** Judges as many arrivals within the window as are allowed, and one. */
    function findLimits(seen: Partial<Observations> = {}): readonly string[] {
      const arrivals = Array.from(
        { length: 18 },
        (_, index) => createArrival({ at: calmAt + index }),
      );
      const requests: readonly CallerRequest[] = [];
      const more = { requests, arrivals, limits, limitNotices, ...seen };
      return findRules(more).filter((rule) => rule === "LIMIT");
    }

    it("finds more arrivals than it takes", () => {
      expect(findLimits()).toEqual(["LIMIT"]);
    });

    it.each<[string, Partial<Observations>]>([
      ["of a router that was not told", { limitNotices: [] }],
      ["of one that was told a moment ago", {
        limitNotices: [{ router: "r0", life, at: calmAt }],
      }],
      ["of one that was frozen", { routers: createRouters("freeze", calmAt) }],
      ["soon after it named the limit", {
        limits: [{ life, perS: 2, from: calmAt - 100, to: Infinity }],
      }],
      ["within the limit", {
        limits: [{ life, perS: 2.2, from: 0, to: Infinity }],
      }],
    ])("accepts arrivals %s", (_, seen) => {
      expect(findLimits(seen)).toEqual([]);
    });
  });

  it("accepts a whole answer of one run", () => {
    expect(findRules({ requests: [createRequest("unsafe")] })).toEqual([]);
  });

  describe("of streams that callers take up", () => {
    const lives = ["v1", "v1.1", "v1"].map((version, index) => ({
      ...{ life: `t${index}#1`, service: "a", version },
      ...{ from: 0, to: Infinity },
    }));

    /** Creates a stream of which each request got events of one process. */
    function createStream(...eventLives: readonly string[]) {
      return eventLives.map((eventLife, index) => ({
        ...createRequest("resumable", {
          body: `id: ${index + 1}\ndata: q${index} ${eventLife} ${
            index + 1
          }/9\n\n`,
          isComplete: false,
        }, { id: `q${index}` }),
        ...(index > 0 ? { resumes: "q0", lastEventId: index } : {}),
      }));
    }

    function findVersionRules(requests: readonly CallerRequest[]) {
      return findRules({ requests, lives, arrivals: [] });
    }

    it("finds events of two versions", () => {
      expect(findVersionRules(createStream("t0#1", "t1#1"))).toEqual(["ORDER"]);
      expect(findVersionRules(createStream("t0#1", "t2#1"))).toEqual([]);
    });

    it("finds that too few go on", () => {
      const begun = Array.from({ length: 12 }, () => createStream("t0#1"));
      const takenUp = Array.from({ length: 12 }, () => ({
        ...createRequest("resumable", { status: 502, signature: undefined }, {
          id: "again",
        }),
        resumes: "q0",
      }));
      expect(findVersionRules([...begun.flat(), ...takenUp])).toEqual(["LOST"]);
      const goingOn = Array.from(
        { length: 12 },
        () => createStream("t0#1", "t2#1")[1] as CallerRequest,
      );
      expect(findVersionRules([...begun.flat(), ...takenUp, ...goingOn]))
        .toEqual([]);
    });
  });

  describe("of what callers got", () => {
    it.each([408, 421, 429, 503])("finds work refused with %d", (status) => {
      const find = (kind: SoakRouteKind) =>
        findRules({
          requests: [createRequest(kind, { status })],
          arrivals: [createArrival({ status })],
        });
      expect(find("stream")).toEqual(["REFUSED"]);
      expect(find("safe")).toEqual([]);
    });

    it("finds a target that got another body", () => {
      const arrivals = [createArrival({ hasOtherBody: true })];
      expect(findRules({ arrivals })).toEqual(["UNASKED"]);
    });

    it("finds work that ran twice, also late", () => {
      const late = createArrival({ at: calmAt + 9_000 });
      const requests = [createRequest("unsafe")];
      expect(findRules({ requests, arrivals: [createArrival(), late] }))
        .toEqual(["TWICE"]);
    });

    it.each<[string, Partial<CallerResult>]>([
      ["another body", { body: "other" }],
      ["a part of the body", { body: "whol" }],
      ["no signature", { signature: undefined }],
      ["another id", { responseId: "p" }],
      ["a failure that the target did not give", { status: 500 }],
    ])("finds %s", (_, result) => {
      expect(findRules({ requests: [createRequest("safe", result)] }))
        .toEqual(["MIXED"]);
    });

    it.each<[string, string, number, readonly string[]]>([
      ["a missing event", createEvent(2), 0, ["ORDER"]],
      ["a doubled event", createEvent(1).repeat(2), 0, ["ORDER"]],
      ["an early end", createEvent(1), 0, ["ORDER"]],
      ["runs", createEvent(1) + createEvent(2, "t1#1"), 0, ["ORDER"]],
      ["no resumption", createEvent(1) + createEvent(2, "t1#1"), 1, []],
    ])("finds %s in a stream", (_, body, lastEventId, rules) => {
      const second = createArrival({ life: "t1#1", lastEventId });
      expect(findRules({
        requests: [createRequest("resumable", { body })],
        arrivals: [createArrival(), second],
      })).toEqual(rules);
    });

    it("finds what a stop cuts off, but not what its target broke off", () => {
      const requests = [createRequest("safe", { isComplete: false })];
      const routers = createRouters("stop", calmAt - 100);
      expect(findRules({ requests, routers })).toEqual(["LOST"]);
      const arrivals = [createArrival({ brokeOff: true })];
      expect(findRules({ requests, routers, arrivals })).toEqual([]);
    });
  });

  describe("of leaving targets", () => {
    const createLeave = (at: number) =>
      [{ targetId: "t0", life, at, state: "gone" }] as const;

    it("finds a request after the bound, from the acknowledgement on", () => {
      const find = (at: number) => findRules({ entries: createLeave(at) });
      expect(find(calmAt - bounds.drainMs)).toEqual(["DRAIN"]);
      expect(find(calmAt - bounds.drainMs + 10)).toEqual([]);
    });

    it("excuses routers that are not in touch and an unstable store", () => {
      const entries = createLeave(calmAt - 2_500);
      const at = calmAt - 2_900;
      const routers = createRouters("freeze", at);
      expect(findRules({ entries, routers })).toEqual([]);
      const storeSpans = [{ from: at, to: at }];
      expect(findRules({ entries, storeSpans })).toEqual([]);
    });

    it("binds a router by what it passed on, whatever the store does", () => {
      const told = { id: "p", sentAt: calmAt - 2_100 };
      const seen = {
        requests: [
          createRequest("safe", { isLeaving: true }, told),
          createRequest("safe"),
        ],
        arrivals: [
          createArrival({ requestId: "p", at: told.sentAt + 10 }),
          createArrival(),
        ],
        storeSpans: [{ from: calmAt - 2_000, to: calmAt }],
      };
      expect(findRules(seen)).toEqual(["DRAIN"]);
      const routers = createRouters("freeze", calmAt - 1_000);
      expect(findRules({ ...seen, routers })).toEqual([]);
    });
  });

  describe("of budgets", () => {
    it("finds the third arrival in a pause, but not around a freeze", () => {
      const pauses = [{ router: "r0", life, at: calmAt, pauseMs: 2_000 }];
      const arrivals = [600, 900, 1_900].map((ms) =>
        createArrival({ requestId: `q${ms}`, at: calmAt + ms })
      );
      const seen = { requests: [], pauses, arrivals };
      expect(findRules(seen)).toEqual(["BUDGET"]);
      expect(findRules({ ...seen, arrivals: arrivals.slice(1) })).toEqual([]);
      const routers = createRouters("freeze", calmAt + 100);
      expect(findRules({ ...seen, routers })).toEqual([]);
    });

    it("finds repeats beyond ratio and slack", () => {
      const arrivals = Array.from(
        { length: bounds.retrySlack + 2 },
        () => createArrival({ kind: "not_run" }),
      );
      expect(findRules({ requests: [], arrivals })).toEqual(["BUDGET"]);
      expect(findRules({ requests: [], arrivals: arrivals.slice(1) }))
        .toEqual([]);
    });
  });

  describe("of configurations", () => {
    const createVersions = (at: number) => [
      createVersion(1, { at: 0, service: "a" }),
      createVersion(2, { at, service: "b" }),
    ];

    it("finds a request that only an outdated version allows", () => {
      const versions = createVersions(calmAt - bounds.configApplyMs - 1);
      expect(findRules({ versions })).toEqual(["CONFIG"]);
      const routers = createRouters("freeze", calmAt - 2_900);
      expect(findRules({ versions, routers })).toEqual([]);
      const recent = createVersions(calmAt - bounds.configApplyMs + 1);
      expect(findRules({ versions: recent })).toEqual([]);
    });

    it("finds a router that goes back, also out of touch", () => {
      const shown = { id: "p", sentAt: calmAt - 300 };
      const at = shown.sentAt + 10;
      expect(findRules({
        requests: [createRequest("safe", {}, shown), createRequest("safe")],
        arrivals: [
          createArrival({ requestId: "p", service: "b", at }),
          createArrival(),
        ],
        versions: createVersions(calmAt - 1_000),
        storeSpans: [{ from: calmAt - 500, to: calmAt }],
      })).toEqual(["CONFIG"]);
    });
  });

  describe("of what crashes targets", () => {
    const causes = ["request", "part"] as const;

    /** Creates arrivals that crash a target each, one in a second. */
    function createCrashes(
      count: number,
      cause: "request" | "part",
    ): readonly Arrival[] {
      return Array.from({ length: count }, (_, index) =>
        createArrival({
          ...{ requestId: `q${index}`, life: `t${index}#1`, cause },
          ...{ at: calmAt + index * 1_000, brokeOff: true, status: undefined },
        }));
    }

    function findCrashRules(
      arrivals: readonly Arrival[],
      routers = createRouters("start", 0),
    ): readonly string[] {
      return findRules({ requests: [], arrivals, routers })
        .filter((rule) => rule === "BUDGET");
    }

    it.each(causes)("finds a %s that is sent on and on", (cause) => {
      expect(findCrashRules(createCrashes(14, cause))).toEqual(["BUDGET"]);
    });

    it.each(causes)("allows three late sends of a %s", (cause) => {
      const known = { request: 3, part: 5 }[cause];
      // The crash that makes it known, three seconds, and three late ones.
      const count = known + bounds.contactMs / 1_000 + 3;
      expect(findCrashRules(createCrashes(count, cause))).toEqual([]);
      expect(findCrashRules(createCrashes(count + 1, cause)))
        .toEqual(["BUDGET"]);
    });

    it("excuses a router that has just started", () => {
      const arrivals = createCrashes(14, "request")
        .filter(({ at }) => at < calmAt + 8_000);
      const routers = createRouters("start", calmAt + 7_000);
      expect(findCrashRules(arrivals, routers)).toEqual([]);
    });

    it("finds sound requests that are no longer sent", () => {
      const crashes = createCrashes(5, "part");
      const requests = Array.from({ length: 80 }, (_, index) => ({
        ...createRequest("safe", { status: 503 }, {
          id: `s${index}`,
          sentAt: calmAt + (index < 40 ? -2_000 : 15_000) + index,
        }),
        parts: ["shared", "own"],
      }));
      const arrivals = requests.slice(0, 40).map(({ id, sentAt }) =>
        createArrival({ requestId: id, at: sentAt })
      );
      const found = findRules({
        requests,
        arrivals: [...arrivals, ...crashes],
      });
      expect(found.filter((rule) => rule === "LOST")).toEqual(["LOST"]);
      const served = requests.map(({ id, sentAt }) =>
        createArrival({ requestId: id, at: sentAt })
      );
      expect(
        findRules({ requests, arrivals: [...served, ...crashes] })
          .filter((rule) => rule === "LOST"),
      ).toEqual([]);
    });
  });

  describe("of an evacuated zone", () => {
    function findEvacuation(from: number, seen: Partial<Observations> = {}) {
      const evacuations = [{ zone: "zone-a", from, to: calmAt + 5_000 }];
      return findRules({ evacuations, ...seen });
    }
    const begunAt = calmAt - bounds.evacuateMs;

    it("breaks EVAC with an arrival after the bound", () => {
      expect(findEvacuation(begunAt - 1)).toEqual(["EVAC"]);
    });

    it("breaks nothing before the bound, after the end or elsewhere", () => {
      expect(findEvacuation(begunAt + 10)).toEqual([]);
      const ended = [{ zone: "zone-a", from: 0, to: calmAt }];
      expect(findRules({ evacuations: ended })).toEqual([]);
      const arrivals = [createArrival({ zone: "zone-b" })];
      expect(findEvacuation(0, { arrivals })).toEqual([]);
    });

    it("breaks nothing by a router out of touch", () => {
      const routers = createRouters("cut", calmAt - 1_000);
      expect(findEvacuation(begunAt - 1, { routers })).toEqual([]);
    });

    it("breaks EVAC and DRAIN beside large values too", () => {
      const largeSpans = [{ from: 0, to: Infinity }];
      expect(findEvacuation(begunAt - 1, { largeSpans })).toEqual(["EVAC"]);
    });
  });
});
