import { startCallTimeout } from "./call_timeout.ts";

describe("the timeout of a call", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("ends a call whose response does not begin", () => {
    const { signal } = startCallTimeout({ headMs: 1_000, bodyMs: 3_000 });
    jest.advanceTimersByTime(999);
    expect(signal.aborted).toBe(false);
    jest.advanceTimersByTime(1);
    expect(signal.aborted).toBe(true);
  });

  it("leaves a response that has begun the time of its body", () => {
    const timeout = startCallTimeout({ headMs: 1_000, bodyMs: 3_000 });
    jest.advanceTimersByTime(900);
    timeout.recordHead();
    jest.advanceTimersByTime(2_999);
    expect(timeout.signal.aborted).toBe(false);
    jest.advanceTimersByTime(1);
    expect(timeout.signal.aborted).toBe(true);
  });

  it("leaves a slow response its time while pieces of it arrive", () => {
    const timeout = startCallTimeout({
      ...{ headMs: 1_000, bodyMs: 15_000, bodySilenceMs: 1_500 },
    });
    timeout.recordHead();
    for (let piece = 0; piece < 10; piece++) {
      jest.advanceTimersByTime(1_400);
      timeout.recordPiece();
    }
    expect(timeout.signal.aborted).toBe(false);
    jest.advanceTimersByTime(1_000);
    expect(timeout.signal.aborted).toBe(true);
  });

  it("ends a response whose next piece does not come", () => {
    const timeout = startCallTimeout({
      ...{ headMs: 1_000, bodyMs: 15_000, bodySilenceMs: 1_500 },
    });
    timeout.recordHead();
    timeout.recordPiece();
    jest.advanceTimersByTime(1_500);
    expect(timeout.signal.aborted).toBe(true);
  });

  it("ends with the call", () => {
    const timeout = startCallTimeout({ headMs: 1_000, bodyMs: 3_000 });
    timeout.clear();
    jest.advanceTimersByTime(10_000);
    expect(timeout.signal.aborted).toBe(false);
  });
});
