import { createLoadView } from "./load_view.ts";

describe("load view", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("adds the reports of peers to its own load", () => {
    const view = createLoadView();
    view.begin("a", 100);
    view.recordReport(
      "peer",
      new Map([["a", { requests: 2, unreadTokens: 5 }]]),
    );
    expect(view.getLoad("a")).toEqual({ requests: 3, unreadTokens: 105 });
  });

  it("drops the report of an unresponsive peer", () => {
    const view = createLoadView();
    view.recordReport(
      "peer",
      new Map([["a", { requests: 2, unreadTokens: 0 }]]),
    );
    jest.advanceTimersByTime(2_501);
    expect(view.getLoad("a").requests).toBe(0);
  });

  it("removes the load of a request only once", () => {
    const view = createLoadView();
    const load = view.begin("a", 100);
    load.finishPrefill();
    load.finishPrefill();
    load.end();
    load.end();
    expect(view.getLoad("a")).toEqual({ requests: 0, unreadTokens: 0 });
    expect(view.getOwnLoads().size).toBe(0);
  });

  // A prompt that was too large for exact sums left a wrong load behind it.
  it.each([1e21, 5e9, 2 ** 53 + 2, Infinity, NaN, -1, 0.1])(
    "is as before once a prompt of %d tokens has ended",
    (tokens) => {
      const view = createLoadView();
      const earlier = view.begin("a", 500);
      view.begin("a", tokens).end();
      earlier.end();
      view.begin("a", 700);
      expect(view.getLoad("a")).toEqual({ requests: 1, unreadTokens: 700 });
    },
  );
});
