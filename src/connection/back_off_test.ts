import { createBackOff } from "./back_off.ts";

describe("back-off", () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it("doubles the pause with each failure up to its limit", () => {
    const backOff = createBackOff({ random: () => 1 });
    const pauses = Array.from({ length: 7 }, () => {
      backOff.noteFailure();
      const pause = backOff.getWaitMs();
      jest.advanceTimersByTime(pause);
      return pause;
    });
    expect(pauses).toEqual([100, 200, 400, 800, 1600, 2000, 2000]);
    backOff.noteSuccess();
    backOff.noteFailure();
    expect(backOff.getWaitMs()).toBe(100);
  });

  it("counts calls that fail together as one failure", () => {
    const backOff = createBackOff({ random: () => 1 });
    for (let call = 0; call < 50; call++) backOff.noteFailure();
    expect(backOff.getWaitMs()).toBe(100);
  });

  it("spreads the return of many processes", () => {
    const pauses = Array.from({ length: 100 }, (_, index) => {
      const backOff = createBackOff({ random: () => index / 100 });
      backOff.noteFailure();
      return Math.floor(backOff.getWaitMs());
    });
    expect(Math.min(...pauses)).toBe(50);
    expect(new Set(pauses).size).toBe(50);
  });
});
