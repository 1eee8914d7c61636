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

/** Time in which a crash record reaches the other agents, in milliseconds. */
const spreadMs = 500;

/** Parts of the quarantine that are on. */
interface FleetOptions {
  /** Suspects run while no other suspect runs at the same agent. */
  readonly alone: boolean;
  /** A suspect runs at one agent of the fleet at a time. */
  readonly claims: boolean;
}

/** A fleet of agents that share their crash records with a delay. */
interface Fleet {
  /** Sends a request to targets in turn until one serves it. */
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

  it("costs two targets at most and serves the innocent", async () => {
    await checkFleets((crashes) => crashes);
  });

  it("costs every target without shared records", async () => {
    const forgetful = (crashes: CrashView): CrashView => ({
      ...crashes,
      getCrashes: () => 0,
    });
    await expect(checkFleets(forgetful)).rejects.toThrow("Counterexample");
  });

  it("holds innocents back when suspects run together", async () => {
    await expect(checkFleets((crashes) => crashes, {
      alone: false,
      claims: true,
    }))
      .rejects.toThrow("Counterexample");
  });

  describe("sent again through several routers at once", () => {
    /** All routers know of the first crash, no agent but one does. */
    async function countCrashes(claims: boolean): Promise<number> {
      const fleet = createFleet((crashes) => crashes, { alone: true, claims });
      const first = fleet.send(crasher, 0);
      await jest.advanceTimersByTimeAsync(160);
      const resends = [1, 2, 3].map((target) => fleet.send(crasher, target, 1));
      await jest.advanceTimersByTimeAsync(120_000);
      const outcomes = await Promise.all([first, ...resends]);
      expect(outcomes.at(-1)).toBe("request_quarantined");
      return fleet.getCrashedTargets();
    }

    it("costs two targets at most", async () => {
      expect(await countCrashes(true)).toBe(2);
    });

    it("costs more without the claim", async () => {
      expect(await countCrashes(false)).toBeGreaterThan(2);
    });
  });

  it("clears a suspect whose target lived", () => {
    const crashes = createCrashView();
    const quarantine = createCrashQuarantine({ crashes });
    quarantine.enter("a", { fingerprint: "f", knownCrashes: 0 });
    expect(quarantine.noteCrash()).toEqual(["f"]);
    expect(quarantine.check("f", 0).kind).toBe("suspect");
    quarantine.enter("b", { fingerprint: "f", knownCrashes: 0 });
    quarantine.leave("b", { lived: true });
    expect(quarantine.check("f", 0).kind).toBe("clean");
  });

  it("does not clear what a target did not answer whole", () => {
    const crashes = createCrashView();
    crashes.recordCrash("f");
    const quarantine = createCrashQuarantine({ crashes });
    quarantine.enter("b", { fingerprint: "f", knownCrashes: 0 });
    quarantine.leave("b", { lived: false });
    expect(quarantine.check("f", 0).kind).toBe("suspect");
  });

  it("counts the crashes that only the router knew of", () => {
    const crashes = createCrashView();
    const quarantine = createCrashQuarantine({ crashes });
    quarantine.enter("a", { fingerprint: "f", knownCrashes: 1 });
    quarantine.noteCrash();
    expect(crashes.getCrashes("f")).toBe(2);
  });

  it("believes a router that knows of more crashes", () => {
    const quarantine = createCrashQuarantine({ crashes: createCrashView() });
    expect(quarantine.check("f", 1).kind).toBe("suspect");
    expect(quarantine.check("f", 2).kind).toBe("condemned");
  });
});

/** Seeded loads of innocents with one crasher that is sent again and again. */
async function checkFleets(
  change: (crashes: CrashView) => CrashView,
  options: FleetOptions = { alone: true, claims: true },
): Promise<void> {
  const starts = array(nat(400), { minLength: 10, maxLength: 30 });
  await assert(
    asyncProperty(starts, nat(300), async (startsMs, crasherMs) => {
      const fleet = createFleet(change, options);
      const innocents = startsMs.map((startMs, index) =>
        after(startMs, () => fleet.send(`i${index}`, index % targets))
      );
      const crashers = [0, 1, 2, 3].map((resend) =>
        after(
          crasherMs + resend * 3_000,
          () => fleet.send(crasher, resend % targets),
        )
      );
      await jest.advanceTimersByTimeAsync(120_000);
      expect(fleet.getCrashedTargets()).toBeLessThanOrEqual(2);
      for (const outcome of await Promise.all(innocents)) {
        expect(outcome).toBe("end");
      }
      expect((await Promise.all(crashers)).at(-1))
        .toBe("request_quarantined");
    }),
    { numRuns: 30, seed: 7 },
  );
}

/** Agents whose crash records reach each other after a while. */
function createFleet(
  change: (crashes: CrashView) => CrashView,
  { alone, claims }: FleetOptions,
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
      isQuarantineDisabled: !alone,
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
      parts.quarantine.noteCrash();
    }
  }

  /** Each change is seen at once here and later everywhere else. */
  function createSharedRecords(index: number): CrashView {
    const own = records[index] ?? createCrashView();
    return {
      getCrashes: own.getCrashes,
      recordCrash: (fingerprint) => {
        own.recordCrash(fingerprint);
        const crashes = own.getCrashes(fingerprint);
        spread((other) => {
          while (other.getCrashes(fingerprint) < crashes) {
            other.recordCrash(fingerprint);
          }
        });
      },
      clearCrashes: (fingerprint) => {
        own.clearCrashes(fingerprint);
        spread((other) => other.clearCrashes(fingerprint));
      },
    };
  }

  function spread(change: (records: CrashView) => void): void {
    setTimeout(() => records.forEach(change), spreadMs);
  }

  /** What a router does: on to the next target, knowing the crashes. */
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
