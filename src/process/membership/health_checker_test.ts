import {
  createHealthChecker,
  type HealthChecker,
  type HealthReport,
  type HealthState,
} from "./health_checker.ts";

describe("health checker", () => {
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

  /** Reports the state at the time at which the check was sent. */
  async function checkHealth(): Promise<HealthReport> {
    checks++;
    const report = { state, instance };
    await Promise.resolve();
    return report;
  }

  it("does not treat one lost connection as a crash", async () => {
    expect(await checker.checkCrash()).toBe(false);
    expect(checker.isUp()).toBe(true);
    expect(crashes).toBe(0);
  });

  it("reports one crash to all callers that lost a connection", async () => {
    state = "gone";
    const results = await Promise.all(
      [1, 2, 3].map(() => checker.checkCrash()),
    );
    expect(results).toEqual([true, true, true]);
    expect(crashes).toBe(1);
    expect(checker.isUp()).toBe(false);
  });

  it("ignores a check that was sent before the loss", async () => {
    const earlierCheck = checker.checkCrash();
    state = "gone";
    expect(await checker.checkCrash()).toBe(true);
    await earlierCheck;
    expect(crashes).toBe(1);
  });

  // An agent that stops closes its connections to the target itself. Requests that
  // are still running then counted as in flight at a crash, and after two stops
  // they were held back.
  it("takes connections that its own process closes for no crash", async () => {
    checker.stop();
    state = "gone";
    expect(await checker.checkCrash()).toBe(false);
    expect(crashes).toBe(0);
  });

  it("detects a restart by a changed instance", async () => {
    instance = "1";
    await checker.checkCrash();
    instance = "2";
    expect(await checker.checkCrash()).toBe(true);
    expect(checker.isUp()).toBe(true);
  });

  it("marks a frozen target down without a crash", async () => {
    state = "silent";
    await jest.advanceTimersByTimeAsync(5_000);
    expect(checker.isUp()).toBe(false);
    expect(crashes).toBe(0);
    state = "healthy";
    await jest.advanceTimersByTimeAsync(1_000);
    expect(checker.isUp()).toBe(true);
  });

  it("stops checking after stop", async () => {
    checker.stop();
    const checksBefore = checks;
    await jest.advanceTimersByTimeAsync(10_000);
    expect(checks).toBe(checksBefore);
  });
});
