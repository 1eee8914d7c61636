import {
  createRoute,
  createTarget,
  createTestQueue,
} from "../../test/support/direct.ts";
import {
  type Behaviour,
  createResponse,
  hang,
  run,
} from "../../test/support/direct_runs.ts";
import type {
  QueuedRequest,
  WaitEnd,
} from "../process/direct/queue/queued_request.ts";
import type { DirectResult } from "../types/direct_calls.ts";
import { createRepeatRecords } from "../process/direct/queue/repeat_records.ts";
import type { RequestQueue } from "../process/direct/queue/request_queue.ts";

const safe = createRoute({ kind: "safe", timeoutMs: 1_000 });
const unsafe = createRoute({ kind: "unsafe", maxTargets: 1 });

const served: Behaviour = () => createResponse(["ok"], { length: 2 });
const refused: Behaviour = () => ({ kind: "refused", status: 503 });

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Creates a queue whose targets have room from a time on. */
function createQueue(
  { roomAtMs = 0 }: { readonly roomAtMs?: number } = {},
): RequestQueue {
  const startedAt = performance.now();
  return createTestQueue({
    loads: {
      getOwnLoads: () => new Map(),
      getLoad: () => ({
        requests: performance.now() - startedAt < roomAtMs ? 1_000 : 0,
        unreadTokens: 0,
      }),
    },
    tryGetMeanRunMs: () => 50,
    getUsable: () =>
      ["a", "b", "c"].map((id) =>
        createTarget(id, { address: `10.0.0.1:${id}` })
      ),
  });
}

describe("a request to targets that callers compete for", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("is sent at once while there is room", async () => {
    const requestQueue = createQueue();
    const result = await run(safe, [served], { requestQueue });
    expect(result).toMatchObject({ code: "done", sentAt: [0] });
    expect(requestQueue.getOwnDemand()).toEqual([]);
  });

  it("waits until there is room", async () => {
    const requestQueue = createQueue({ roomAtMs: 300 });
    const result = await run(safe, [served], { requestQueue });
    expect(result.code).toBe("done");
    expect(result.sentAt[0]).toBeGreaterThanOrEqual(300);
    expect(result.sentAt[0]).toBeLessThan(330);
  });

  describe("from a silent target", () => {
    const route = { ...safe, timeoutMs: 4_000, latencyGoalMs: 300 };
    let left: number;

    /** Creates a queue in which later requests wait for 1.5 s. */
    function createFilledQueue(): RequestQueue {
      const queue = createQueue();
      left = 0;
      const isFilled = () => queue.getOwnDemand().length > 0;
      return {
        ...queue,
        preview: (request) =>
          isFilled()
            ? { kind: "waiting", position: 1, waitMs: 1_500 }
            : queue.preview(request),
        enter: (request) => {
          if (!isFilled()) return queue.enter(request);
          let leave = (): void => undefined;
          const end = new Promise<WaitEnd>((resolve) => {
            setTimeout(
              () =>
                resolve({ kind: "place", place: queue.enterUnheld(request) }),
              1_500,
            );
            leave = () => {
              left++;
              resolve({ kind: "left" });
            };
          });
          return { kind: "waiting", position: 1, end, leave };
        },
      };
    }

    // It was never sent elsewhere, or its target was left before there was room.
    it("waits for a place while it runs there", async () => {
      const requestQueue = createFilledQueue();
      const behaviours = [hang, served];
      const result = await run(route, behaviours, { requestQueue });
      expect(result).toMatchObject({ code: "done", sentAt: [0, 2_100] });
      expect(requestQueue.getOwnDemand()).toEqual([]);
    });

    it("leaves the queue when that one responds", async () => {
      const requestQueue = createFilledQueue();
      const result = await run(route, [async () => {
        await sleep(1_200);
        return createResponse(["ok"], { length: 2 });
      }], { requestQueue, durationMs: 2_000 });
      expect(result).toMatchObject({ code: "done", sentAt: [0] });
      expect(left).toBe(1);
    });

    // Its place stayed taken until the response had ended.
    it("leaves it also after another target has refused", async () => {
      const requestQueue = createFilledQueue();
      const refuse: Behaviour = (call) => {
        call.recordSent?.();
        return { kind: "refused", status: 503 };
      };
      let leftInBody = 0;
      const respondSlowly: Behaviour = async () => {
        await sleep(3_400);
        const body = (async function* () {
          await sleep(300);
          leftInBody = left;
          yield Buffer.from("ok");
        })();
        return { ...createResponse([], { length: 2 }), body } as DirectResult;
      };
      const behaviours = [respondSlowly, refuse];
      const result = await run(route, behaviours, { requestQueue });
      expect(result).toMatchObject({ code: "done", sentAt: [0, 2_100] });
      expect(leftInBody).toBe(1);
    });
  });

  it("is refused with a proof when there is no room in time", async () => {
    const requestQueue = createQueue({ roomAtMs: 5_000 });
    const result = await run(safe, [served], { requestQueue });
    expect(result).toMatchObject({ code: "queue_wait_too_long", calls: [] });
    expect(result.endedAtMs).toBeLessThan(1_000);
    expect(result.retryAfterMs).toBeGreaterThan(0);
  });

  it("leaves the queue with its caller", async () => {
    const requestQueue = createQueue({ roomAtMs: 5_000 });
    const result = await run(safe, [served], {
      ...{ requestQueue, disconnectAfterMs: 100 },
    });
    expect(result).toMatchObject({ code: "caller_gone", endedAtMs: 100 });
    expect(requestQueue.getOwnDemand()).toEqual([]);
  });

  it("is refused when the router stops", async () => {
    const requestQueue = createQueue({ roomAtMs: 5_000 });
    setTimeout(requestQueue.stop, 100);
    const result = await run(safe, [served], { requestQueue });
    expect(result).toMatchObject({ code: "router_stopping", endedAtMs: 100 });
  });

  describe("whose caller was refused and told when to come back", () => {
    /** Refuses a request; returns how the queue sees those that come later. */
    async function refuseFirst() {
      const repeats = createRepeatRecords();
      const entered: QueuedRequest[] = [];
      const requestQueue: RequestQueue = {
        ...createQueue(),
        enter: (request) => {
          entered.push(request);
          return { kind: "refused", refusal: { reason: "late", waitMs: 200 } };
        },
      };
      const send = async (path: string) => {
        const request = { path, requestId: `request-${entered.length}` };
        return await run(safe, [served], {
          ...{ requestQueue, repeats, request, durationMs: 1 },
        });
      };
      const refusedAt = performance.now();
      const { retryAfterMs = 0 } = await send("/draft/1");
      return { entered, send, returnAt: refusedAt + retryAfterMs };
    }

    it("gets no earlier place by repeating at once", async () => {
      const { entered, send, returnAt } = await refuseFirst();
      const [first] = entered;
      for (let repeat = 0; repeat < 3; repeat++) {
        await send("/draft/1");
        expect(entered.at(-1)?.arrivedAt).toBeGreaterThanOrEqual(returnAt);
        // Guards against a repeat that uses up the place of the return.
        expect(entered.at(-1)?.returnKey).not.toBe(first?.returnKey);
      }
      await send("/draft/2");
      expect(entered.at(-1)?.arrivedAt).toBeLessThan(returnAt);
    });

    it("gets the place of its first arrival as told", async () => {
      const { entered, send, returnAt } = await refuseFirst();
      jest.advanceTimersByTime(returnAt - performance.now());
      await send("/draft/1");
      expect(entered.at(-1)?.returnKey).toBe(entered[0]?.returnKey);
      expect(entered.at(-1)?.arrivedAt).toBeCloseTo(returnAt, -1);
    });
  });

  describe("that a full target has refused", () => {
    it("is sent once more, within the retry budget", async () => {
      for (const route of [safe, unsafe]) {
        const requestQueue = createQueue();
        const result = await run(route, [refused, served], { requestQueue });
        expect(result).toMatchObject({ code: "done" });
        expect(new Set(result.targets).size).toBe(2);
      }
    });

    it("is refused to its caller without a retry", async () => {
      const requestQueue = createQueue();
      const result = await run(unsafe, [refused, served], {
        ...{ requestQueue, retryCredit: 0 },
      });
      expect(result).toMatchObject({ code: "target_full" });
      expect(result.calls.length).toBe(1);
    });
  });

  it("that may have run is not sent again", async () => {
    const lost: Behaviour = () => ({ kind: "lost", reason: "reset" });
    const requestQueue = createQueue();
    const result = await run(unsafe, [lost, served], { requestQueue });
    expect(result).toMatchObject({ code: "outcome_unknown" });
    expect(result.calls.length).toBe(1);
  });

  it("gives its place back at its deadline", async () => {
    const requestQueue = createQueue();
    await run(unsafe, [hang], { requestQueue });
    expect(requestQueue.getOwnDemand()).toEqual([]);
  });
});
