import PQueue from "p-queue";
import type { Refusal } from "../../types/response.ts";
import type { Priority } from "../../types/work.ts";
import { createWorkQueue, type Job, type QueueDecision } from "./work_queue.ts";

const slots = 4;

/** Time for which a typical job occupies its slot, in milliseconds. */
const jobMs = 100;

/** Jobs per second that the slots complete. */
const capacityPerSecond = slots * 1000 / jobMs;

/** Length of one run, in milliseconds. */
const runMs = 60_000;

/** A stream of requests. */
interface Source {
  readonly workspace: string;
  readonly priority: Priority;
  /** Requests per second. */
  readonly rate: number;
  /** Time from arrival to the deadline, in milliseconds. */
  readonly deadlineMs: number;
}

/** Counts of the requests of one source by outcome. */
interface Tally {
  offered: number;
  inTime: number;
  late: number;
  refused: number;
  /** Refused after waiting in the queue. */
  refusedLate: number;
  retryAfterMissing: number;
}

type Add = (job: Job) => QueueDecision;

describe("work queue", () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  describe("at twice its capacity", () => {
    const interactiveSource: Source = {
      workspace: "a",
      priority: "interactive",
      rate: capacityPerSecond,
      deadlineMs: 1_000,
    };
    const backgroundSource: Source = {
      workspace: "b",
      priority: "background",
      rate: capacityPerSecond,
      deadlineMs: 10_000,
    };

    it("keeps goodput near capacity", async () => {
      const tallies = await offer(createFairAdd(), [
        interactiveSource,
        backgroundSource,
      ]);
      const inTime = sum(tallies, "inTime");
      expect(inTime).toBeGreaterThan(0.9 * capacityPerSecond * runMs / 1000);
      expect(sum(tallies, "late")).toBeLessThan(0.02 * inTime);
    });

    it("gives interactive work its share, and the rest advances", async () => {
      const [first, second] = await offer(createFairAdd(), [
        interactiveSource,
        backgroundSource,
      ]);
      const done = (first?.inTime ?? 0) + (second?.inTime ?? 0);
      expect((first?.inTime ?? 0) / done).toBeGreaterThan(0.75);
      expect((second?.inTime ?? 0) / done).toBeGreaterThan(0.15);
    });

    it("reserves places for interactive work in a full queue", async () => {
      const flood = { ...backgroundSource, rate: 4 * capacityPerSecond };
      const [first] = await offer(createFairAdd(), [interactiveSource, flood]);
      expect(first?.inTime).toBeGreaterThan(
        0.7 * capacityPerSecond * runMs / 1000,
      );
    });

    it("refuses on arrival with a retry-after delay", async () => {
      const tallies = await offer(createFairAdd(), [
        interactiveSource,
        backgroundSource,
      ]);
      expect(sum(tallies, "refused")).toBeGreaterThan(1_000);
      expect(sum(tallies, "retryAfterMissing")).toBe(0);
      expect(sum(tallies, "refusedLate"))
        .toBeLessThan(0.02 * sum(tallies, "refused"));
    });

    it("loses most goodput with an unbounded FIFO queue", async () => {
      const tallies = await offer(createUnboundedFifoAdd(), [
        interactiveSource,
        backgroundSource,
      ]);
      expect(sum(tallies, "inTime"))
        .toBeLessThan(0.5 * capacityPerSecond * runMs / 1000);
    });
  });

  describe("when one workspace surges", () => {
    const quiet = Array.from({ length: 4 }, (_unused, index): Source => ({
      workspace: `quiet${index}`,
      priority: "interactive",
      rate: 0.15 * capacityPerSecond,
      deadlineMs: 1_000,
    }));
    const surge: Source = {
      workspace: "surge",
      priority: "interactive",
      rate: 2 * capacityPerSecond,
      deadlineMs: 1_000,
    };

    it("barely delays the other workspaces", async () => {
      const tallies = await offer(createFairAdd(), [...quiet, surge]);
      for (const { inTime, offered } of tallies.slice(0, -1)) {
        expect(inTime / offered).toBeGreaterThan(0.95);
      }
      expect(sum(tallies, "inTime"))
        .toBeGreaterThan(0.9 * capacityPerSecond * runMs / 1000);
    });

    it("starves the others in a bounded FIFO queue", async () => {
      const tallies = await offer(createBoundedFifoAdd(), [...quiet, surge]);
      for (const { inTime, offered } of tallies.slice(0, -1)) {
        expect(inTime / offered).toBeLessThan(0.6);
      }
    });
  });

  describe("an exclusive job", () => {
    it("waits for another exclusive job and for no other", async () => {
      const queue = createQueue();
      const started: string[] = [];
      const add = (name: string, exclusive: boolean): void => {
        queue.add(createJob({
          exclusive,
          run: async () => {
            started.push(name);
            await wait(jobMs);
          },
        }));
      };
      add("suspect 1", true);
      add("suspect 2", true);
      add("other", false);
      expect(started).toEqual(["suspect 1", "other"]);
      await jest.advanceTimersByTimeAsync(jobMs);
      expect(started).toEqual(["suspect 1", "other", "suspect 2"]);
    });
  });

  describe("a waiting job", () => {
    it("is refused when it can no longer be done in time", async () => {
      const queue = createQueue();
      fillSlots(queue.add);
      const refusals: Refusal[] = [];
      queue.add(createJob({
        deadlineAt: Date.now() + 50,
        onRefused: (refusal) => refusals.push(refusal),
      }));
      await jest.advanceTimersByTimeAsync(60);
      expect(refusals).toMatchObject([{ code: "queue_wait_too_long" }]);
      expect(queue.getWaiting()).toBe(0);
    });

    it("does not run once it is withdrawn", async () => {
      const queue = createQueue();
      fillSlots(queue.add);
      const run = jest.fn(() => Promise.resolve());
      const decision = queue.add(createJob({ run }));
      if (decision.kind === "admitted") decision.withdraw();
      await jest.advanceTimersByTimeAsync(1_000);
      expect(run).not.toHaveBeenCalled();
    });

    it("is refused when the target leaves", () => {
      const queue = createQueue();
      fillSlots(queue.add);
      const refusals: Refusal[] = [];
      queue.add(createJob({ onRefused: (one) => refusals.push(one) }));
      queue.refuseQueued("target_leaving");
      expect(refusals).toMatchObject([{ code: "target_leaving" }]);
    });
  });
});

function createQueue() {
  return createWorkQueue({
    getSlots: () => slots,
    getQueueLimit: () => 64,
    getPriorityWeight: (priority) => priority === "interactive" ? 4 : 1,
    getWorkspaceWeight: () => 1,
  });
}

function createFairAdd(): Add {
  return createQueue().add;
}

/** Adds to a naive queue: FIFO, without a bound or deadlines. */
function createUnboundedFifoAdd(): Add {
  const fifo = new PQueue({ concurrency: slots });
  return (job) => {
    void fifo.add(job.run);
    return { kind: "admitted", withdraw: () => undefined };
  };
}

/** Adds to a FIFO queue whose length fits within the deadline. */
function createBoundedFifoAdd(): Add {
  const fifo = new PQueue({ concurrency: slots });
  const limit = capacityPerSecond * 0.8;
  return (job) => {
    if (fifo.size >= limit) {
      const code = "target_full";
      const refusal = { kind: "refusal", code, retryAfterMs: 1 } as const;
      return { kind: "refused", refusal };
    }
    void fifo.add(job.run);
    return { kind: "admitted", withdraw: () => undefined };
  };
}

function fillSlots(add: Add): void {
  for (let slot = 0; slot < slots; slot++) {
    add(createJob({ run: () => wait(jobMs) }));
  }
}

function createJob(fields: Partial<Job>): Job {
  return {
    priority: "interactive",
    workspace: "w",
    cost: 100,
    deadlineAt: Date.now() + 10_000,
    exclusive: false,
    run: () => Promise.resolve(),
    onRefused: () => undefined,
    ...fields,
  };
}

/** Offers seeded arrivals of all sources for one run. */
async function offer(
  add: Add,
  sources: readonly Source[],
): Promise<readonly Tally[]> {
  const random = createRandom(42);
  const tallies = sources.map((source) => {
    const tally: Tally = {
      offered: 0,
      inTime: 0,
      late: 0,
      refused: 0,
      refusedLate: 0,
      retryAfterMissing: 0,
    };
    scheduleNext(source, tally);
    return tally;
  });
  const endsAt = Date.now() + runMs;
  await jest.advanceTimersByTimeAsync(runMs + 20_000);
  return tallies;

  function scheduleNext(source: Source, tally: Tally): void {
    const gapMs = -Math.log(1 - random()) * 1000 / source.rate;
    setTimeout(() => {
      if (Date.now() >= endsAt) return;
      offerOne(source, tally);
      scheduleNext(source, tally);
    }, gapMs);
  }

  function offerOne(source: Source, tally: Tally): void {
    const cost = 50 + Math.floor(random() * 100);
    const deadlineAt = Date.now() + source.deadlineMs;
    tally.offered++;
    const decision = add({
      ...source,
      cost,
      deadlineAt,
      exclusive: false,
      run: async () => {
        await wait(cost);
        if (Date.now() <= deadlineAt) tally.inTime++;
        else tally.late++;
      },
      onRefused: () => {
        tally.refused++;
        tally.refusedLate++;
      },
    });
    if (decision.kind === "admitted") return;
    tally.refused++;
    if (decision.refusal.retryAfterMs <= 0) tally.retryAfterMissing++;
  }
}

/** Creates a seeded generator of numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function sum(tallies: readonly Tally[], field: keyof Tally): number {
  return tallies.reduce((total, tally) => total + tally[field], 0);
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
