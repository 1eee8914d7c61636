import {
  createMemoryPlatform,
  type MemoryPlatform,
} from "../../../test/fakes/memory_platform.ts";
import { createSuspectClaims } from "./suspect_claims.ts";

const timeoutMs = 1_000;

describe("suspect claims", () => {
  let platform: MemoryPlatform;

  beforeEach(() => {
    jest.useFakeTimers();
    platform = createMemoryPlatform();
  });

  afterEach(() => jest.useRealTimers());

  async function claim(
    holder: string,
    client: MemoryPlatform = platform.connect(),
  ) {
    const claims = createSuspectClaims({ platform: client }, holder);
    return {
      claims,
      result: await claims.tryClaim("f", { timeoutMs }),
    };
  }

  it("lets one agent of the fleet run a suspect request at a time", async () => {
    const first = await claim("agent-a/1");
    expect(first.result).toBe("claimed");
    expect((await claim("agent-b/1")).result).toBe("taken");
    await first.claims.release("f");
    expect((await claim("agent-b/1")).result).toBe("claimed");
  });

  it("expires the claim of an agent that has stopped", async () => {
    await claim("agent-a/1");
    await jest.advanceTimersByTimeAsync(timeoutMs + 10_000);
    expect((await claim("agent-b/1")).result).toBe("claimed");
  });

  it("recognizes its claim when the write's response was lost", async () => {
    const client = platform.connect();
    client.faults.lostPrefix = "suspect/";
    client.faults.lostAnswers = 1;
    expect((await claim("agent-a/1", client)).result).toBe("claimed");
    expect((await claim("agent-b/1")).result).toBe("taken");
  });

  it("claims nothing while the platform is down", async () => {
    platform.serviceFaults.outage = true;
    expect((await claim("agent-a/1")).result).toBe("unavailable");
  });
});
