import { createPartPrefills } from "./part_prefills.ts";

const long = { id: "long", tokens: 10_000 };
const short = { id: "short", tokens: 500 };

describe("reads of parts", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("does not hold up a request whose parts nobody reads", async () => {
    const prefills = createPartPrefills();
    prefills.begin("engine-1", [long]);
    await expect(prefills.wait("engine-1", [short], { timeoutMs: 300 }))
      .resolves.toBe(0);
    await expect(prefills.wait("engine-2", [long], { timeoutMs: 300 }))
      .resolves.toBe(0);
  });

  describe("several requests with the same new part", () => {
    it("go on when the first of them has read it", async () => {
      const prefills = createPartPrefills();
      const first = prefills.begin("engine-1", [short, long]);
      const waited = [1, 2, 3].map(() =>
        prefills.wait("engine-1", [short, long], { timeoutMs: 300 })
      );
      await jest.advanceTimersByTimeAsync(140);
      first.finish();
      await expect(Promise.all(waited)).resolves.toEqual([140, 140, 140]);
      await expect(prefills.wait("engine-1", [long], { timeoutMs: 300 }))
        .resolves.toBe(0);
    });

    it("go on at once when the first of them fails", async () => {
      const prefills = createPartPrefills();
      const first = prefills.begin("engine-1", [long]);
      const waited = prefills.wait("engine-1", [long], { timeoutMs: 300 });
      await jest.advanceTimersByTimeAsync(20);
      first.abandon();
      await expect(waited).resolves.toBe(20);
    });

    it("wait no longer than they may", async () => {
      const prefills = createPartPrefills();
      prefills.begin("engine-1", [long]);
      const waited = prefills.wait("engine-1", [long], { timeoutMs: 100 });
      await jest.advanceTimersByTimeAsync(100);
      await expect(waited).resolves.toBe(100);
    });
  });

  describe("a peer's reading", () => {
    it("is over when it should have been read", async () => {
      const prefills = createPartPrefills();
      prefills.recordPeerPrefill("engine-1", long);
      const waited = prefills.wait("engine-1", [long], { timeoutMs: 900 });
      await jest.advanceTimersByTimeAsync(200);
      await expect(waited).resolves.toBe(200);
    });

    it("is judged by the rate that own readings show", async () => {
      const prefills = createPartPrefills();
      for (let index = 0; index < 40; index++) {
        const prefill = prefills.begin("engine-1", [long]);
        await jest.advanceTimersByTimeAsync(100);
        prefill.finish();
      }
      expect(prefills.getTokenPrefillMs()).toBeCloseTo(0.01, 3);
    });
  });
});
