import {
  loadPlacementHost,
  type PlacementHost,
} from "../../src/process/placement/placement.ts";
import { createArrivals, type LoadPattern } from "./arrivals.ts";
import { type Policy, replay, type ReplayResult } from "./fleet.ts";

const seed = 7;
const lengthMs = 12_000;
const routers = 5;
const engines = 6;

describe("a replayed load", () => {
  let placementHost: PlacementHost;
  const results = new Map<string, ReplayResult>();

  beforeAll(async () => {
    placementHost = await loadPlacementHost();
  });
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  async function run(
    pattern: LoadPattern,
    policy: Policy,
  ): Promise<ReplayResult> {
    const key = `${pattern} ${policy}`;
    const cached = results.get(key);
    if (cached !== undefined) return cached;
    const result = await replay(
      createArrivals(pattern, { seed, lengthMs, routers }),
      {
        ...{ policy, pattern, engines, routers, placementHost },
        advance: (ms) => jest.advanceTimersByTimeAsync(ms),
      },
    );
    results.set(key, result);
    return result;
  }

  for (const pattern of ["calm", "hot_part", "burst"] as const) {
    describe(`of the pattern ${pattern}`, () => {
      it("repeats under a quarter of what rank placement repeats", async () => {
        const product = await run(pattern, "product");
        const rank = await run(pattern, "rank");
        expect(product.repeatedPrefillTokens)
          .toBeLessThan(rank.repeatedPrefillTokens / 4);
      });

      it("balances requests and keeps to the load bound", async () => {
        const product = await run(pattern, "product");
        expect(product.maxRequestsOverMean).toBeLessThan(1.3);
        expect(product.maxLoadMultiple).toBeLessThanOrEqual(2);
      });
    });
  }

  describe("while parts are being prefilled", () => {
    it("repeats less prefill than without waiting", async () => {
      const product = await run("hot_part", "product");
      const withoutWait = await run("hot_part", "no_wait");
      expect(product.repeatedPrefillTokens).toBeLessThan(
        withoutWait.repeatedPrefillTokens,
      );
      expect(product.onTimeShare).toBeGreaterThanOrEqual(
        withoutWait.onTimeShare,
      );
    });
  });

  describe("with a crash", () => {
    it("fails only requests that ran on the crashed engine", async () => {
      const product = await run("crash", "product");
      expect(product.failed).toBeLessThan(product.requests * 0.02);
    });
  });
});
