import { createCallBudget } from "./call_budget.ts";

describe("call budget", () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it("allows the calls of a second, then returns the delay of the next", () => {
    const budget = createCallBudget(4);
    expect([1, 2, 3, 4].map(() => budget.take())).toEqual([0, 0, 0, 0]);
    expect(budget.take()).toBe(250);
    jest.advanceTimersByTime(250);
    expect(budget.take()).toBe(0);
  });

  it("accumulates at most the calls of one second", () => {
    const budget = createCallBudget(2);
    jest.advanceTimersByTime(60_000);
    expect([1, 2, 3].map(() => budget.take() === 0))
      .toEqual([true, true, false]);
  });
});
