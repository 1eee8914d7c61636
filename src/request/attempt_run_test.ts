import { createWork } from "../../test/support/request_history.ts";
import { loadBodyDigests } from "../process/attempts/body_digest.ts";
import type {
  AgentCalls,
  AgentEvent,
  AgentEvents,
  Dispatch,
  SettleState,
} from "../types/agent_calls.ts";
import { type AttemptVerdict, runAttempt } from "./attempt_run.ts";
import { createDelivery } from "./delivery.ts";
import { createResponseAssembly } from "./response_assembly.ts";

const head: AgentEvent = { kind: "head", status: 200, headers: [] };

const chunk: AgentEvent = {
  kind: "chunk",
  offset: 0,
  data: Buffer.from("a part"),
};

const refusal: AgentEvent = {
  kind: "refusal",
  code: "target_full",
  retryAfterMs: 0,
  load: 0,
};

describe("an attempt at an agent", () => {
  describe("that contradicts itself", () => {
    // A field that is absent reads as false.
    it("is not proven not to run by a failure without that field", async () => {
      const failure: AgentEvent = {
        kind: "failure",
        code: "target_error",
        mayHaveRun: false,
      };
      expect((await run([failure])).kind).toBe("failed");
      expect((await run([head, chunk, failure])).kind).toBe("failed");
    });

    it.each([[[head]], [[head, chunk]]])(
      "is not proven not to run by a refusal after %j",
      async (events) => {
        expect((await run([...events, refusal], "running")).kind)
          .toBe("unknown");
      },
    );
  });

  it("is proven not to run by a refusal", async () => {
    expect((await run([refusal], "running")).kind).toBe("not_run");
  });
});

/**
 * Follows an attempt whose agent sends the events and then none. It answers the
 * first question for its state, and no later one.
 */
async function run(
  events: readonly AgentEvent[],
  state: SettleState = "no_answer",
): Promise<AttemptVerdict> {
  const states = [state];
  const calls: AgentCalls = {
    run: () => createEvents(events),
    attach: () => createEvents([{ kind: "lost", sent: true }]),
    settle: () => Promise.resolve(states.shift() ?? "no_answer"),
    cancel: () => undefined,
  };
  const dispatch: Dispatch = {
    attempt: { router: "router", routerIncarnation: 1, number: 1 },
    target: { id: "a", address: "127.0.0.1", grpcPort: 1, incarnation: 1 },
    work: createWork({ requestId: "request-1", call: "call-1" }),
    crashes: 0,
    claim: "",
    configurationVersion: 1,
    observedLoads: [],
    silentTargets: 0,
    conversationHash: 0,
    onlyIfHeld: false,
  };
  const response = createResponseAssembly({ digests: await loadBodyDigests() });
  return await runAttempt({ calls, recordContact: () => undefined }, dispatch, {
    response,
    delivery: createDelivery({
      disconnectSignal: new AbortController().signal,
      start: () => undefined,
      write: () => undefined,
      end: () => undefined,
    }),
    signal: new AbortController().signal,
    tryLeave: () => true,
    isGone: () => false,
  });
}

async function* createEvents(events: readonly AgentEvent[]): AgentEvents {
  yield* events;
}
