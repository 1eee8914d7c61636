import { createBackOff } from "./back_off.ts";

describe("back-off", () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it("doubles the delay with each failure up to the maximum", () => {
    const backOff = createBackOff({ random: () => 1 });
    const delaysMs = Array.from({ length: 7 }, () => {
      backOff.recordFailure();
      const delayMs = backOff.getDelayMs();
      jest.advanceTimersByTime(delayMs);
      return delayMs;
    });
    expect(delaysMs).toEqual([100, 200, 400, 800, 1600, 2000, 2000]);
    backOff.recordSuccess();
    backOff.recordFailure();
    expect(backOff.getDelayMs()).toBe(100);
  });

  it("counts concurrent failures as one", () => {
    const backOff = createBackOff({ random: () => 1 });
    for (let call = 0; call < 50; call++) backOff.recordFailure();
    expect(backOff.getDelayMs()).toBe(100);
  });

  it("spreads the retries of many processes", () => {
    const delaysMs = Array.from({ length: 100 }, (_, index) => {
      const backOff = createBackOff({ random: () => index / 100 });
      backOff.recordFailure();
      return Math.floor(backOff.getDelayMs());
    });
    expect(Math.min(...delaysMs)).toBe(50);
    expect(new Set(delaysMs).size).toBe(50);
  });
});
