import { createMean, type Mean } from "./mean_estimate.ts";

const targets = 4;

describe("mean estimate", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("is the own load before any report", () => {
    expect(create().get(targets, 300).mean).toBe(300);
  });

  it("is exact when all peers report", () => {
    const mean = create();
    report(mean, [100, 200, 300]);
    expect(mean.get(targets, 400).mean).toBe(250);
  });

  it("is held when reports are missing, with their age", () => {
    const mean = create();
    report(mean, [100, 200, 300]);
    jest.advanceTimersByTime(60_000);
    expect(mean.get(targets, 400)).toEqual({
      mean: 250,
      targets,
      ageMs: 60_000,
    });
  });

  it("stays when half of the reports are missing", () => {
    const mean = create();
    report(mean, [100, 100, 100]);
    jest.advanceTimersByTime(1_900);
    mean.note("agent-0", { load: 100, mean: 0 });
    jest.advanceTimersByTime(500);
    expect(mean.get(targets, 100).mean).toBe(100);
    // The naive version takes a missing report as an idle target.
    const naive = (100 + 100) / targets;
    expect(naive).toBe(50);
  });

  it("forgets a target that serves no more", () => {
    const mean = create();
    report(mean, [100, 100, 700]);
    mean.forget("agent-2");
    expect(mean.get(3, 100).mean).toBe(100);
  });
});

function create(): Mean {
  return createMean({ windowMs: 2_000, peerMeanWeight: 0 });
}

function report(mean: Mean, loads: readonly number[]): void {
  loads.forEach((load, index) =>
    mean.note(`agent-${index}`, { load, mean: 0 })
  );
}
