import { createFakeTargets } from "../../test/fakes/fake_targets.ts";
import { createMemoryPlatform } from "../../test/fakes/memory_platform.ts";
import { createNaiveRouter } from "../../test/naive/router.ts";
import {
  createCaller,
  createRequestHost,
  createWork,
  type Libraries,
  service,
  type TestCaller,
} from "../../test/support/request_history.ts";
import { createAttemptNumbers } from "../process/attempts/attempt_numbers.ts";
import { loadBodyDigests } from "../process/attempts/body_digest.ts";
import { loadPlacementHost } from "../process/placement/placement.ts";
import { runRequest } from "./request_run.ts";

const ids = Array.from({ length: 9 }, (_, index) => `target-${index + 1}`);

/** Requests of one history, sent at a constant rate. */
const requests = 400;

/** Time between two requests, in milliseconds. */
const requestIntervalMs = 10;

/** Retries of the service as a fraction of first attempts. */
const retryBudget = 0.2;

/** Retries that the budget of a new router already allows. */
const initialCredit = 5;

/** Counts and callers of one history. */
interface Result {
  readonly runs: number;
  readonly messages: number;
  /** Sum over all requests of the number of targets that each request tried. */
  readonly targetAttempts: number;
  readonly callers: readonly TestCaller[];
  readonly done: number;
}

describe("retries", () => {
  let libraries: Libraries;

  beforeAll(async () => {
    libraries = {
      digests: await loadBodyDigests(),
      placement: await loadPlacementHost(),
    };
  });

  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  describe("when all targets fail", () => {
    it("stay within their budget", async () => {
      const { runs } = await run({ crashing: ids });
      expect(runs - requests).toBeLessThanOrEqual(
        requests * retryBudget + initialCredit,
      );
    });

    it("triple the work in the naive router, which has no budget", async () => {
      const { runs } = await run({ crashing: ids, isNaive: true });
      expect(runs).toBe(3 * requests);
    });
  });

  describe("when a third of the targets fail", () => {
    it("stay within their budget and complete most requests", async () => {
      const { runs, done } = await run({ crashing: ids.slice(0, 3) });
      expect(runs - requests).toBeLessThanOrEqual(
        requests * retryBudget + initialCredit,
      );
      expect(done).toBeGreaterThan(requests * 0.95);
    });
  });

  describe("when all targets are full", () => {
    it("refuses requests at once with a retry-after delay", async () => {
      const { targetAttempts, callers, messages, runs } = await run({
        full: ids,
      });
      expect(runs).toBe(0);
      for (const caller of callers) {
        expect(caller.end()?.report?.code).toBe("target_full");
        expect(caller.end()?.report?.retryAfterMs).toBeGreaterThan(0);
        expect(caller.durationMs()).toBeLessThan(200);
      }
      // Targets that recently refused other requests are rarely tried, and the
      // retries at the least loaded targets are bounded as well.
      expect(targetAttempts / requests).toBeLessThan(4);
      expect(messages / requests).toBeLessThan(10);
    });
  });

  async function run(
    options: {
      readonly crashing?: readonly string[];
      readonly full?: readonly string[];
      readonly isNaive?: boolean;
    },
  ): Promise<Result> {
    const targets = createFakeTargets(libraries, {
      ids,
      service,
      deliveries: [],
    });
    options.crashing?.forEach((id) => {
      targets.behaviour.eventsBeforeCrash.set(id, 0);
    });
    options.full?.forEach((id) => {
      targets.behaviour.refusalCodes.set(id, "target_full");
    });
    const host = createRequestHost(libraries, {
      id: "router-a",
      targets,
      platform: createMemoryPlatform(),
    });
    const naive = createNaiveRouter({
      calls: targets.calls,
      attempts: createAttemptNumbers({
        router: "router-a",
        routerIncarnation: 1,
      }),
      getMembers: targets.getMembers,
    });
    const callers: TestCaller[] = [];
    for (let index = 0; index < requests; index++) {
      const work = createWork({
        requestId: `request-${index}`,
        call: `call-${index}`,
        repeatable: true,
      });
      const caller = createCaller(targets, work);
      callers.push(caller);
      void (options.isNaive === true
        ? naive.run(work, caller.reply)
        : runRequest(host, work, caller.reply));
      await jest.advanceTimersByTimeAsync(requestIntervalMs);
    }
    await jest.advanceTimersByTimeAsync(10_000);
    return {
      runs: targets.runs.length,
      messages: targets.getMessageCount(),
      targetAttempts: callers.reduce(
        (sum, { work }) => sum + targets.countAttemptedTargets(work.requestId),
        0,
      ),
      callers,
      done: callers.filter((caller) => caller.end()?.outcome === "done").length,
    };
  }
});
