import {
  createTargetWatch,
  type HealthReport,
  type HealthState,
  type TargetWatch,
} from "./target_watch.ts";

describe("target watch", () => {
  let state: HealthState;
  let instance: string | undefined;
  let crashes: number;
  let checks: number;
  let watch: TargetWatch;

  beforeEach(async () => {
    jest.useFakeTimers();
    state = "healthy";
    instance = undefined;
    crashes = 0;
    checks = 0;
    watch = createTargetWatch({ checkHealth, onCrash: () => crashes++ });
    await watch.start();
  });

  afterEach(() => {
    watch.stop();
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
    expect(await watch.checkCrash()).toBe(false);
    expect(watch.isUp()).toBe(true);
    expect(crashes).toBe(0);
  });

  it("tells all who lost a connection of one crash", async () => {
    state = "gone";
    const told = await Promise.all([1, 2, 3].map(() => watch.checkCrash()));
    expect(told).toEqual([true, true, true]);
    expect(crashes).toBe(1);
    expect(watch.isUp()).toBe(false);
  });

  it("does not trust a check that was sent before the loss", async () => {
    const before = watch.checkCrash();
    state = "gone";
    expect(await watch.checkCrash()).toBe(true);
    await before;
    expect(crashes).toBe(1);
  });

  it("sees that another run of the target has taken over", async () => {
    instance = "1";
    await watch.checkCrash();
    instance = "2";
    expect(await watch.checkCrash()).toBe(true);
    expect(watch.isUp()).toBe(true);
  });

  it("gives a frozen target no new work and blames nobody", async () => {
    state = "silent";
    await jest.advanceTimersByTimeAsync(5_000);
    expect(watch.isUp()).toBe(false);
    expect(crashes).toBe(0);
    state = "healthy";
    await jest.advanceTimersByTimeAsync(1_000);
    expect(watch.isUp()).toBe(true);
  });

  it("checks no more once it is stopped", async () => {
    watch.stop();
    const before = checks;
    await jest.advanceTimersByTimeAsync(10_000);
    expect(checks).toBe(before);
  });
});
