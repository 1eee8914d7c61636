import { createRequest, createRoute } from "../../../../test/support/direct.ts";
import { createSilentLog } from "../../telemetry/log.ts";
import { type CrashSuspects, createCrashSuspects } from "./crash_suspects.ts";

const route = createRoute();
const request = createRequest(route, { path: "/draft/1" });

describe("requests that crash targets", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function createCrashed(crashes: number): CrashSuspects {
    const suspects = createCrashSuspects({
      log: createSilentLog(),
      handlePeerResponse: () => undefined,
      report: () => undefined,
    });
    for (let count = 0; count < crashes; count++) suspects.recordCrash(request);
    return suspects;
  }

  it("are retried until three targets were lost", () => {
    expect(createCrashed(0).canRetry(request)).toBe(true);
    expect(createCrashed(2).canRetry(request)).toBe(true);
    expect(createCrashed(3).canRetry(request)).toBe(false);
  });

  it("are told apart by caller, path and body", () => {
    const suspects = createCrashed(3);
    const again = createRequest(route, {
      requestId: "request-2",
      path: "/draft/1",
    });
    expect(suspects.canRetry(again)).toBe(false);
    for (
      const changes of [
        { path: "/draft/2" },
        { body: Buffer.from("other") },
        { holder: undefined },
      ]
    ) {
      expect(suspects.canRetry({ ...again, ...changes })).toBe(true);
    }
  });

  it("are no suspects once a target has responded to one", () => {
    const suspects = createCrashed(3);
    suspects.recordResponse(request);
    expect(suspects.canRetry(request)).toBe(true);
  });

  it("are logged once, however often they come", () => {
    const warnings: string[] = [];
    const suspects = createCrashSuspects({
      log: {
        ...createSilentLog(),
        warn: (message) => void warnings.push(message),
      },
      handlePeerResponse: () => undefined,
      report: () => undefined,
    });
    for (let count = 0; count < 9; count++) suspects.recordCrash(request);
    expect(warnings).toHaveLength(1);
  });

  it("are retried again when no target was lost for a long time", () => {
    const suspects = createCrashed(3);
    jest.advanceTimersByTime(10 * 60_000 + 1);
    expect(suspects.canRetry(request)).toBe(true);
  });

  it("are made known to a router that has just started", () => {
    const routers: CrashSuspects[] = [1, 2].map(() =>
      createCrashSuspects({
        log: createSilentLog(),
        handlePeerResponse: () => undefined,
        report: (record) => routers.forEach((router) => router.merge(record)),
      })
    );
    const [first, started] = routers as [CrashSuspects, CrashSuspects];
    for (let count = 0; count < 3; count++) first.recordCrash(request);
    const fresh = createCrashSuspects({
      log: createSilentLog(),
      handlePeerResponse: () => undefined,
      report: (record) => first.merge(record),
    });
    routers[1] = fresh;
    expect(started.canRetry(request)).toBe(false);
    expect(fresh.canRetry(request)).toBe(true);
    fresh.recordCrash(request);
    expect(fresh.canRetry(request)).toBe(false);
  });

  describe("in the replay of one that comes again at any router", () => {
    it("are retried each time when nothing is shared", () => {
      expect(replay({ isShared: false })).toBeGreaterThan(3);
    });

    it("are hardly retried after their third crash", () => {
      expect(replay({ isShared: true })).toBeLessThanOrEqual(3);
    });
  });
});

/** Time after the third crash from which retries are counted. */
const contactMs = 3_000;

/**
 * Sends a request that crashes each target to the routers in turn, twice at each
 * when it may be retried; returns the retries long after the third crash.
 */
function replay({ isShared }: { readonly isShared: boolean }): number {
  const routers: CrashSuspects[] = Array.from(
    { length: 7 },
    () =>
      createCrashSuspects({
        log: createSilentLog(),
        handlePeerResponse: () => undefined,
        report: (record) => {
          if (!isShared) return;
          setTimeout(
            () => routers.forEach((router) => router.merge(record)),
            100,
          );
        },
      }),
  );
  let crashes = 0;
  let lateRetries = 0;
  let thirdCrashAt = Number.POSITIVE_INFINITY;
  for (let attempt = 0; attempt < 14; attempt++) {
    const router = routers[attempt % routers.length];
    crash(router);
    if (router?.canRetry(request)) {
      if (performance.now() > thirdCrashAt + contactMs) lateRetries++;
      crash(router);
    }
    jest.advanceTimersByTime(2_000);
  }
  return lateRetries;

  function crash(router: CrashSuspects | undefined): void {
    router?.recordCrash(request);
    crashes++;
    if (crashes === 3) thirdCrashAt = performance.now();
  }
}
