import { array, assert, asyncProperty, nat } from "fast-check";
import { createCrashView } from "../../../test/fakes/agent_host.ts";
import {
  createAgentParts,
  createRunOrder,
} from "../../../test/fakes/agent_parts.ts";
import { createMemoryPlatform } from "../../../test/fakes/memory_platform.ts";
import { createFakeTarget } from "../../../test/fakes/fake_target.ts";
import type { AttemptService } from "../../request/attempt_service.ts";
import {
  isLastEvent,
  type ResponseEvent,
  type ResponseReader,
} from "../../types/response.ts";
import type { CrashView } from "../../types/view.ts";
import { createCrashQuarantine } from "./crash_quarantine.ts";
import { createSuspectClaims } from "../membership/suspect_claims.ts";

/** Fingerprint of the request that crashes every target that runs it. */
const crasher = "crasher";

const targets = 6;
const slots = 8;

/** Time after which a crash record reaches other agents, in milliseconds. */
const propagationMs = 500;

/** Protections that are enabled. */
interface FleetOptions {
  /** A suspect runs only while no other suspect runs at the same agent. */
  readonly exclusive: boolean;
  /** A suspect runs at only one agent of the fleet at a time. */
  readonly claims: boolean;
}

/** A fleet of agents that share their crash records with a delay. */
interface Fleet {
  /** Sends a request to one target after another until one serves it. */
  send(
    fingerprint: string,
    first: number,
    knownCrashes?: number,
  ): Promise<string>;
  getCrashedTargets(): number;
}

describe("crash quarantine", () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it("limits crashes to two and serves innocent requests", async () => {
    await checkFleets((crashes) => crashes);
  });

  it("does not limit crashes without shared records", async () => {
    const withoutRecords = (crashes: CrashView): CrashView => ({
      ...crashes,
      getCrashes: () => 0,
    });
    await expect(checkFleets(withoutRecords)).rejects.toThrow("Counterexample");
  });

  it("quarantines innocent requests when suspects run together", async () => {
    await expect(checkFleets((crashes) => crashes, {
      exclusive: false,
      claims: true,
    }))
      .rejects.toThrow("Counterexample");
  });

  describe("when several routers retry a request at once", () => {
    /** All routers know of the first crash, but only one agent does. */
    async function countCrashes(claims: boolean): Promise<number> {
      const fleet = createFleet((crashes) => crashes, {
        exclusive: true,
        claims,
      });
      const first = fleet.send(crasher, 0);
      await jest.advanceTimersByTimeAsync(160);
      const retries = [1, 2, 3].map((target) => fleet.send(crasher, target, 1));
      await jest.advanceTimersByTimeAsync(120_000);
      const outcomes = await Promise.all([first, ...retries]);
      expect(outcomes.at(-1)).toBe("request_quarantined");
      return fleet.getCrashedTargets();
    }

    it("limits crashes to two", async () => {
      expect(await countCrashes(true)).toBe(2);
    });

    it("allows more crashes without the claim", async () => {
      expect(await countCrashes(false)).toBeGreaterThan(2);
    });
  });

  it("clears a suspect whose target survived", () => {
    const crashes = createCrashView();
    const quarantine = createCrashQuarantine({ crashes });
    quarantine.recordStart("a", { fingerprint: "f", knownCrashes: 0 });
    expect(quarantine.handleCrash()).toEqual(["f"]);
    expect(quarantine.check("f", 0).kind).toBe("suspect");
    quarantine.recordStart("b", { fingerprint: "f", knownCrashes: 0 });
    quarantine.recordEnd("b", { targetSurvived: true });
    expect(quarantine.check("f", 0).kind).toBe("clean");
  });

  it("does not clear a suspect without a complete response", () => {
    const crashes = createCrashView();
    crashes.recordCrash("f");
    const quarantine = createCrashQuarantine({ crashes });
    quarantine.recordStart("b", { fingerprint: "f", knownCrashes: 0 });
    quarantine.recordEnd("b", { targetSurvived: false });
    expect(quarantine.check("f", 0).kind).toBe("suspect");
  });

  it("counts crashes that only the router knew of", () => {
    const crashes = createCrashView();
    const quarantine = createCrashQuarantine({ crashes });
    quarantine.recordStart("a", { fingerprint: "f", knownCrashes: 1 });
    quarantine.handleCrash();
    expect(crashes.getCrashes("f")).toBe(2);
  });

  it("uses the router's count when it is higher", () => {
    const quarantine = createCrashQuarantine({ crashes: createCrashView() });
    expect(quarantine.check("f", 1).kind).toBe("suspect");
    expect(quarantine.check("f", 2).kind).toBe("quarantined");
  });
});

/** Checks fleets with seeded innocent requests and one crasher sent 4 times. */
async function checkFleets(
  change: (crashes: CrashView) => CrashView,
  options: FleetOptions = { exclusive: true, claims: true },
): Promise<void> {
  const starts = array(nat(400), { minLength: 10, maxLength: 30 });
  await assert(
    asyncProperty(starts, nat(300), async (startsMs, crasherMs) => {
      const fleet = createFleet(change, options);
      const innocentOutcomes = startsMs.map((startMs, index) =>
        after(startMs, () => fleet.send(`i${index}`, index % targets))
      );
      const crasherOutcomes = [0, 1, 2, 3].map((retry) =>
        after(
          crasherMs + retry * 3_000,
          () => fleet.send(crasher, retry % targets),
        )
      );
      await jest.advanceTimersByTimeAsync(120_000);
      expect(fleet.getCrashedTargets()).toBeLessThanOrEqual(2);
      for (const outcome of await Promise.all(innocentOutcomes)) {
        expect(outcome).toBe("end");
      }
      expect((await Promise.all(crasherOutcomes)).at(-1))
        .toBe("request_quarantined");
    }),
    { numRuns: 30, seed: 7 },
  );
}

/** Creates agents whose crash records reach each other after a delay. */
function createFleet(
  change: (crashes: CrashView) => CrashView,
  { exclusive, claims }: FleetOptions,
): Fleet {
  let crashedTargets = 0;
  let number = 0;
  const platform = createMemoryPlatform();
  const records = Array.from({ length: targets }, () => createCrashView());
  const services = records.map((_record, index) => createAgent(index));

  return { send, getCrashedTargets: () => crashedTargets };

  function createAgent(index: number): AttemptService {
    let upAt = 0;
    const target = createFakeTarget(
      ({ requestId }) =>
        requestId.startsWith(crasher)
          ? { delayMs: 150, body: [], end: "crash" }
          : { delayMs: 400, body: ["ok"], end: "whole" },
      { onCrash },
    );
    const parts = createAgentParts(target, {
      slots,
      queueLimit: 64,
      crashes: change(createSharedRecords(index)),
      isQuarantineDisabled: !exclusive,
      suspects: claims
        ? createSuspectClaims(
          { platform: platform.connect() },
          `agent-${index}`,
        )
        : undefined,
      isUp: () => Date.now() >= upAt,
      hasCrashed: () => true,
    });
    return parts.service;

    function onCrash(): void {
      crashedTargets++;
      upAt = Date.now() + 1_000;
      parts.quarantine.handleCrash();
    }
  }

  /** Creates a view that changes at once here and later at other agents. */
  function createSharedRecords(index: number): CrashView {
    const own = records[index] ?? createCrashView();
    return {
      getCrashes: own.getCrashes,
      recordCrash: (fingerprint) => {
        own.recordCrash(fingerprint);
        const crashes = own.getCrashes(fingerprint);
        propagate((other) => {
          while (other.getCrashes(fingerprint) < crashes) {
            other.recordCrash(fingerprint);
          }
        });
      },
      clearCrashes: (fingerprint) => {
        own.clearCrashes(fingerprint);
        propagate((other) => other.clearCrashes(fingerprint));
      },
    };
  }

  function propagate(change: (records: CrashView) => void): void {
    setTimeout(() => records.forEach(change), propagationMs);
  }

  /** Retries at the next target as a router does, with the known crashes. */
  async function send(
    fingerprint: string,
    first: number,
    knownCrashes = 0,
  ): Promise<string> {
    let crashes = knownCrashes;
    let outcome = "";
    for (let turn = 0; turn < 40; turn++) {
      const service = services[(first + turn) % targets];
      if (service === undefined) continue;
      outcome = await run(service, fingerprint, crashes);
      if (outcome === "target_crashed") crashes++;
      if (outcome === "end" || outcome === "request_quarantined") break;
      await after(200, () => Promise.resolve());
    }
    return outcome;
  }

  async function run(
    service: AttemptService,
    fingerprint: string,
    crashes: number,
  ): Promise<string> {
    const order = createRunOrder(++number, { fingerprint, crashes });
    const requestId = `${fingerprint}/${number}`;
    const reader = service.run({ ...order, requestId });
    const last = await readToEnd(reader);
    return last.kind === "refusal" || last.kind === "failure"
      ? last.code
      : last.kind;
  }
}

function readToEnd(reader: ResponseReader): Promise<ResponseEvent> {
  return new Promise((resolve) => {
    reader.onReadable(read);
    read();

    function read(): void {
      for (;;) {
        const event = reader.tryRead();
        if (event === undefined) return;
        if (!isLastEvent(event)) continue;
        reader.close();
        return resolve(event);
      }
    }
  });
}

async function after<Value>(
  ms: number,
  action: () => Promise<Value>,
): Promise<Value> {
  await new Promise((resolve) => setTimeout(resolve, ms));
  return await action();
}
