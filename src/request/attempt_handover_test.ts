import {
  createFakeTargets,
  type Delivery,
  type FakeTargets,
} from "../../test/fakes/fake_targets.ts";
import { createEventQueue } from "../../test/fakes/event_queue.ts";
import { createMemoryPlatform } from "../../test/fakes/memory_platform.ts";
import {
  createCaller,
  createRequestHost,
  createWork,
  findViolations,
  type Libraries,
  service,
  type TestCaller,
} from "../../test/support/request_history.ts";
import { loadBodyDigests } from "../process/attempts/body_digest.ts";
import { loadPlacementHost } from "../process/placement/placement.ts";
import type { AgentCalls, AgentEvents } from "../types/agent_calls.ts";
import type { Member } from "../types/member.ts";
import type { Work } from "../types/work.ts";
import type { RequestHost, RequestSummary } from "./request_host.ts";
import { runRequest } from "./request_run.ts";
import { createRouting } from "./routing.ts";

const ids = ["target-a", "target-b", "target-c"];

/** The connection is lost after one event, and one question has no answer. */
const unanswered: readonly Delivery[] = [
  { fault: "cut", delayMs: 1, events: 1 },
  { fault: "lost", delayMs: 1, events: 0 },
];

// Attempts that ran were given up before it was known that a next one starts.
describe("an attempt whose agent does not answer", () => {
  let libraries: Libraries;
  let targets: FakeTargets;
  let host: RequestHost;
  let work: Work;
  let caller: TestCaller;
  let summary: RequestSummary | undefined;

  beforeAll(async () => {
    libraries = {
      digests: await loadBodyDigests(),
      placement: await loadPlacementHost(),
    };
  });

  beforeEach(() => {
    jest.useFakeTimers();
    summary = undefined;
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  describe("of a call that may run again", () => {
    it("is left for another target", async () => {
      prepare(unanswered);
      await run();
      expect(caller.end()?.outcome).toBe("done");
      expect(targets.runs).toHaveLength(2);
    });

    it("goes on when the retries are spent", async () => {
      prepare(unanswered);
      await run({ retries: { ...host.retries, trySpend: () => false } });
      expect(caller.end()?.outcome).toBe("done");
      expect(targets.runs).toHaveLength(1);
    });

    it("goes on when no other target is left", async () => {
      prepare(unanswered);
      const [only] = targets.getMembers();
      const getAvailableAgents = () => only === undefined ? [] : [only];
      await run({ members: { ...host.members, getAvailableAgents } });
      expect(caller.end()?.outcome).toBe("done");
      expect(targets.runs).toHaveLength(1);
    });

    it("goes on when it is the last target, which leaves", async () => {
      prepare(unanswered);
      const members = [...targets.getMembers()];
      setTimeout(() => members.splice(0), 2);
      await run({
        members: { ...host.members, getAvailableAgents: () => members },
      });
      expect(caller.end()?.outcome).toBe("done");
      expect(targets.runs).toHaveLength(1);
    });

    it("goes on when all others refuse the request", async () => {
      prepare(unanswered);
      refuseElsewhere();
      await run();
      expect(caller.end()?.outcome).toBe("done");
      expect(targets.runs).toHaveLength(1);
      expect(summary?.decision?.["verdicts"])
        .toMatch(/^unknown (not_run:target_full )+done$/);
    });

    it("goes on when the next one fails at once", async () => {
      prepare(unanswered);
      let runs = 0;
      let granted = 0;
      await run({
        calls: {
          ...targets.calls,
          run: (dispatch, onSent) => {
            if (++runs === 1) return targets.calls.run(dispatch, onSent);
            onSent?.();
            const queue = createEventQueue();
            setTimeout(
              () =>
                queue.push({
                  kind: "failure",
                  code: "target_crashed",
                  mayHaveRun: true,
                }),
              5,
            );
            return queue.events;
          },
        },
        retries: { ...host.retries, trySpend: () => granted++ < 1 },
      });
      expect(caller.end()?.outcome).toBe("done");
      expect(runs).toBe(2);
    });

    it("goes on when the others take their time to refuse", async () => {
      const late: Delivery = { fault: "none", delayMs: 150, events: 0 };
      prepare([...unanswered, late, late]);
      refuseElsewhere();
      await run();
      expect(caller.end()?.outcome).toBe("done");
      expect(targets.runs).toHaveLength(1);
    });

    it("never runs for 400 ms beside the next one", async () => {
      prepare(unanswered);
      // The next agent takes the request, but sends nothing for a while.
      setTimeout(() => {
        targets.behaviour.queueDelayMs = 1_000;
      }, 5);
      const sentAt: number[] = [];
      const cancelledAt: number[] = [];
      const calls: AgentCalls = {
        ...targets.calls,
        run: (dispatch, onSent) => {
          sentAt.push(Date.now());
          return targets.calls.run(dispatch, onSent);
        },
        cancel: (placed) => {
          cancelledAt.push(Date.now());
          targets.calls.cancel(placed);
        },
      };
      await run({ calls });
      const [, next = Infinity] = sentAt;
      expect(cancelledAt[0]).toBeLessThan(next + 400);
      expect(cancelledAt[0]).toBeGreaterThanOrEqual(next);
    });

    it("ends at once when its process has ended", async () => {
      prepare([
        ...unanswered,
        ...Array.from({ length: 20 }, () => unanswered[1] as Delivery),
      ]);
      const tryGetMember = (id: string): Member | undefined => {
        const member = host.members.tryGetMember(id);
        return member && { ...member, state: "dead" };
      };
      await run({
        members: { ...host.members, tryGetMember },
        retries: { ...host.retries, trySpend: () => false },
      });
      expect(caller.end()?.report?.code).toBe("outcome_unknown");
      expect(caller.durationMs()).toBeLessThan(100);
      expect(summary?.decision).toMatchObject({ heldBy: "retry_budget" });
    });
  });

  it("of a call that may not run again is asked for until it answers", async () => {
    prepare([
      unanswered[0] as Delivery,
      ...Array.from({ length: 6 }, () => unanswered[1] as Delivery),
    ], { repeatable: false });
    await run();
    expect(caller.end()?.outcome).toBe("done");
    expect(targets.runs).toHaveLength(1);
  });

  describe("for long, as its connections are lost", () => {
    const answered: Delivery = { fault: "none", delayMs: 1, events: 0 };

    it.each([
      ["after each event", 2],
      ["without a new event", 1],
    ])("of a stream is read to its end, %s", async (_name, events) => {
      const cut: Delivery = { fault: "cut", delayMs: 1, events };
      prepare([
        { fault: "cut", delayMs: 1, events: 2 },
        ...Array.from({ length: 6 }, () => [answered, cut]).flat(),
      ]);
      targets.behaviour.usesStreams = true;
      await run();
      expect(caller.end()?.outcome).toBe("done");
      expect(targets.runs).toHaveLength(1);
    });

    it("is given up when each response of it is corrupt", async () => {
      const crossed: Delivery = { fault: "crossed", delayMs: 1, events: 0 };
      prepare([
        crossed,
        ...Array.from({ length: 20 }, () => [answered, crossed]).flat(),
      ], { repeatable: false });
      await run();
      expect(caller.end()?.report?.code).toBe("outcome_unknown");
      expect(caller.durationMs()).toBeLessThan(5_000);
    });
  });

  // Requests that waited at an agent lost their connections without a response.
  it.each([
    ["is refused while it waits", 20_000, "not_run", 0],
    ["goes on while it runs", 0, "done", 1],
  ])(
    "at the end of the router's grace period, %s",
    async (_name, queueDelayMs, outcome, runs) => {
      prepare([], { deadlineAt: Date.now() + 10_000 });
      targets.behaviour.queueDelayMs = queueDelayMs;
      const closing = new AbortController();
      setTimeout(() => closing.abort(), 100);
      await run({ closingSignal: closing.signal });
      expect(caller.end()?.outcome).toBe(outcome);
      expect(targets.runs).toHaveLength(runs);
      expect(caller.durationMs()).toBeLessThan(500);
    },
  );

  // Questions to the agent went on for up to 5 s after the deadline.
  it.each([[true, 50], [false, 50], [true, 5_000], [false, 5_000]])(
    "ends in time at the deadline, repeatable %s, lost after %i ms",
    async (repeatable, lostAfterMs) => {
      const deadlineMs = 400;
      prepare([], { repeatable, deadlineAt: Date.now() + deadlineMs });
      targets.behaviour.queueDelayMs = 10_000;
      const settle = () => sleep(1_500).then(() => "no_answer" as const);
      const open = (): AgentEvents => {
        const queue = createEventQueue();
        void sleep(lostAfterMs).then(() =>
          queue.push({ kind: "lost", sent: true })
        );
        return queue.events;
      };
      const calls = { ...targets.calls, run: open, attach: open, settle };
      await run({ calls });
      expect(caller.end()?.outcome).not.toBe("not_run");
      expect(caller.durationMs()).toBeLessThanOrEqual(deadlineMs + 300);
    },
  );

  /** Prepares one router, three targets and a call that may run again. */
  function prepare(
    deliveries: readonly Delivery[],
    fields: Partial<Work> = {},
  ): void {
    targets = createFakeTargets(libraries, { ids, service, deliveries });
    targets.behaviour.chunkIntervalMs = 50;
    host = createRequestHost(libraries, {
      id: "router-a",
      targets,
      platform: createMemoryPlatform(),
    });
    work = createWork({
      requestId: "request-1",
      call: "call-1",
      repeatable: true,
      ...fields,
    });
  }

  function refuseElsewhere(): void {
    const first = createRouting(host, work).tryGetNext()?.member.id;
    for (const id of ids) {
      if (id !== first) targets.behaviour.refusalCodes.set(id, "target_full");
    }
  }

  async function run(changes: Partial<RequestHost> = {}): Promise<void> {
    caller = createCaller(targets, work);
    void runRequest({ ...host, ...changes }, work, caller.reply)
      .then((value) => {
        summary = value;
      });
    await jest.advanceTimersByTimeAsync(60_000);
    expect(findViolations(targets, [caller])).toEqual([]);
  }
});

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
