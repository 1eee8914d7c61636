import {
  createRequest,
  createRoute,
  createTarget,
} from "../../../../test/support/direct.ts";
import { createSilentLog } from "../../telemetry/log.ts";
import { createMetrics } from "../../telemetry/metrics.ts";
import { createQuarantine, type Quarantine } from "./quarantine.ts";
import { getCrashKeys, getFingerprint } from "./crash_keys.ts";

const route = createRoute();
const request = createRequest(route, { path: "/draft/1" });
const keys = getCrashKeys(request);
const otherKeys = getCrashKeys(createRequest(route, { path: "/draft/2" }));

/** Time from the last crash to the first trial, in milliseconds. */
const firstTrialMs = 5_000;

describe("what crashes the targets that run it", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  let crashes = 0;

  function createRouter(
    options: {
      readonly tryGetTrialDelayMs?: () => number | undefined;
      readonly announce?: () => void;
    } = {},
  ): Quarantine {
    return createQuarantine({
      log: createSilentLog(),
      metrics: createMetrics(),
      tryGetTrialDelayMs: options.tryGetTrialDelayMs ?? (() => 0),
      announce: options.announce ?? (() => undefined),
    });
  }

  /** Crashes so many further targets while the request is in flight. */
  function crash(router: Quarantine, count: number, crashed = keys): void {
    for (let index = 0; index < count; index++) {
      router.recordCrash(crashed, createTarget(`t${++crashes}`), sentNow());
    }
  }

  function sentNow() {
    return { hasResponseBegun: false, sentAt: performance.now(), losses: 1 };
  }

  function createQuarantined(): Quarantine {
    const router = createRouter();
    crash(router, 3);
    return router;
  }

  // What no peer had heard of stayed when another router saw the response.
  it("is forgotten at a response elsewhere that withdraws a loss only", () => {
    const router = createRouter();
    const fingerprint = getFingerprint(request);
    const begun = () => ({ ...sentNow(), hasResponseBegun: true });
    router.recordCrash(keys, createTarget("a"), begun());
    expect(router.takeRecords()).toEqual([]);
    router.recordPeerResponse(fingerprint);
    expect(router.mayStaySaved(keys[0]?.id ?? "")).toBe(false);
    crash(router, 1);
    router.recordPeerResponse(fingerprint);
    expect(router.mayStaySaved(keys[0]?.id ?? "")).toBe(true);
  });

  describe("is quarantined", () => {
    it("after three crashes, and nothing else is", () => {
      const router = createRouter();
      crash(router, 2);
      expect(router.tryGetRefusal(keys)).toBeUndefined();
      crash(router, 1);
      expect(router.tryGetRefusal(keys)).toMatchObject({
        key: { kind: "request", label: "GET /draft/1" },
        crashes: 3,
        retryAfterMs: firstTrialMs,
      });
      expect(router.tryGetRefusal(otherKeys)).toBeUndefined();
    });

    it("not after one crash that is seen three times", () => {
      const router = createRouter();
      const target = createTarget("a");
      for (let seen = 0; seen < 3; seen++) {
        router.recordCrash(keys, target, sentNow());
      }
      expect(router.tryGetRefusal(keys)).toBeUndefined();
    });

    it("after crashes of three processes of one target", () => {
      const router = createRouter();
      for (const startedAtMs of [1, 2, 3]) {
        const target = createTarget("a", { startedAtMs });
        router.recordCrash(keys, target, sentNow());
      }
      expect(router.tryGetRefusal(keys)).toBeDefined();
    });

    it("not after crashes of targets that it was sent to before", () => {
      const routers = [createRouter(), createRouter(), createRouter()];
      const sent = sentNow();
      jest.advanceTimersByTime(50);
      // All targets lose power, and each router had the request at three.
      for (let index = 0; index < 9; index++) {
        const target = createTarget(`t${++crashes}`);
        routers[index % 3]?.recordCrash(keys, target, sent);
        jest.advanceTimersByTime(1);
      }
      for (let round = 0; round < 3; round++) exchange(routers);
      for (const router of routers) {
        expect(router.tryGetRefusal(keys)).toBeUndefined();
      }
    });

    it("not when a target has responded in between", () => {
      const router = createRouter();
      crash(router, 2);
      router.recordResponse(keys);
      crash(router, 2);
      expect(router.tryGetRefusal(keys)).toBeUndefined();
    });

    it("without blame on what only was in flight beside it", () => {
      const router = createQuarantined();
      crash(router, 3, [...keys, ...otherKeys]);
      expect(router.tryGetRefusal(otherKeys)).toBeUndefined();
    });
  });

  describe("is tried again", () => {
    it("by one request, when the first delay is over", () => {
      const router = createQuarantined();
      expect(router.tryStartTrial(keys)).toBe(false);
      jest.advanceTimersByTime(firstTrialMs);
      expect(router.isTrialDue(keys)).toBe(true);
      expect(router.tryStartTrial(keys)).toBe(true);
      expect(router.tryStartTrial(keys)).toBe(false);
      expect(router.tryGetRefusal(keys)).toBeDefined();
    });

    it("more and more seldom while targets crash at it", () => {
      const router = createQuarantined();
      let trials = 0;
      for (let second = 0; second < 60; second++) {
        jest.advanceTimersByTime(1_000);
        if (!router.tryStartTrial(keys)) continue;
        trials++;
        crash(router, 1);
      }
      // After 5 and 25 s.
      expect(trials).toBe(2);
    });

    it("soon when a trial had no result", () => {
      const router = createQuarantined();
      jest.advanceTimersByTime(firstTrialMs);
      expect(router.tryStartTrial(keys)).toBe(true);
      router.releaseTrial(keys);
      jest.advanceTimersByTime(1_000);
      expect(router.tryStartTrial(keys)).toBe(true);
    });

    it("by no router without contact to its peers", () => {
      const router = createRouter({ tryGetTrialDelayMs: () => undefined });
      crash(router, 3);
      jest.advanceTimersByTime(60_000);
      expect(router.tryStartTrial(keys)).toBe(false);
    });

    it("by one router of the fleet", () => {
      const routers: Quarantine[] = [0, 250, 500].map((delayMs) =>
        createRouter({
          tryGetTrialDelayMs: () => delayMs,
          announce: () => setTimeout(() => exchange(routers), 5),
        })
      );
      const [first] = routers as [Quarantine];
      crash(first, 3);
      exchange(routers);
      let trials = 0;
      for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 10) {
        jest.advanceTimersByTime(10);
        trials += routers.filter((router) => router.tryStartTrial(keys)).length;
      }
      expect(trials).toBe(1);
    });
  });

  describe("is released", () => {
    it("at any router once a target has responded to a trial", () => {
      const routers = [createRouter(), createRouter()];
      const [first, second] = routers as [Quarantine, Quarantine];
      crash(first, 3);
      exchange(routers);
      jest.advanceTimersByTime(firstTrialMs);
      expect(second.tryStartTrial(keys)).toBe(true);
      second.recordResponse(keys);
      exchange(routers);
      expect(first.tryGetRefusal(keys)).toBeUndefined();
      expect(second.tryGetRefusal(keys)).toBeUndefined();
      expect(first.getAll()).toEqual([]);
    });

    it("when no target has crashed at it for a long time", () => {
      const router = createQuarantined();
      jest.advanceTimersByTime(20 * 60_000 + 1);
      expect(router.tryGetRefusal(keys)).toBeUndefined();
      expect(router.hasEvidence()).toBe(false);
    });
  });

  describe("and is one of several parts of a prompt", () => {
    const first = createPrompted("first", "second", "own-1");
    const crashing = createPrompted("first", "second", "bad", "own-2");
    const later = createPrompted("first", "second", "bad", "own-3");

    function createPrompted(...ids: readonly string[]) {
      return getCrashKeys(createRequest(route, {
        path: `/draft/${ids.at(-1)}`,
        prompt: {
          ...{ model: "m", promptTokens: 400, maxOutputTokens: 80 },
          parts: ids.map((id) => ({ id, tokens: 100 })),
          hintedOutputTokens: undefined,
        },
      }));
    }

    it("is told from its neighbours by their responses", () => {
      const router = createRouter();
      for (let count = 0; count < 3; count++) {
        crash(router, 1, crashing);
        router.recordResponse(first);
      }
      expect(router.tryGetRefusal(first)).toBeUndefined();
      expect(router.tryGetRefusal(later)).toMatchObject({
        key: { kind: "part", label: "bad" },
      });
    });

    it("is told at once from those that were at all its crashes", () => {
      const router = createRouter();
      crash(router, 3, crashing);
      expect(router.isTrialDue(later)).toBe(false);
      expect(router.tryStartTrial(first)).toBe(true);
      expect(router.tryStartTrial(first)).toBe(false);
      router.recordResponse(first);
      expect(router.tryGetRefusal(first)).toBeUndefined();
      expect(router.tryGetRefusal(later)).toBeDefined();
    });

    it("is not the last one, which belongs to its request", () => {
      expect(first.map(({ kind }) => kind))
        .toEqual(["request", "variant", "part", "part"]);
      expect(first.map(({ id }) => id).slice(2))
        .toEqual(["part:first", "part:second"]);
    });

    it("has a key of bounded length", () => {
      const [, , part] = createPrompted("x".repeat(10_000), "own");
      expect(part?.id).toHaveLength("part:".length + 16);
      expect(part?.label).toHaveLength(120);
    });
  });

  describe("is known", () => {
    it("to the fleet when each router has seen one crash", () => {
      const routers = [createRouter(), createRouter(), createRouter()];
      for (const router of routers) {
        crash(router, 1);
        exchange(routers);
      }
      for (const router of routers) {
        expect(router.tryGetRefusal(keys)).toBeDefined();
      }
    });

    it("to a router that starts long after all reports", () => {
      const routers = [createRouter(), createRouter()];
      crash(routers[0] as Quarantine, 3);
      for (let round = 0; round < 5; round++) exchange(routers);
      jest.advanceTimersByTime(60_000);
      const started = createRouter();
      exchange([...routers, started]);
      expect(started.tryGetRefusal(keys)).toBeDefined();
    });

    it("to a router that was cut off and reports what was withdrawn", () => {
      const routers = [createRouter(), createRouter()];
      const [first, cutOff] = routers as [Quarantine, Quarantine];
      crash(first, 3);
      exchange(routers);
      first.recordResponse(keys);
      first.takeRecords();
      first.takeRecords();
      // It hears of the response only as its own record is outdated.
      exchange(routers);
      exchange(routers);
      expect(cutOff.tryGetRefusal(keys)).toBeUndefined();
    });

    it("with a bound on memory and messages, and outlasts other records", () => {
      const router = createQuarantined();
      for (let index = 0; index < 6_000; index++) {
        const path = `/draft/many/${index}`;
        crash(router, 1, getCrashKeys(createRequest(route, { path })));
      }
      expect(router.tryGetRefusal(keys)).toBeDefined();
      expect(router.takeRecords().length).toBeLessThanOrEqual(7);
      let records = 0;
      while (router.hasChanges()) records += router.takeRecords().length;
      expect(records).toBeLessThan(4_096);
    });
  });

  describe("in the replay of one that comes each second at any router", () => {
    it("is sent on and on when nothing is shared", () => {
      expect(replay({ isShared: false })).toBeGreaterThan(3);
    });

    it("is sent three times at most long after the third crash", () => {
      expect(replay({ isShared: true })).toBeLessThanOrEqual(3);
    });
  });

  /**
   * Sends a request that crashes each target to seven routers in turn for a
   * minute; returns the sends long after the third crash.
   */
  function replay({ isShared }: { readonly isShared: boolean }): number {
    const contactMs = 3_000;
    const routers: Quarantine[] = Array.from(
      { length: 7 },
      (_, rank) => createRouter({ tryGetTrialDelayMs: () => rank * 250 }),
    );
    let sends = 0;
    let lateSends = 0;
    let thirdCrashAt = Number.POSITIVE_INFINITY;
    for (let second = 0; second < 60; second++) {
      const router = routers[second % routers.length] as Quarantine;
      if (
        router.tryGetRefusal(keys) === undefined || router.tryStartTrial(keys)
      ) {
        crash(router, 1);
        sends++;
        if (sends === 3) thirdCrashAt = performance.now();
        if (performance.now() > thirdCrashAt + contactMs) lateSends++;
      }
      if (isShared) exchange(routers);
      jest.advanceTimersByTime(1_000);
    }
    return lateSends;
  }
});

/** Lets each router send one digest to all others. */
function exchange(routers: readonly Quarantine[]): void {
  for (const sender of routers) {
    const records = sender.takeRecords();
    routers
      .filter((router) => router !== sender)
      .forEach((router) => records.forEach(router.merge));
  }
}
