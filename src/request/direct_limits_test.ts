import * as fc from "fast-check";
import { createEmulatedHost } from "../../test/emulator/emulated_host.ts";
import {
  createRequest,
  createRoute,
  createTarget,
  createTestLimits,
} from "../../test/support/direct.ts";
import {
  type Behaviour,
  createResponse,
  event,
  hang,
  run,
  stream,
} from "../../test/support/direct_runs.ts";
import { createCachedParts } from "../process/direct/placement/cached_parts.ts";
import { createPartPrefills } from "../process/direct/placement/part_prefills.ts";
import { createLoadView } from "../process/direct/targets/load_view.ts";
import { createTargetHealth } from "../process/direct/targets/target_health.ts";
import { createTargetTable } from "../process/direct/targets/target_table.ts";
import { createPlacement } from "../process/placement/placement.ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import type { DirectCall, DirectResult } from "../types/direct_calls.ts";
import { runDirect } from "./direct_run.ts";

/** What one target does, and whether it runs the request. */
const behaviours: Readonly<
  Record<string, { readonly respond: Behaviour; readonly runs: boolean }>
> = {
  hang: { respond: hang, runs: true },
  lost: { respond: () => ({ kind: "lost", reason: "reset" }), runs: true },
  spoiled: { respond: () => ({ kind: "spoiled", reason: "id" }), runs: true },
  error: { respond: () => createResponse(["no"], { status: 500 }), runs: true },
  unproved: {
    respond: () => createResponse(["later"], { status: 503 }),
    runs: true,
  },
  cut: {
    respond: () => stream(event(1), new Error("reset")),
    runs: true,
  },
  silentStream: { respond: respondThenHang, runs: true },
  cutBody: {
    respond: () => createResponse(["half", new Error("reset")]),
    runs: true,
  },
  refused: { respond: () => ({ kind: "refused", status: 503 }), runs: false },
  wrongTarget: {
    respond: () => ({ kind: "wrong_target", status: 421 }),
    runs: false,
  },
  notSent: {
    respond: () => ({ kind: "not_sent", reason: "refused" }),
    runs: false,
  },
  withheld: {
    respond: () => ({ kind: "withheld", hold: "busy" }),
    runs: false,
  },
};

const routes = fc.record({
  kind: fc.constantFrom("safe" as const, "unsafe" as const, "stream" as const),
  isResumable: fc.boolean(),
  maxTargets: fc.integer({ min: 1, max: 3 }),
  timeoutMs: fc.constantFrom(400, 2_000, 12_000),
});

const requests = fc.record({
  route: routes,
  names: fc.array(fc.constantFrom(...Object.keys(behaviours)), {
    minLength: 3,
    maxLength: 3,
  }),
  waitedMs: fc.constantFrom(0, 150),
});

/** Responds with one event and then with nothing until it is aborted. */
function respondThenHang(call: DirectCall): DirectResult {
  return {
    ...createResponse([], { isEventStream: true }),
    body: (async function* () {
      yield Buffer.from(event(1));
      await hang(call);
      throw new Error("aborted");
    })(),
  } as DirectResult;
}

describe("the limits of a request to targets", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("hold whatever its targets do", async () => {
    await fc.assert(
      fc.asyncProperty(requests, async ({ route, names, waitedMs }) => {
        const now = performance.now();
        const result = await run(
          createRoute(route),
          names.flatMap((name) => behaviours[name]?.respond ?? []),
          {
            request: {
              arrivedAt: now - waitedMs,
              deadlineAt: now - waitedMs + route.timeoutMs,
            },
          },
        );
        const mayRepeat = route.kind === "safe" ||
          (route.kind === "stream" && route.isResumable);
        const runs = names.slice(0, result.calls.length)
          .filter((name) => behaviours[name]?.runs).length;
        expect(runs).toBeLessThanOrEqual(mayRepeat ? route.maxTargets : 1);
        expect(new Set(result.targets).size).toBe(result.targets.length);
        result.calls.forEach(({ deadlineMs }, index) => {
          const endsAt = (result.sentAt[index] ?? 0) + deadlineMs;
          expect(endsAt).toBeLessThanOrEqual(route.timeoutMs - waitedMs);
        });
        expect(result.endedAtMs).toBeLessThanOrEqual(route.timeoutMs);
      }),
      { seed: 26, numRuns: 1_500 },
    );
  });

  // The permit was never given back, so that the target had one place less.
  it("count no attempt whose start throws", async () => {
    let taken = 0;
    const targets = createTargetTable();
    targets.put(createTarget("a"));
    const host = createEmulatedHost({
      ...{ targets, loads: createLoadView(), prefills: createPartPrefills() },
      cachedParts: createCachedParts(),
      placement: createPlacement({ hash: (key, seed) => key.length + seed }),
      calls: {
        send: () => Promise.resolve({ kind: "aborted" }),
        tryListCachedParts: () => Promise.resolve(undefined),
      },
      health: {
        ...createTargetHealth({ log: createSilentLog() }),
        recordSent: () => {
          throw new Error("unexpected");
        },
      },
      limits: {
        ...createTestLimits(),
        tryTake: () => {
          taken++;
          return { tryUse: () => true, release: () => void taken-- };
        },
      },
    });
    const running = runDirect(host, createRequest(createRoute()), {
      disconnectSignal: new AbortController().signal,
      start: () => undefined,
      write: () => undefined,
      end: () => undefined,
    });
    await expect(running).rejects.toThrow("unexpected");
    expect(taken).toBe(0);
  });
});
