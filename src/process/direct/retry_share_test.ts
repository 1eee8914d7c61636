import { createRetryShare } from "./retry_share.ts";

const allowance = { ratio: 0.2, slack: 56, windowMs: 10_000 };

describe("retry share", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("keeps the fleet within its budget when all routers retry at once", () => {
    const shares = Array.from(
      { length: 5 },
      () => createRetryShare({ getRouterCount: () => 5 }, allowance),
    );
    let requests = 0;
    let retries = 0;
    for (let second = 0; second < 10; second++) {
      for (const share of shares) {
        for (let index = 0; index < 10; index++) {
          share.recordRequest("orders");
          requests++;
          // Every request fails and would be retried three times.
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

  it("is available again after the window", () => {
    const share = createRetryShare({ getRouterCount: () => 40 }, allowance);
    expect(share.trySpend("orders")).toBe(true);
    expect(share.trySpend("orders")).toBe(false);
    jest.advanceTimersByTime(10_001);
    expect(share.trySpend("orders")).toBe(true);
  });

  it("is separate for each service", () => {
    const share = createRetryShare({ getRouterCount: () => 40 }, allowance);
    expect(share.trySpend("orders")).toBe(true);
    expect(share.trySpend("drafts")).toBe(true);
  });
});
