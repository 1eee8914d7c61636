import { createRetryShare } from "./retry_share.ts";

const allowance = { ratio: 0.2, slack: 56, windowMs: 10_000 };

describe("the share of repeats", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("adds up to the fleet's allowance when all repeat at once", () => {
    const shares = Array.from(
      { length: 5 },
      () => createRetryShare({ getRouters: () => 5 }, allowance),
    );
    let requests = 0;
    let repeats = 0;
    for (let second = 0; second < 10; second++) {
      for (const share of shares) {
        for (let one = 0; one < 10; one++) {
          share.noteRequest("orders");
          requests++;
          // Everything fails, and each failure asks for three repeats.
          for (let ask = 0; ask < 3; ask++) {
            if (share.trySpend("orders")) repeats++;
          }
        }
      }
      jest.advanceTimersByTime(900);
    }
    expect(repeats).toBeLessThanOrEqual(
      allowance.ratio * requests + allowance.slack,
    );
    expect(repeats).toBeGreaterThan(requests * 0.2);
  });

  it("is given again after the window", () => {
    const share = createRetryShare({ getRouters: () => 40 }, allowance);
    expect(share.trySpend("orders")).toBe(true);
    expect(share.trySpend("orders")).toBe(false);
    jest.advanceTimersByTime(10_001);
    expect(share.trySpend("orders")).toBe(true);
  });

  it("is kept for each service apart", () => {
    const share = createRetryShare({ getRouters: () => 40 }, allowance);
    expect(share.trySpend("orders")).toBe(true);
    expect(share.trySpend("drafts")).toBe(true);
  });
});
