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
    let retries = 0;
    for (let second = 0; second < 10; second++) {
      for (const share of shares) {
        for (let index = 0; index < 10; index++) {
          share.recordRequest("orders");
          requests++;
          // Everything fails, and each failure asks for three repeats.
          for (let attempt = 0; attempt < 3; attempt++) {
            if (share.trySpend("orders")) retries++;
          }
        }
      }
      jest.advanceTimersByTime(900);
    }
    expect(retries).toBeLessThanOrEqual(
      allowance.ratio * requests + allowance.slack,
    );
    expect(retries).toBeGreaterThan(requests * 0.2);
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
