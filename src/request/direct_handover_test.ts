import {
  createRequest,
  createRoute,
  createTestLimits,
  createTestQuarantine,
  createTestQueue,
} from "../../test/support/direct.ts";
import {
  type Behaviour,
  createResponse,
  event,
  run,
  stream,
} from "../../test/support/direct_runs.ts";
import type { DirectCall } from "../types/direct_calls.ts";
import { getCrashKeys } from "../process/direct/crashes/crash_keys.ts";
import { maxOverlapMs } from "./direct_handover.ts";

const resumable = createRoute({
  kind: "stream",
  maxTargets: 3,
  isResumable: true,
  timeoutMs: 12_000,
  latencyGoalMs: 300,
});
const safe = createRoute({
  ...{ kind: "safe", maxTargets: 3, timeoutMs: 12_000, latencyGoalMs: 300 },
});

/** Time after which the silence of a target moves its request, in ms. */
const idleMs = { stream: 1_500, safe: 600 } as const;

const whole = event(1) + event(2);

describe("a request whose target is silent for a while", () => {
  /** When calls were written, and aborted, after the start of the test. */
  let sentAt: number[];
  let abortedAt: (number | undefined)[];
  let startedAt: number;

  beforeEach(() => {
    jest.useFakeTimers();
    startedAt = performance.now();
    sentAt = [];
    abortedAt = [];
  });
  afterEach(() => void jest.useRealTimers());

  function getTime(): number {
    return performance.now() - startedAt;
  }

  /** Records the call as sent, and when it is aborted. */
  function recordCall(call: DirectCall): void {
    const index = sentAt.push(getTime()) - 1;
    abortedAt[index] = undefined;
    call.signal.addEventListener("abort", () => {
      abortedAt[index] ??= getTime();
    });
    call.recordSent?.();
  }

  /** Resolves after a time, or rejects once the call is aborted. */
  function pause({ signal }: DirectCall, ms: number): Promise<void> {
    return new Promise((resolve, reject) => {
      setTimeout(resolve, ms);
      signal.addEventListener("abort", () => reject(new Error("aborted")));
    });
  }

  /** Sends an event, falls silent, and sends the other. */
  function pausingStream(ms: number): Behaviour {
    return (call) => {
      recordCall(call);
      return {
        ...createResponse([], { isEventStream: true }),
        body: (async function* () {
          yield Buffer.from(event(1));
          await pause(call, ms);
          yield Buffer.from(event(2));
        })(),
      };
    };
  }

  /** Is silent before the whole response. */
  function pausingCall(ms: number): Behaviour {
    return async (call) => {
      recordCall(call);
      try {
        await pause(call, ms);
      } catch {
        return { kind: "aborted" };
      }
      return createResponse(["proof"]);
    };
  }

  const silent = pausingCall(60_000);

  describe("goes on there", () => {
    const keys = getCrashKeys(createRequest(resumable));
    const obstacles: Readonly<
      Record<string, () => Parameters<typeof run>[2]>
    > = {
      retry_budget: () => ({ retryCredit: 0 }),
      // The timer that ends the overlap would fire late.
      busy: () => ({ isLoopBusy: true }),
      stopping: () => ({
        requestQueue: {
          ...createTestQueue(),
          hasTimeFor: () => getTime() < 500,
        },
      }),
      quarantined: () => ({
        quarantine: {
          ...createTestQuarantine(),
          hasEvidence: () => getTime() > 500,
          tryGetRefusal: () => ({ key: keys[0]!, crashes: 3, retryAfterMs: 1 }),
        },
      }),
      limited: () => {
        const limits = createTestLimits();
        return {
          limits: {
            ...limits,
            tryTake: (address) =>
              getTime() > 500 ? undefined : limits.tryTake(address),
          },
        };
      },
      // Such a target may refuse once the first attempt is given up.
      full: () => ({ queue: { requests: 64, meanRunMs: 10 } }),
      no_target: () => ({
        addresses: { a: "10.0.0.1:1", b: "10.0.0.1:1", c: "10.0.0.1:1" },
      }),
    };

    // Its caller lost a response that the target was about to finish.
    it.each(Object.keys(obstacles))(
      "while no other may take it (%s)",
      async (obstacle) => {
        const options = obstacles[obstacle]?.();
        const result = await run(resumable, [pausingStream(3_000)], options);
        expect(result).toMatchObject({ outcome: "done", text: whole });
        expect(abortedAt).toEqual([undefined]);
        expect(result.logLines).toContainEqual(expect.objectContaining({
          ...{ message: "Silent attempt goes on", heldBy: obstacle },
        }));
      },
    );

    const refusals: Readonly<Record<string, Behaviour>> = {
      refused: () => ({ kind: "refused", status: 503 }),
      wrong_target: () => ({ kind: "wrong_target", status: 421 }),
      not_sent: () => ({ kind: "not_sent", reason: "connection refused" }),
      withheld: () => ({ kind: "withheld", hold: "busy" }),
      lost: () => ({ kind: "lost", reason: "reset" }),
      spoiled: () => ({ kind: "spoiled", reason: "other id" }),
      error: () => createResponse(["error"], { status: 500 }),
      unproved: () => createResponse(["full"], { status: 503 }),
      no_stream: () => createResponse(["text"]),
    };

    it.each(Object.keys(refusals))(
      "when the others don't take it (%s)",
      async (name) => {
        const refuse = refusals[name] as Behaviour;
        const behaviours = [pausingStream(3_000), refuse, refuse];
        const result = await run(resumable, behaviours);
        expect(result).toMatchObject({ outcome: "done", text: whole });
        expect(result.calls.length).toBeGreaterThan(1);
        expect(abortedAt).toEqual([undefined]);
      },
    );

    it("while the request waits for a connection to the other", async () => {
      const result = await run(resumable, [
        pausingStream(1_700),
        ({ signal }) =>
          new Promise((resolve) => {
            const end = { kind: "withheld", hold: "late" } as const;
            signal.addEventListener("abort", () => resolve(end));
          }),
      ]);
      expect(result).toMatchObject({ outcome: "done", text: whole });
      expect(result.calls.length).toBe(2);
      expect(result.calls[1]?.signal.aborted).toBe(true);
      expect(result.unsentRetries).toBe(1);
    });

    // It would go on beside the run that has begun at the other.
    it("when the other refuses after it has responded", async () => {
      const result = await run(resumable, [
        pausingStream(idleMs.stream + 50),
        async (call) => {
          recordCall(call);
          await pause(call, maxOverlapMs - 50);
          return { kind: "refused", status: 503 };
        },
      ]);
      expect(result).toMatchObject({ outcome: "done", text: whole });
      expect(abortedAt).toEqual([undefined, undefined]);
      // Its data waits for the refusal.
      expect(result.endedAtMs).toBe(idleMs.stream + maxOverlapMs - 50);
    });

    it("anew when the other refuses late", async () => {
      const result = await run(resumable, [
        pausingStream(60_000),
        async (call) => {
          recordCall(call);
          await pause(call, 2 * maxOverlapMs);
          return { kind: "refused", status: 503 };
        },
        () => stream(event(2)),
      ], { addresses: { a: "10.0.0.1:1", b: "10.0.0.2:1", c: "10.0.0.2:1" } });
      expect(result).toMatchObject({ outcome: "done", text: whole });
      expect(result.calls.map(({ target }) => target.address))
        .toEqual(["10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:1"]);
      expect(result.calls[2]?.lastEventId).toBe("1");
    });

    it("as a safe call without a retry", async () => {
      const result = await run(safe, [pausingCall(3_000)], { retryCredit: 0 });
      expect(result).toMatchObject({ outcome: "done", text: "proof" });
    });
  });

  describe("goes on with what it has, as", () => {
    /** Waits for a connection until some time after the call is aborted. */
    const connecting: Behaviour = ({ signal }) =>
      new Promise((resolve) => {
        const end = { kind: "withheld", hold: "late" } as const;
        signal.addEventListener("abort", () =>
          void setTimeout(() => resolve(end), 350));
      });

    // Its retry was spent for good, and later requests found none left.
    it("it gives back a retry that is never sent", async () => {
      const result = await run(safe, [
        pausingCall(idleMs.safe + 100),
        connecting,
      ], { durationMs: 5_000 });
      expect(result).toMatchObject({ outcome: "done", text: "proof" });
      await jest.advanceTimersByTimeAsync(1_000);
      expect(result.countUnsentRetries()).toBe(1);
    });

    // A third target ran the request.
    it("both its attempts that are lost count as runs at once", async () => {
      const lose = (ms: number): Behaviour => async (call) => {
        recordCall(call);
        await new Promise((resolve) => setTimeout(resolve, ms));
        return { kind: "lost", reason: "reset" };
      };
      const behaviours = [lose(idleMs.safe + 50 - 5), lose(50), silent];
      const result = await run({ ...safe, maxTargets: 2 }, behaviours, {
        crashCheckMs: 20,
      });
      expect(result.calls.length).toBe(2);
    });
  });

  describe("moves to another target", () => {
    it("as soon as that one responds", async () => {
      const result = await run(resumable, [pausingStream(3_000), (call) => {
        recordCall(call);
        return stream(event(2));
      }]);
      expect(result).toMatchObject({ outcome: "done", text: whole });
      expect(result.calls[1]?.lastEventId).toBe("1");
      expect(abortedAt).toEqual([idleMs.stream, undefined]);
      expect(result.outcomes).toEqual(["silent", "served"]);
    });

    // Two targets may not work on one request for 400 ms.
    it("that does not refuse it for a short time", async () => {
      const behaviours = [silent, pausingCall(500)];
      const result = await run(safe, behaviours);
      expect(result).toMatchObject({ outcome: "done", text: "proof" });
      expect(sentAt).toEqual([0, idleMs.safe]);
      expect(abortedAt).toEqual([idleMs.safe + maxOverlapMs, undefined]);
    });

    it("that has the request, though it responds again", async () => {
      const result = await run(resumable, [
        pausingStream(idleMs.stream + 50),
        async (call) => {
          recordCall(call);
          await pause(call, 400);
          return stream(event(2));
        },
      ]);
      expect(result).toMatchObject({ outcome: "done", text: whole });
      expect(abortedAt).toEqual([idleMs.stream + maxOverlapMs, undefined]);
    });

    it("once a retry is granted", async () => {
      const behaviours = [silent, pausingCall(10)];
      let granted = 0;
      setTimeout(() => granted = 1, 2_000);
      const result = await run(safe, behaviours, {
        tryGrant: () => granted-- > 0,
      });
      expect(result).toMatchObject({ outcome: "done", text: "proof" });
      expect(sentAt[1]).toBeGreaterThanOrEqual(2_000);
      expect(sentAt[1]).toBeLessThanOrEqual(3_000);
    });

    it("that has taken it when the first one breaks off", async () => {
      const result = await run(safe, [
        async (call) => {
          recordCall(call);
          await new Promise((resolve) =>
            setTimeout(resolve, idleMs.safe + maxOverlapMs - 50)
          );
          return { kind: "lost", reason: "reset" };
        },
        pausingCall(400),
      ]);
      expect(result).toMatchObject({ outcome: "done", text: "proof" });
      expect(result.calls.length).toBe(2);
    });

    it("with one retry for each send", async () => {
      const result = await run({ ...safe, maxTargets: 3 }, [
        silent,
        silent,
        pausingCall(10),
      ]);
      expect(result).toMatchObject({ outcome: "done", text: "proof" });
      expect(result.retriesSentAt.length).toBe(2);
      expect(result.unsentRetries).toBe(0);
    });
  });
});
