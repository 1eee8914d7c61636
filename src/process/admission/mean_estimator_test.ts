import { createMeanEstimator, type MeanEstimator } from "./mean_estimator.ts";

const targets = 4;

describe("mean estimator", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("returns this target's load before any report", () => {
    expect(create().get(targets, 300).mean).toBe(300);
  });

  it("is exact when all peers report", () => {
    const estimator = create();
    report(estimator, [100, 200, 300]);
    expect(estimator.get(targets, 400).mean).toBe(250);
  });

  it("keeps its value when reports are missing and returns their age", () => {
    const estimator = create();
    report(estimator, [100, 200, 300]);
    jest.advanceTimersByTime(60_000);
    expect(estimator.get(targets, 400)).toEqual({
      mean: 250,
      targets,
      ageMs: 60_000,
    });
  });

  it("does not change when half of the reports are missing", () => {
    const estimator = create();
    report(estimator, [100, 100, 100]);
    jest.advanceTimersByTime(1_900);
    estimator.recordReport("agent-0", { load: 100, mean: 0 });
    jest.advanceTimersByTime(500);
    expect(estimator.get(targets, 100).mean).toBe(100);
    // A naive estimate counts a missing report as an idle target.
    const naive = (100 + 100) / targets;
    expect(naive).toBe(50);
  });

  it("removes the report of a target that no longer serves", () => {
    const estimator = create();
    report(estimator, [100, 100, 700]);
    estimator.removeReport("agent-2");
    expect(estimator.get(3, 100).mean).toBe(100);
  });
});

function create(): MeanEstimator {
  return createMeanEstimator({ windowMs: 2_000, peerMeanWeight: 0 });
}

function report(estimator: MeanEstimator, loads: readonly number[]): void {
  loads.forEach((load, index) =>
    estimator.recordReport(`agent-${index}`, { load, mean: 0 })
  );
}
