import {
  createMemoryPlatform,
  type MemoryPlatform,
} from "../../test/fakes/memory_platform.ts";
import {
  createClaimLeases,
  minClaimLifetimeMs,
} from "../process/attempts/claim_leases.ts";
import type { PlacedAttempt } from "../types/agent_calls.ts";
import {
  type ClaimHost,
  createClaimRecord,
  getClaimKey,
  writeClaim,
} from "./claim.ts";
import { createWork } from "../../test/support/request_history.ts";

const key = "claim/1";

function createPlacedAttempt(number: number): PlacedAttempt {
  return {
    attempt: { router: "router-a", routerIncarnation: 1, number },
    target: {
      id: "target-a",
      address: "127.0.0.1",
      grpcPort: 1,
      incarnation: 1,
    },
  };
}

function createClaimWrite(number: number) {
  return {
    key,
    record: createClaimRecord(createPlacedAttempt(number), "print"),
  };
}

function createHost(platform: MemoryPlatform): ClaimHost {
  return { platform, leases: createClaimLeases({ platform }) };
}

describe("claims", () => {
  let platform: MemoryPlatform;
  let host: ClaimHost;

  beforeEach(() => {
    jest.useFakeTimers();
    platform = createMemoryPlatform();
    host = createHost(platform);
    platform.faults.lostPrefix = "claim/";
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  async function write(...args: Parameters<typeof writeClaim>) {
    const result = writeClaim(...args);
    await jest.advanceTimersByTimeAsync(2_000);
    return await result;
  }

  it("detects that a write with a lost response took effect", async () => {
    platform.faults.lostAnswers = 1;
    expect((await write(host, createClaimWrite(1))).kind).toBe("mine");
    expect(platform.store.get(key)).toBeDefined();
  });

  it("retries a write when the request was lost", async () => {
    platform.faults.lostRequests = 2;
    expect((await write(host, createClaimWrite(1))).kind).toBe("mine");
  });

  it("returns the existing claim to a later attempt", async () => {
    await write(host, createClaimWrite(1));
    const late = await write(createHost(platform), createClaimWrite(2));
    expect(late.kind).toBe("theirs");
  });

  it("lets one of two concurrent takeovers win", async () => {
    const first = await write(host, createClaimWrite(1));
    if (first.kind === "unavailable") throw new Error("There is no claim");
    const results = await Promise.all([
      write(createHost(platform), createClaimWrite(2), first.claim),
      write(createHost(platform), createClaimWrite(3), first.claim),
    ]);
    expect(results.map(({ kind }) => kind).sort()).toEqual(["mine", "theirs"]);
  });

  it("reports an outage of the platform at once", async () => {
    platform.faults.outage = true;
    const result = await writeClaim(host, createClaimWrite(1));
    expect(result.kind).toBe("unavailable");
  });

  it("uses a new lease when the platform has ended the old one", async () => {
    await write(host, createClaimWrite(1));
    const lease = (await host.leases.getLease()).extract();
    platform.store.endLease(String(lease));
    expect((await write(host, createClaimWrite(2))).kind).toBe("mine");
  });

  it("keeps a claim for its window and then lets it expire", async () => {
    await write(host, createClaimWrite(1));
    await jest.advanceTimersByTimeAsync(minClaimLifetimeMs - 2_000);
    expect(platform.store.get(key)).toBeDefined();
    await jest.advanceTimersByTimeAsync(2 * minClaimLifetimeMs);
    expect(platform.store.get(key)).toBeUndefined();
  });

  it("creates one lease for many claims", async () => {
    for (let number = 1; number <= 5; number++) {
      await write(host, {
        ...createClaimWrite(number),
        key: `claim/${number}`,
      });
    }
    expect(platform.getCalls().writes).toBe(6);
  });

  it("uses different keys per workspace and service", () => {
    const work = createWork({
      requestId: "request-1",
      call: "call-1",
      idempotencyKey: "k",
    });
    const keys = [
      getClaimKey(work),
      getClaimKey({ ...work, workspace: "other" }),
      getClaimKey({ ...work, service: "other" }),
      getClaimKey({ ...work, idempotencyKey: "other" }),
    ];
    expect(new Set(keys).size).toBe(4);
  });
});
