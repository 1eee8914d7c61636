import {
  createRequest,
  createRoute,
  createTarget,
  createTestLimits,
  createTestQuarantine,
  createTestStreamOrigins,
} from "../../test/support/direct.ts";
import {
  abortableStream,
  type Behaviour,
  createResponse,
  event,
  hang,
  run,
  stream,
} from "../../test/support/direct_runs.ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import type { AbortedAttempt } from "../process/direct/crashes/aborted_attempts.ts";
import type { Quarantine } from "../process/direct/crashes/quarantine.ts";
import { getCrashKeys } from "../process/direct/crashes/crash_keys.ts";
import {
  type CrashSuspects,
  createCrashSuspects,
} from "../process/direct/crashes/crash_suspects.ts";
import { createZoneEvacuations } from "../process/direct/targets/zone_evacuations.ts";
import type { StreamOrigins } from "../process/direct/streams/stream_origins.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import type { DirectRoute } from "../types/route_table.ts";

const safe = createRoute({ kind: "safe" });
const unsafe = createRoute({ kind: "unsafe", maxTargets: 1 });
const fixedStream = createRoute({ kind: "stream", maxTargets: 1 });
const resumable = createRoute({
  kind: "stream",
  maxTargets: 2,
  isResumable: true,
  timeoutMs: 12_000,
});

const lost: Behaviour = () => ({ kind: "lost", reason: "reset" });
const refused: Behaviour = () => ({ kind: "refused", status: 503 });
const notSent: Behaviour = () => ({ kind: "not_sent", reason: "refused" });
const spoiled: Behaviour = () => ({ kind: "spoiled", reason: "other id" });

function createCrashes(): CrashSuspects {
  return createCrashSuspects({
    log: createSilentLog(),
    handlePeerResponse: () => undefined,
    report: () => undefined,
  });
}

describe("a request to targets without agents", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  describe("whose shared part is being prefilled", () => {
    const part = { id: "long", tokens: 6_000 };
    const prompt = {
      model: "writer",
      parts: [part, { id: "own", tokens: 100 }],
      promptTokens: 6_100,
      maxOutputTokens: 80,
      hintedOutputTokens: undefined,
    };
    const longGoal = createRoute({
      kind: "stream",
      maxTargets: 1,
      latencyGoalMs: 800,
    });

    it("is sent to the prefilling engine after the prefill", async () => {
      const result = await run(longGoal, [() => stream(event(1))], {
        request: { prompt },
        peerPrefill: { target: "b", part },
      });
      expect(result.targets).toEqual(["b"]);
      expect(result.sentAt).toEqual([120]);
    });

    it("is sent before the wait puts its latency goal at risk", async () => {
      const longPart = { id: "long", tokens: 60_000 };
      const result = await run(fixedStream, [() => stream(event(1))], {
        request: { prompt },
        peerPrefill: { target: "b", part: longPart },
      });
      expect(result.sentAt).toEqual([fixedStream.latencyGoalMs * 0.3]);
    });

    it("does not wait when no prefill of the part is running", async () => {
      const result = await run(fixedStream, [() => stream(event(1))], {
        request: { prompt },
      });
      expect(result.sentAt).toEqual([0]);
    });
  });

  describe("to a service whose targets have long queues", () => {
    it("is refused at once when its turn comes too late", async () => {
      const queue = { requests: 700, meanRunMs: 110 };
      const result = await run(unsafe, [], { queue });
      expect(result.calls).toEqual([]);
      expect(result).toMatchObject({ outcome: "not_run", code: "target_full" });
      expect(result.retryAfterMs).toBeGreaterThan(0);
    });

    it("is sent when its turn comes in time", async () => {
      const queue = { requests: 500, meanRunMs: 110 };
      const { calls } = await run(unsafe, [lost], { queue });
      expect(calls.length).toBe(1);
    });
  });

  describe("to targets that ask for a pause", () => {
    const pausing: Behaviour = (call, pauses) => {
      pauses.recordPause(call.target, 900);
      return { kind: "refused", status: 503 };
    };

    it("is refused at once with the time when the first is back", async () => {
      const result = await run(unsafe, [], {
        pausesMs: { a: 30_000, b: 100, c: 20_000 },
      });
      expect(result.calls).toEqual([]);
      expect(result).toMatchObject({ outcome: "not_run", code: "target_full" });
      expect(result.retryAfterMs).toBeGreaterThan(100);
    });

    it("is sent to one that does not", async () => {
      const result = await run(unsafe, [() => createResponse(["placed"])], {
        pausesMs: { a: 30_000, c: 20_000 },
      });
      expect(result.targets).toEqual(["b"]);
      expect(result.text).toBe("placed");
    });

    it("is sent on after a refusal that asks for a pause", async () => {
      const result = await run(unsafe, [
        pausing,
        () => createResponse(["placed"]),
      ]);
      expect(new Set(result.targets).size).toBe(2);
      expect(result.text).toBe("placed");
    });

    it("resumes its stream at one that does not", async () => {
      const result = await run(resumable, [
        ({ target }, pauses) => {
          const [first = "", ...rest] = ["a", "b", "c"]
            .filter((id) => id !== target.id);
          expect(rest.length).toBe(1);
          pauses.recordPause(createTarget(first), 5_000);
          return stream(event(1), new Error("crash"));
        },
        () => stream(event(2)),
      ]);
      expect(result.text).toBe(event(1) + event(2));
      const expected = ["a", "b", "c"]
        .filter((id) => id !== result.targets[0]).at(-1);
      expect(result.targets[1]).toBe(expected);
    });

    it("is not sent on while all do", async () => {
      const result = await run(unsafe, [pausing, pausing, pausing]);
      expect(result.calls.length).toBe(3);
      expect(result).toMatchObject({ outcome: "not_run", code: "target_full" });
    });

    it("is sent elsewhere when the hold began in the queue", async () => {
      const result = await run(unsafe, [
        () => ({ kind: "withheld", hold: "paused" }),
        () => ({ kind: "withheld", hold: "leaving" }),
        () => createResponse(["placed"]),
      ], { retryCredit: 0 });
      expect(result.text).toBe("placed");
    });

    // The only target left must not be lost with the source of its copy.
    it("is sent to a target whose source was evacuated", async () => {
      const evacuations = createZoneEvacuations({ log: createSilentLog() });
      const evacuate: Behaviour = ({ target }) => {
        ["a", "b", "c"].filter((id) => id !== target.id)
          .forEach((id) => evacuations.begin(`zone-${id}`, {}));
        return { kind: "withheld", hold: "evacuated" };
      };
      const { targets, text } = await run(unsafe, [
        evacuate,
        () => createResponse(["placed"]),
      ], { evacuations, retryCredit: 0 });
      expect(text).toBe("placed");
      expect(targets[1]).toBe(targets[0]);
    });

    it("is sent elsewhere when its target was evacuated", async () => {
      const evacuations = createZoneEvacuations({ log: createSilentLog() });
      const { targets, text } = await run(unsafe, [
        ({ target }) => {
          evacuations.begin(target.zone, {});
          return { kind: "withheld", hold: "evacuated" };
        },
        () => {
          evacuations.getAll().forEach((zone) => evacuations.end(zone, {}));
          return { kind: "withheld", hold: "paused" };
        },
        () => createResponse(["placed"]),
      ], { evacuations, retryCredit: 0 });
      expect(text).toBe("placed");
      expect(new Set(targets).size).toBe(3);
    });

    it("does not count their answers as failures", async () => {
      const unavailable: Behaviour = (call, pauses) => {
        pauses.recordPause(call.target, 900);
        return createResponse(["later"], { status: 503 });
      };
      const { outcomes } = await run(safe, [unavailable, unavailable]);
      expect(outcomes).toEqual([]);
    });
  });

  describe("to targets that limit their requests", () => {
    /** Creates limits after a time in which no slot was used. */
    function createLimits(ids: readonly string[], perS: number): TargetLimits {
      const limits = createTestLimits({ count: 5 });
      ids.forEach((id) =>
        limits.record(`10.0.0.1:${id}`, { kind: "named", perS }, {
          sentAt: undefined,
        })
      );
      jest.advanceTimersByTime(1);
      return limits;
    }

    it.each([
      ["safe", safe],
      ["unsafe", unsafe],
      ["stream", resumable],
    ])("is sent to one with room (%s)", async (_kind, route) => {
      const limits = createLimits(["a", "b"], 1);
      const { targets } = await run(route, [() => stream(event(1))], {
        limits,
      });
      expect(targets).toEqual(["c"]);
    });

    it("is refused at once where none has room", async () => {
      const limits = createLimits(["a", "b", "c"], 2);
      const result = await run(unsafe, [], { limits });
      expect(result.calls).toEqual([]);
      expect(result).toMatchObject({
        outcome: "not_run",
        code: "target_limited",
        endedAtMs: 0,
      });
      expect(result.retryAfterMs).toBeGreaterThan(0);
      // A router uses its first slot within 2.5 s of the first second.
      expect(result.retryAfterMs).toBeLessThanOrEqual(3_500);
    });

    it("is sent to another when the slot was lost in a queue", async () => {
      const limits = createTestLimits({ count: 5 });
      const result = await run(safe, [
        ({ target }) => {
          limits.record(target.address, { kind: "named", perS: 1 }, {
            sentAt: undefined,
          });
          return { kind: "withheld", hold: "limited" };
        },
        () => createResponse(["looked up"]),
      ], { limits, retryCredit: 0 });
      expect(result.text).toBe("looked up");
      expect(new Set(result.targets).size).toBe(2);
    });

    it("is retried only where there is room", async () => {
      const limits = createLimits(["a", "b"], 0.2);
      const result = await run(safe, [lost], { limits });
      expect(result.targets).toEqual(["c"]);
      expect(result.outcome).toBe("unknown");
    });
  });

  describe("whose stream targets of two versions may serve", () => {
    const versions = { a: "v1", b: "v1.1", c: "v1" };

    it("goes on at the version that began it", async () => {
      const begun: string[] = [];
      const result = await run(resumable, [
        ({ target }) => {
          begun.push(target.id);
          return stream(event(1), new Error("crash"));
        },
        () => stream(event(2)),
      ], { versions: { ...versions, b: "v1" } });
      expect(result.text).toBe(event(1) + event(2));
      const [first = ""] = begun;
      const others = ["a", "b", "c"].filter((id) => id !== first);
      const [same = "", other = ""] = others;
      const again = await run(resumable, [
        () => stream(event(1), new Error("crash")),
        () => stream(event(2)),
      ], { versions: { [first]: "v1", [same]: "v1", [other]: "v1.1" } });
      expect(again.targets).toEqual([first, same]);
    });

    it("breaks off where no other target has its version", async () => {
      const result = await run(resumable, [
        () => stream(event(1), new Error("crash")),
      ], { versions: { a: "v1", b: "v1.1", c: "v2" } });
      expect(result).toMatchObject({ text: event(1), code: "answer_cut" });
      expect(result.calls.length).toBe(1);
    });

    it("breaks off where the version of its target is not known", async () => {
      const result = await run(resumable, [
        () => stream(event(1), new Error("crash")),
      ], { versions: { a: "", b: "", c: "" } });
      expect(result.calls.length).toBe(1);
    });

    it("does not go on at the process after one that has crashed", async () => {
      const result = await run(resumable, [
        () => stream(event(1), new Error("crash")),
      ], { crashed: ["a", "b", "c"] });
      expect(result.calls.length).toBe(1);
      const streamOrigins = createTestStreamOrigins();
      const request = { resumes: "first", lastEventId: "1" };
      streamOrigins.record(
        { workspace: "artists", requestId: "first" },
        createTarget("a"),
      );
      const takenUp = await run(resumable, [() => stream(event(2))], {
        ...{ request, streamOrigins, crashed: ["a", "c"] },
      });
      expect(takenUp.targets).toEqual(["b"]);
    });

    it("may begin at another version while the caller has no event", async () => {
      const result = await run(resumable, [lost, () => stream(event(1))], {
        versions: { a: "v1", b: "v1.1", c: "v2" },
      });
      expect(result).toMatchObject({ text: event(1), outcome: "done" });
    });

    describe("and that a caller takes up", () => {
      const request = { resumes: "first", lastEventId: "1" };

      function createOrigins(version: string): StreamOrigins {
        const streamOrigins = createTestStreamOrigins();
        streamOrigins.record(
          { workspace: "artists", requestId: "first" },
          createTarget("a", { softwareVersion: version }),
        );
        return streamOrigins;
      }

      it("goes on at its version", async () => {
        for (const id of ["a", "b", "c"]) {
          const result = await run(resumable, [() => stream(event(2))], {
            ...{ request, streamOrigins: createOrigins("v2") },
            versions: { a: "v1", b: "v1", c: "v1", [id]: "v2" },
          });
          expect(result.targets).toEqual([id]);
        }
      });

      it("is refused for good when nobody knows its version", async () => {
        const result = await run(resumable, [], { request, versions });
        expect(result.calls).toEqual([]);
        expect(result).toMatchObject({
          ...{ outcome: "failed", code: "stream_version_unknown" },
          retryAfterMs: 0,
        });
      });

      it("is refused for good when its version has gone", async () => {
        const result = await run(resumable, [], {
          ...{ request, versions, streamOrigins: createOrigins("v0") },
        });
        expect(result).toMatchObject({
          ...{ outcome: "failed", code: "stream_version_gone" },
          retryAfterMs: 0,
        });
      });

      it("may come back when its version takes nothing now", async () => {
        const result = await run(resumable, [], {
          ...{ request, versions, streamOrigins: createOrigins("v1.1") },
          pausesMs: { b: 500 },
        });
        expect(result).toMatchObject({
          ...{ outcome: "not_run", code: "stream_version_unavailable" },
        });
        expect(result.retryAfterMs).toBeGreaterThan(0);
      });

      it("may come back when those that know it don't answer", async () => {
        const result = await run(resumable, [], {
          ...{ request, versions },
          streamOrigins: createTestStreamOrigins({
            lookUp: () => Promise.resolve({ kind: "unanswered" }),
          }),
        });
        expect(result).toMatchObject({
          ...{ outcome: "not_run", code: "stream_version_unanswered" },
        });
        expect(result.retryAfterMs).toBeGreaterThan(0);
      });

      it("is not taken for that of another workspace", async () => {
        const holder = { workspace: "forger", priority: 1 };
        const result = await run(resumable, [], {
          request: { ...request, holder },
          ...{ versions, streamOrigins: createOrigins("v1") },
        });
        expect(result.code).toBe("stream_version_unknown");
      });
    });
  });

  describe("that may run only once", () => {
    for (const [name, behaviour] of Object.entries({ lost, spoiled })) {
      it(`is not retried after a ${name} response`, async () => {
        const result = await run(unsafe, [behaviour]);
        expect(result.calls.length).toBe(1);
        expect(result.outcome).toBe("unknown");
        expect(result.retryAfterMs).toBe(0);
      });
    }

    it("is not reported as not run after a timeout", async () => {
      const result = await run(unsafe, [hang]);
      expect(result.calls.length).toBe(1);
      expect(result.code).toBe("deadline_exceeded");
    });

    it("is retried with proof that nothing ran", async () => {
      const result = await run(unsafe, [
        refused,
        notSent,
        () => createResponse(["placed"]),
      ]);
      expect(new Set(result.targets).size).toBe(3);
      expect(result).toMatchObject({ text: "placed", code: "done" });
    });

    it("gets a retry-after delay when all targets refuse", async () => {
      const result = await run(unsafe, [refused, refused, refused]);
      expect(result).toMatchObject({ outcome: "not_run", code: "target_full" });
      expect(result.retryAfterMs).toBeGreaterThan(0);
    });

    it("is unknown when one target refused and one lost it", async () => {
      const result = await run(unsafe, [refused, lost]);
      expect(result.outcome).toBe("unknown");
    });

    it("forwards an error response of the target unchanged", async () => {
      const result = await run(unsafe, [
        () => createResponse(["no"], { status: 500 }),
      ]);
      expect(result).toMatchObject({ status: 500, text: "no" });
      expect(result.calls.length).toBe(1);
    });

    it("forwards a complete response or none", async () => {
      const result = await run(unsafe, [
        () => createResponse(["half", new Error("reset")]),
      ]);
      expect(result).toMatchObject({ text: "", outcome: "failed" });
    });
  });

  describe("to a target that has another id now", () => {
    const notRun: Behaviour = () => ({ kind: "wrong_target", status: 421 });

    it("is not sent to its address again", async () => {
      const result = await run(unsafe, [notRun, notRun, notRun], {
        addresses: { a: "10.0.0.1:1", b: "10.0.0.1:1", c: "10.0.0.1:1" },
      });
      expect(result.calls.length).toBe(1);
      expect(result).toMatchObject({ code: "wrong_incarnation" });
    });
  });

  describe("that waits for a connection", () => {
    // It was set aside as silent while it served other requests.
    it("does not count against the target before it is sent", async () => {
      const result = await run(unsafe, [async (call) => {
        await new Promise((resolve) => setTimeout(resolve, 400));
        call.recordSent?.();
        return createResponse(["done"]);
      }]);
      expect(result.text).toBe("done");
      expect(result.outcomes).toEqual(["served"]);
    });

    it("counts against the target once it was sent", async () => {
      const result = await run(unsafe, [async (call) => {
        call.recordSent?.();
        await new Promise((resolve) => setTimeout(resolve, 400));
        return createResponse(["done"]);
      }]);
      expect(result.outcomes).toEqual(["silent", "served"]);
    });
  });

  describe("that may be retried", () => {
    it("is retried at up to maxTargets after lost responses", async () => {
      const result = await run(safe, [lost, lost, lost]);
      expect(result.calls.length).toBe(2);
      expect(result.outcome).toBe("unknown");
    });

    it("is retried when a target does not respond", async () => {
      const result = await run(safe, [hang, () => createResponse(["found"])]);
      expect(result.text).toBe("found");
    });

    it("is retried after an error, and forwards the last error", async () => {
      const failing: Behaviour = () => createResponse(["no"], { status: 500 });
      const served = await run(safe, [
        failing,
        () => createResponse(["found"]),
      ]);
      expect(served).toMatchObject({ status: 200, text: "found" });
      const failed = await run(safe, [failing, failing]);
      expect(failed).toMatchObject({ status: 500, text: "no" });
    });

    // The second body was appended to the part of the first.
    it("is not retried once a part of a large body was sent", async () => {
      const part = "x".repeat(300_000);
      const result = await run(safe, [
        () => createResponse([part, new Error("reset")]),
        () => createResponse([part, "end"]),
      ]);
      expect(result.calls.length).toBe(1);
      expect(result.text).toBe(part);
      expect(result.code).toBe("answer_cut");
    });

    it("keeps the length that a response to HEAD announces", async () => {
      const result = await run(safe, [
        () => createResponse([], { length: 800 }),
      ], { request: { method: "HEAD" } });
      expect(result).toMatchObject({ length: 800, text: "", outcome: "done" });
    });

    it("announces no length for a status without a body", async () => {
      const result = await run(safe, [
        () => createResponse([], { status: 304 }),
      ]);
      expect(result).toMatchObject({ status: 304, length: undefined });
    });

    it("ends without the broken body of an earlier target", async () => {
      const result = await run(safe, [
        () => createResponse(["half", new Error("reset")]),
        () => createResponse(["found"]),
      ]);
      expect(result).toMatchObject({ text: "found", outcome: "done" });
    });

    it("records one failure of a target whose error breaks off", async () => {
      const { outcomes } = await run(safe, [
        () => createResponse(["no", new Error("reset")], { status: 500 }),
      ], { retryCredit: 0 });
      expect(outcomes).toEqual(["failed"]);
    });

    describe("and whose retry waits for a connection", () => {
      const longSafe = createRoute({ kind: "safe", timeoutMs: 20_000 });

      it("counts for the budget when it is sent", async () => {
        const result = await run(longSafe, [lost, async (call) => {
          await new Promise((resolve) => setTimeout(resolve, 15_000));
          call.recordSent?.();
          return createResponse(["done"]);
        }]);
        expect(result.text).toBe("done");
        expect(result.retriesSentAt).toEqual([15_000]);
        expect(result.unsentRetries).toBe(0);
      });

      it("does not count once it is known not to be sent", async () => {
        const result = await run(longSafe, [
          lost,
          () => ({ kind: "withheld", hold: "busy" }),
          () => ({ kind: "withheld", hold: "busy" }),
        ]);
        expect(result.retriesSentAt).toEqual([]);
        expect(result.unsentRetries).toBe(1);
        expect(result.code).toBe("outcome_unknown");
      });
    });

    it("is not retried when the retry budget is spent", async () => {
      const result = await run(safe, [lost], { retryCredit: 0 });
      expect(result.calls.length).toBe(1);
    });
  });

  describe("that crashes the targets that run it", () => {
    it("is not retried after three crashes, over several requests", async () => {
      const crashes = createCrashes();
      const sends: number[] = [];
      for (let time = 0; time < 4; time++) {
        const { calls } = await run(safe, [lost, lost], { crashes });
        sends.push(calls.length);
      }
      expect(sends).toEqual([2, 1, 1, 1]);
    });

    it("is not sent on when one that may run it refuses", async () => {
      const crashes = createCrashes();
      await run(safe, [lost, lost], { crashes });
      await run(safe, [lost], { crashes });
      const { calls, code } = await run(safe, [refused], { crashes });
      expect(calls.length).toBe(1);
      expect(code).toBe("target_full");
    });

    it("is sent on after a target has responded to it", async () => {
      const crashes = createCrashes();
      await run(safe, [lost, lost], { crashes });
      await run(safe, [() => createResponse(["found"])], { crashes });
      const { calls } = await run(safe, [lost, lost], { crashes });
      expect(calls.length).toBe(2);
    });

    it("is not retried when its streams break off", async () => {
      const crashes = createCrashes();
      const broken: Behaviour = () => stream(new Error("crash"));
      const sends: number[] = [];
      for (let time = 0; time < 3; time++) {
        const { calls } = await run(resumable, [broken, broken], { crashes });
        sends.push(calls.length);
      }
      expect(sends).toEqual([2, 1, 1]);
    });
  });

  describe("at which targets have crashed", () => {
    const request = { path: "/draft/deadly" };

    function createQuarantined(route: DirectRoute): Quarantine {
      const quarantine = createTestQuarantine();
      for (const id of ["a", "b", "c"]) {
        quarantine.recordCrash(
          getCrashKeys(createRequest(route, request)),
          createTarget(id, { startedAtMs: 7 }),
          { hasResponseBegun: false, losses: 1, sentAt: performance.now() },
        );
      }
      return quarantine;
    }

    it.each(
      [
        ["safe", safe],
        ["unsafe", unsafe],
        ["stream", fixedStream],
        ["resumable stream", resumable],
      ] as const,
    )("is refused at once and not sent (%s)", async (_kind, route) => {
      const result = await run(route, [], {
        request,
        quarantine: createQuarantined(route),
      });
      expect(result).toMatchObject({
        ...{ outcome: "not_run", code: "request_crashes_targets", calls: [] },
        ...{ retryAfterMs: 5_000, endedAtMs: 0 },
      });
    });

    it("is sent once as its trial, and not retried", async () => {
      const quarantine = createQuarantined(safe);
      jest.advanceTimersByTime(5_000);
      const crashed = await run(safe, [lost], {
        ...{ request, quarantine, hasCrashed: true, durationMs: 1 },
      });
      expect(crashed).toMatchObject({ outcome: "unknown", targets: ["a"] });
      const next = await run(safe, [], { request, quarantine, durationMs: 1 });
      expect(next).toMatchObject({
        code: "request_crashes_targets",
        calls: [],
      });
    });

    it("is served again after a trial that was served", async () => {
      const quarantine = createQuarantined(safe);
      jest.advanceTimersByTime(5_000);
      for (let sent = 0; sent < 2; sent++) {
        const result = await run(safe, [() => createResponse(["done"])], {
          ...{ request, quarantine, durationMs: 1 },
        });
        expect(result.text).toBe("done");
      }
    });

    it("is not sent by its router again once it is quarantined", async () => {
      const quarantine = createTestQuarantine();
      const route = createRoute({ kind: "safe", maxTargets: 5 });
      const result = await run(route, [lost, lost, lost], {
        ...{ request, quarantine, hasCrashed: true, durationMs: 1 },
      });
      expect(result.targets).toHaveLength(3);
      expect(result).toMatchObject({ outcome: "unknown" });
      const next = await run(route, [], { request, quarantine, durationMs: 1 });
      expect(next.code).toBe("request_crashes_targets");
    });

    it("is not quarantined when the targets live on", async () => {
      const quarantine = createTestQuarantine();
      for (let sent = 0; sent < 4; sent++) {
        await run(safe, [lost, spoiled], { request, quarantine });
      }
      expect(quarantine.hasEvidence()).toBe(false);
    });

    // An attempt without a connection was forgotten, its trial repeated.
    it("is kept when its caller leaves it at a target", async () => {
      const aborted: AbortedAttempt[] = [];
      const options = {
        ...{ request, disconnectAfterMs: 100, durationMs: 200 },
        handleAborted: (attempt: AbortedAttempt) => aborted.push(attempt),
      };
      await run(unsafe, [hang], options);
      const quarantine = createQuarantined(safe);
      await jest.advanceTimersByTimeAsync(5_000);
      await run(safe, [hang], { ...options, quarantine });
      expect(aborted).toMatchObject([
        { target: { id: "a" }, sentAt: 0, trialKeys: [] },
        { trialKeys: [{ kind: "request" }] },
      ]);
      const next = await run(safe, [], { ...options, quarantine });
      expect(next.retryAfterMs).toBeGreaterThan(10_000);
    });

    describe("with a part that others have", () => {
      function prompted(own: string) {
        return {
          path: `/draft/${own}`,
          prompt: {
            model: "writer",
            parts: ["shared", own].map((id) => ({ id, tokens: 100 })),
            ...{ promptTokens: 200, maxOutputTokens: 80 },
            hintedOutputTokens: undefined,
          },
        };
      }

      async function runCut(quarantine: Quarantine, events: string) {
        for (let startedAtMs = 1; startedAtMs <= 3; startedAtMs++) {
          await run(fixedStream, [() => stream(events, new Error("closed"))], {
            ...{ quarantine, startedAtMs, hasCrashed: true, durationMs: 1 },
            request: prompted(`own-${startedAtMs}`),
          });
        }
        return await run(fixedStream, [() => stream(event(1))], {
          ...{ quarantine, durationMs: 1 },
          request: prompted("own"),
        });
      }

      it("is refused when they crashed before their first event", async () => {
        const result = await runCut(createTestQuarantine(), "");
        expect(result).toMatchObject({
          ...{ outcome: "not_run", code: "prompt_part_crashes_targets" },
          calls: [],
        });
      });

      it("is served when they crashed after their first event", async () => {
        const result = await runCut(createTestQuarantine(), event(1));
        expect(result).toMatchObject({ outcome: "done", text: event(1) });
      });
    });

    it("is not sent when the quarantine began while it waited", async () => {
      const quarantine = createTestQuarantine();
      const crashElsewhere: Behaviour = ({ tryGetHold }) => {
        for (const id of ["a", "b", "c"]) {
          quarantine.recordCrash(
            getCrashKeys(createRequest(unsafe, request)),
            createTarget(id, { startedAtMs: 7 }),
            { hasResponseBegun: false, losses: 1, sentAt: performance.now() },
          );
        }
        expect(tryGetHold?.()).toBe("quarantined");
        return { kind: "withheld", hold: "quarantined" };
      };
      const result = await run(unsafe, [crashElsewhere], {
        request,
        quarantine,
      });
      expect(result).toMatchObject({
        ...{
          outcome: "not_run",
          code: "request_crashes_targets",
          targets: ["a"],
        },
      });
    });
  });

  describe("that streams", () => {
    it("resumes elsewhere without a missing or repeated event", async () => {
      const result = await run(resumable, [
        () => stream(event(1), `${event(2)}id: 3\nda`, new Error("crash")),
        () => stream(event(3), event(4)),
      ]);
      expect(result.calls[1]?.lastEventId).toBe("2");
      expect(result.text).toBe([1, 2, 3, 4].map(event).join(""));
      expect(result.outcome).toBe("done");
    });

    // Each of these was appended to the events and ended as done.
    for (
      const [name, respond] of Object.entries({
        "an error": () => createResponse(["no"], { status: 500 }),
        "a rejection": () => createResponse(["no"], { status: 404 }),
        "another kind of body": () => createResponse(["{}"]),
        "an empty body": () => createResponse([]),
        "an empty stream": () => stream(),
        "a stream of comments": () => stream(": reading\n\n"),
        "a large body": () => createResponse(["x".repeat(300_000)]),
      })
    ) {
      it(`is not completed by ${name} of the next target`, async () => {
        const result = await run(resumable, [
          () => stream(event(1), event(2), new Error("crash")),
          respond,
        ]);
        expect(result.text.replace(": reading\n\n", ""))
          .toBe(event(1) + event(2));
        expect(result).toMatchObject({ status: 200, code: "answer_cut" });
      });
    }

    it("reports how many bytes its caller has when it is cut", async () => {
      const { message } = await run(fixedStream, [
        () => stream(event(1), new Error("crash")),
      ]);
      expect(message).toBe(
        `The answer ended early after ${event(1).length} bytes`,
      );
    });

    it("resumes at the target behind one that responds an error", async () => {
      const route = { ...resumable, maxTargets: 3 };
      const result = await run(route, [
        () => stream(event(1), new Error("crash")),
        () => createResponse(["no"], { status: 500 }),
        () => stream(event(2)),
      ]);
      expect(result.calls[2]?.lastEventId).toBe("1");
      expect(result.text).toBe(event(1) + event(2));
      expect(result.outcome).toBe("done");
    });

    it("ends without the broken body of an earlier target", async () => {
      const result = await run(resumable, [
        () => createResponse(["half", new Error("reset")]),
        () => stream(event(1)),
      ]);
      expect(result).toMatchObject({ text: event(1), outcome: "done" });
    });

    it("is not sent elsewhere once an event without id has arrived", async () => {
      const result = await run(resumable, [
        () => stream("data: word\n\n", new Error("crash")),
        () => stream(event(1)),
      ]);
      expect(result.calls.length).toBe(1);
      expect(result).toMatchObject({
        text: "data: word\n\n",
        code: "answer_cut",
      });
    });

    it("ends as done when the caller resumes behind the last event", async () => {
      const streamOrigins = createTestStreamOrigins();
      const result = await run(resumable, [() => stream()], {
        request: { lastEventId: "4" },
        streamOrigins,
        onlyVersion: streamOrigins.getVersion(createTarget("a")),
      });
      expect(result).toMatchObject({ text: "", outcome: "done", status: 200 });
    });

    it("passes a caller's last event on where streams cannot resume", async () => {
      const result = await run(fixedStream, [() => stream(event(1))], {
        request: { lastEventId: "4" },
      });
      expect(result.calls[0]?.lastEventId).toBe("4");
      expect(result).toMatchObject({ text: event(1), outcome: "done" });
    });

    // The idle timeout ran while the caller was reading.
    it("does not blame its target for a caller who reads slowly", async () => {
      const route = { ...resumable, maxTargets: 3 };
      const result = await run(route, [abortableStream([event(1), event(2)])], {
        readMs: 5_000,
      });
      expect(result.calls.length).toBe(1);
      expect(result.outcomes).toEqual(["served"]);
      expect(result.text).toBe(event(1) + event(2));
      expect(result.outcome).toBe("done");
    });

    // With two targets allowed, no timer ran once the first had responded.
    it("goes on at its second target when the first stalls", async () => {
      const result = await run({ ...resumable, timeoutMs: 10_000 }, [
        abortableStream([event(1), event(2)], { pauseMs: 3_000 }),
        () => stream(event(2)),
      ]);
      expect(result.outcomes).toEqual(["silent", "served"]);
      expect(result.text).toBe(event(1) + event(2));
    });

    const comments = Array.from({ length: 30 }, () => ": beat\n\n");

    // A comment now and then kept a stalled stream until its deadline.
    it.each([[0, []], [1, [event(1)]]])(
      "is taken from a target that sends comments alone after %i events",
      async (_count, before) => {
        const chunks = [...before, ...comments];
        const result = await run({ ...resumable, timeoutMs: 10_000 }, [
          abortableStream(chunks, { pauseMs: 300 }),
          () => stream(...[event(1), event(2)].slice(before.length)),
        ]);
        expect(result.outcomes).toEqual(["silent", "served"]);
        expect(result.text.replaceAll(": beat\n\n", ""))
          .toBe(event(1) + event(2));
        expect(result.endedAtMs).toBeLessThan(2_500);
      },
    );

    // What brings the caller nothing new must not keep a stalled stream.
    it.each([["one event", event(1)], ["parts of an event", "data: "]])(
      "is taken from a target that sends %s again and again",
      async (_name, repeated) => {
        const repeats = Array.from({ length: 30 }, () => repeated);
        const result = await run({ ...resumable, timeoutMs: 10_000 }, [
          abortableStream([event(1), ...repeats], { pauseMs: 300 }),
          () => stream(event(2)),
        ]);
        expect(result.outcomes).toEqual(["silent", "served"]);
        expect(result.text).toBe(event(1) + event(2));
        expect(result.endedAtMs).toBeLessThan(2_500);
      },
    );

    it("does not blame its target for a caller who reads comments slowly", async () => {
      const chunks = [": beat\n\n", ": beat\n\n", event(1), event(2)];
      const result = await run({ ...resumable, timeoutMs: 60_000 }, [
        abortableStream(chunks),
      ], { readMs: 5_000, durationMs: 60_000 });
      expect(result.outcomes.at(-1)).toBe("served");
      expect(result.calls.length).toBe(1);
      expect(result.text).toBe(chunks.join(""));
    });

    it("is not broken off for a pause when no target can go on", async () => {
      const route = { ...resumable, maxTargets: 3 };
      const chunks = ["data: a\n\n", "data: b\n\n"];
      const result = await run(route, [
        abortableStream(chunks, { pauseMs: 3_000 }),
      ]);
      expect(result).toMatchObject({
        text: chunks.join(""),
        outcome: "done",
        outcomes: ["served"],
      });
    });

    it("ends at its deadline when the caller does not read", async () => {
      const result = await run(fixedStream, [
        abortableStream([event(1), event(2)]),
      ], { readMs: 60_000, durationMs: fixedStream.timeoutMs });
      expect(result).toMatchObject({
        text: event(1),
        code: "deadline_exceeded",
      });
    });

    it("logs what the caller had received before each try", async () => {
      const { logLines } = await run(resumable, [
        () => stream(event(1), event(2), new Error("crash")),
        () => stream(event(3)),
      ]);
      const sentBytes = event(1).length + event(2).length;
      expect(logLines).toMatchObject([
        { message: "Try ended without an answer", sentBytes: 0, status: 200 },
        {
          message: "Stream was resumed at another target",
          isEventStream: true,
          sentBytes,
          lastEventId: "2",
        },
      ]);
    });

    it("records no failure of a target that rejects to resume", async () => {
      const { outcomes } = await run(resumable, [
        () => stream(event(1), new Error("crash")),
        () => createResponse(["no"], { status: 404 }),
      ]);
      expect(outcomes).toEqual(["failed", "served"]);
    });

    it("does not end as done inside an event", async () => {
      const result = await run(fixedStream, [
        () => stream(event(1), "id: 2\nda"),
      ]);
      expect(result).toMatchObject({ text: event(1), outcome: "failed" });
    });

    it("is sent to one target only when it is not resumable", async () => {
      const result = await run(fixedStream, [
        () => stream(event(1), new Error("crash")),
        () => stream(event(2)),
      ]);
      expect(result.calls.length).toBe(1);
      expect(result.outcome).toBe("failed");
    });

    it("is retried when no first event arrives", async () => {
      const result = await run(resumable, [
        hang,
        () => stream(event(1), event(2)),
      ]);
      expect(result.text).toBe([1, 2].map(event).join(""));
    });
  });

  it("is aborted when the caller disconnects", async () => {
    const result = await run(resumable, [hang], { disconnectAfterMs: 100 });
    expect(result.calls[0]?.signal.aborted).toBe(true);
    expect(result.calls.length).toBe(1);
    expect(result.code).toBe("caller_gone");
    expect(result.loads.getOwnLoads().size).toBe(0);
  });

  it("sends targets a deadline within the time left", async () => {
    const result = await run(resumable, [hang, hang], {
      request: { deadlineAt: performance.now() + 3_000 },
    });
    const [first, second] = result.calls;
    expect(first?.deadlineMs).toBeLessThanOrEqual(3_000);
    expect(second?.deadlineMs).toBeLessThanOrEqual(2_100);
  });
});
