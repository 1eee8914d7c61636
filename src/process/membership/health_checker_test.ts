import {
  createHealthChecker,
  type HealthChecker,
  type HealthReport,
  type HealthState,
} from "./health_checker.ts";

describe("target watch", () => {
  let state: HealthState;
  let instance: string | undefined;
  let crashes: number;
  let checks: number;
  let checker: HealthChecker;

  beforeEach(async () => {
    jest.useFakeTimers();
    state = "healthy";
    instance = undefined;
    crashes = 0;
    checks = 0;
    checker = createHealthChecker({ checkHealth, onCrash: () => crashes++ });
    await checker.start();
  });

  afterEach(() => {
    checker.stop();
    jest.useRealTimers();
  });

  /** The state is that of the moment at which the check was sent. */
  async function checkHealth(): Promise<HealthReport> {
    checks++;
    const report = { state, instance };
    await Promise.resolve();
    return report;
  }

  it("does not take one lost connection for a crash", async () => {
    expect(await checker.checkCrash()).toBe(false);
    expect(checker.isUp()).toBe(true);
    expect(crashes).toBe(0);
  });

  it("tells all who lost a connection of one crash", async () => {
    state = "gone";
    const results = await Promise.all(
      [1, 2, 3].map(() => checker.checkCrash()),
    );
    expect(results).toEqual([true, true, true]);
    expect(crashes).toBe(1);
    expect(checker.isUp()).toBe(false);
  });

  it("does not trust a check that was sent before the loss", async () => {
    const earlierCheck = checker.checkCrash();
    state = "gone";
    expect(await checker.checkCrash()).toBe(true);
    await earlierCheck;
    expect(crashes).toBe(1);
  });

  it("sees that another run of the target has taken over", async () => {
    instance = "1";
    await checker.checkCrash();
    instance = "2";
    expect(await checker.checkCrash()).toBe(true);
    expect(checker.isUp()).toBe(true);
  });

  it("gives a frozen target no new work and blames nobody", async () => {
    state = "silent";
    await jest.advanceTimersByTimeAsync(5_000);
    expect(checker.isUp()).toBe(false);
    expect(crashes).toBe(0);
    state = "healthy";
    await jest.advanceTimersByTimeAsync(1_000);
    expect(checker.isUp()).toBe(true);
  });

  it("checks no more once it is stopped", async () => {
    checker.stop();
    const checksBefore = checks;
    await jest.advanceTimersByTimeAsync(10_000);
    expect(checks).toBe(checksBefore);
  });
});
