import { createStoreSilence } from "./store_silence.ts";

/** Guards against time in which a process did not run that counts as silence. */
describe("the silence of the store", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => {
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  function create() {
    let recordedMs = 0;
    let reports = 0;
    const silence = createStoreSilence({
      recordSilence: ({ since, until }) => {
        recordedMs += until - since;
      },
      handleSilent: () => {
        reports++;
      },
    });
    return {
      ...silence,
      getRecordedMs: () => recordedMs,
      getReports: () => reports,
    };
  }

  it("begins when a response is due, and ends with one", () => {
    const silence = create();
    silence.beginCall(1_000);
    jest.advanceTimersByTime(1_250);
    expect(silence.getSilentMs()).toBe(0);
    jest.advanceTimersByTime(400);
    expect(silence.getSilentMs()).toBe(400);
    expect(silence.getReports()).toBe(1);
    silence.recordResponse();
    jest.advanceTimersByTime(2_000);
    expect(silence.getSilentMs()).toBe(0);
    expect(silence.getRecordedMs()).toBe(400);
  });

  it("goes on between calls that fail", () => {
    const silence = create();
    for (let call = 0; call < 4; call++) {
      silence.beginCall(0)();
      silence.recordFailure();
      jest.advanceTimersByTime(500);
    }
    expect(silence.getSilentMs()).toBe(2_000);
  });

  it("ends when nobody asks any more", () => {
    const silence = create();
    silence.recordFailure();
    jest.advanceTimersByTime(5_000);
    expect(silence.getSilentMs()).toBe(0);
    expect(silence.getRecordedMs()).toBeLessThan(800);
  });

  it("leaves out the time in which the process was stopped", () => {
    const silence = create();
    silence.beginCall(1_000);
    jest.advanceTimersByTime(500);
    const runtimeNow = performance.now.bind(performance);
    jest.spyOn(performance, "now").mockImplementation(() =>
      runtimeNow() + 5_000
    );
    // The timers of a process that runs on come before what it has received.
    jest.advanceTimersByTime(50);
    expect(silence.getSilentMs()).toBeLessThanOrEqual(100);
    expect(silence.getReports()).toBe(0);
  });
});
