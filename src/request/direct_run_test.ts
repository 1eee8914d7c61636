import {
  createRequest,
  createRoute,
  createTarget,
} from "../../test/support/direct.ts";
import { createCachedParts } from "../process/direct/cached_parts.ts";
import { createPartPrefills } from "../process/direct/part_prefills.ts";
import { createLoadView } from "../process/direct/load_view.ts";
import { createTargetHealth } from "../process/direct/target_health.ts";
import { createTargetTable } from "../process/direct/target_table.ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import { createPlacement } from "../process/placement/placement.ts";
import type { DirectCall, DirectResult } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { Reply, RequestEnd } from "../types/reply.ts";
import type { DirectRoute } from "../types/route_table.ts";
import { runDirect } from "./direct_run.ts";

type Behaviour = (call: DirectCall) => DirectResult | Promise<DirectResult>;

const bytes = (text: string): Uint8Array => Buffer.from(text);
const event = (id: number): string => `id: ${id}\ndata: word\n\n`;

/** An answer whose pieces come in order; an error breaks it off. */
function answer(
  pieces: readonly (string | Error)[],
  options: { readonly status?: number; readonly isEventStream?: boolean } = {},
): DirectResult {
  return {
    kind: "answer",
    head: {
      status: options.status ?? 200,
      headers: [{ name: "signature", value: "target" }],
      isEventStream: options.isEventStream ?? false,
      length: undefined,
      load: undefined,
    },
    body: (async function* () {
      for (const piece of pieces) {
        if (piece instanceof Error) throw piece;
        yield bytes(piece);
      }
    })(),
    drop: () => undefined,
  };
}

const stream = (...pieces: (string | Error)[]): DirectResult =>
  answer(pieces, { isEventStream: true });

/** Never answers; ends when the call is given up. */
function hang(call: DirectCall): Promise<DirectResult> {
  return new Promise((resolve) => {
    call.signal.addEventListener("abort", () => resolve({ kind: "aborted" }));
  });
}

/** Runs one request against targets that behave in turn as told. */
async function run(
  route: DirectRoute,
  behaviours: readonly Behaviour[],
  options: {
    readonly request?: Partial<DirectRequest>;
    readonly repeats?: number;
    readonly goneAfterMs?: number;
    readonly forMs?: number;
    /** Parts that a peer has just sent to an engine to be read. */
    readonly peerReads?: {
      readonly target: string;
      readonly part: PromptPart;
    };
  } = {},
) {
  const calls: DirectCall[] = [];
  const sentAt: number[] = [];
  const startedAt = performance.now();
  const targets = createTargetTable();
  ["a", "b", "c"].forEach((id) => targets.put(createTarget(id)));
  let repeats = options.repeats ?? 10;
  const gone = new AbortController();
  let text = "";
  let status = 0;
  let end: RequestEnd | undefined;
  const reply: Reply = {
    gone: gone.signal,
    start: (head) => {
      status = head.status;
    },
    write: (data) => {
      text += Buffer.from(data).toString();
      return undefined;
    },
    end: (value) => {
      end = value;
    },
  };
  const loads = createLoadView();
  const held = createCachedParts();
  const reads = createPartPrefills();
  if (options.peerReads !== undefined) {
    const { target, part } = options.peerReads;
    held.recordPart(target, part);
    reads.recordPeerPrefill(target, part);
  }
  const running = runDirect(
    {
      calls: {
        send: (call) => {
          calls.push(call);
          sentAt.push(performance.now() - startedAt);
          const behave = behaviours[calls.length - 1] ?? hang;
          return Promise.resolve(behave(call));
        },
        tryListParts: () => Promise.resolve(undefined),
      },
      targets,
      health: createTargetHealth({ log: createSilentLog() }),
      loads,
      held,
      reads,
      placement: createPlacement({
        hash: (key, seed) => key.length * 7 + seed,
      }),
      retries: {
        recordRequest: () => undefined,
        trySpend: () => repeats-- > 0,
      },
      log: createSilentLog(),
      zone: "zone-a",
      loadMultiple: 2,
      random: () => 0.5,
    },
    createRequest(route, options.request),
    reply,
  );
  if (options.goneAfterMs !== undefined) {
    setTimeout(() => gone.abort(), options.goneAfterMs);
  }
  await jest.advanceTimersByTimeAsync(options.forMs ?? 20_000);
  await running;
  return {
    calls,
    sentAt,
    targets: calls.map(({ target }) => target.id),
    text,
    status,
    outcome: end?.outcome,
    code: end?.report?.code ?? "done",
    retryAfterMs: end?.report?.retryAfterMs ?? 0,
    loads,
  };
}

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

describe("a request at targets without agents", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  describe("whose shared part is being read", () => {
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
      goalMs: 800,
    });

    it("is sent to its reader when it has been read", async () => {
      const result = await run(longGoal, [() => stream(event(1))], {
        request: { prompt },
        peerReads: { target: "b", part },
      });
      expect(result.targets).toEqual(["b"]);
      expect(result.sentAt).toEqual([120]);
    });

    it("is sent before its goal is at risk", async () => {
      const slow = { id: "long", tokens: 60_000 };
      const result = await run(fixedStream, [() => stream(event(1))], {
        request: { prompt },
        peerReads: { target: "b", part: slow },
      });
      expect(result.sentAt).toEqual([fixedStream.goalMs * 0.3]);
    });

    it("leaves others alone", async () => {
      const result = await run(fixedStream, [() => stream(event(1))], {
        request: { prompt },
      });
      expect(result.sentAt).toEqual([0]);
    });
  });

  describe("that may run once", () => {
    for (const [name, behaviour] of Object.entries({ lost, spoiled })) {
      it(`is sent to no other target once its answer is ${name}`, async () => {
        const result = await run(unsafe, [behaviour]);
        expect(result.calls.length).toBe(1);
        expect(result.outcome).toBe("unknown");
        expect(result.retryAfterMs).toBe(0);
      });
    }

    it("is not told to be not run after a time-out", async () => {
      const result = await run(unsafe, [hang]);
      expect(result.calls.length).toBe(1);
      expect(result.code).toBe("deadline_exceeded");
    });

    it("moves on with proof that nothing ran", async () => {
      const result = await run(unsafe, [
        refused,
        notSent,
        () => answer(["placed"]),
      ]);
      expect(new Set(result.targets).size).toBe(3);
      expect(result).toMatchObject({ text: "placed", code: "done" });
    });

    it("is told when to come back when all targets refuse", async () => {
      const result = await run(unsafe, [refused, refused, refused]);
      expect(result).toMatchObject({ outcome: "not_run", code: "target_full" });
      expect(result.retryAfterMs).toBeGreaterThan(0);
    });

    it("is unknown when one target lost it and the others refuse", async () => {
      const result = await run(unsafe, [refused, lost]);
      expect(result.outcome).toBe("unknown");
    });

    it("passes an error of the target on as it is", async () => {
      const result = await run(unsafe, [() => answer(["no"], { status: 500 })]);
      expect(result).toMatchObject({ status: 500, text: "no" });
      expect(result.calls.length).toBe(1);
    });

    it("reaches the caller whole or not at all", async () => {
      const result = await run(unsafe, [
        () => answer(["half", new Error("reset")]),
      ]);
      expect(result).toMatchObject({ text: "", outcome: "failed" });
    });
  });

  describe("that may run again", () => {
    it("moves on after a lost answer, within the route's targets", async () => {
      const result = await run(safe, [lost, lost, lost]);
      expect(result.calls.length).toBe(2);
      expect(result.outcome).toBe("unknown");
    });

    it("moves on from a target that stays silent", async () => {
      const result = await run(safe, [hang, () => answer(["found"])]);
      expect(result.text).toBe("found");
    });

    it("moves on from an error, and passes the last one on", async () => {
      const failing: Behaviour = () => answer(["no"], { status: 500 });
      const served = await run(safe, [failing, () => answer(["found"])]);
      expect(served).toMatchObject({ status: 200, text: "found" });
      const failed = await run(safe, [failing, failing]);
      expect(failed).toMatchObject({ status: 500, text: "no" });
    });

    it("stays with its outcome when the repeats are spent", async () => {
      const result = await run(safe, [lost], { repeats: 0 });
      expect(result.calls.length).toBe(1);
    });
  });

  describe("that streams", () => {
    it("goes on at another target without a gap or a repeat", async () => {
      const result = await run(resumable, [
        () => stream(event(1), `${event(2)}id: 3\nda`, new Error("crash")),
        () => stream(event(3), event(4)),
      ]);
      expect(result.calls[1]?.lastEventId).toBe("2");
      expect(result.text).toBe([1, 2, 3, 4].map(event).join(""));
      expect(result.outcome).toBe("done");
    });

    it("is not ended as whole inside an event", async () => {
      const result = await run(fixedStream, [
        () => stream(event(1), "id: 2\nda"),
      ]);
      expect(result).toMatchObject({ text: event(1), outcome: "failed" });
    });

    it("runs at one target where it cannot go on elsewhere", async () => {
      const result = await run(fixedStream, [
        () => stream(event(1), new Error("crash")),
        () => stream(event(2)),
      ]);
      expect(result.calls.length).toBe(1);
      expect(result.outcome).toBe("failed");
    });

    it("moves on when no first event comes", async () => {
      const result = await run(resumable, [
        hang,
        () => stream(event(1), event(2)),
      ]);
      expect(result.text).toBe([1, 2].map(event).join(""));
    });
  });

  it("is given up everywhere when the caller goes", async () => {
    const result = await run(resumable, [hang], { goneAfterMs: 100 });
    expect(result.calls[0]?.signal.aborted).toBe(true);
    expect(result.calls.length).toBe(1);
    expect(result.code).toBe("caller_gone");
    expect(result.loads.getOwnLoads().size).toBe(0);
  });

  it("hands targets no more time than is left", async () => {
    const result = await run(resumable, [hang, hang], {
      request: { deadlineAt: performance.now() + 3_000 },
    });
    const [first, second] = result.calls;
    expect(first?.deadlineMs).toBeLessThanOrEqual(3_000);
    expect(second?.deadlineMs).toBeLessThanOrEqual(2_100);
  });
});
