import {
  createRequest,
  createRoute,
  createTarget,
  createTestQuarantine,
} from "../../test/support/direct.ts";
import { createDirectQuarantine } from "./direct_quarantine.ts";

describe("the attempts of a request that may be quarantined", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  // The loss of the first one was recorded with the send time of the second,
  // which followed a crash that the first did not.
  it("are told apart when two run at the same time", async () => {
    const recorded: unknown[] = [];
    const request = createDirectQuarantine({
      crashes: { canRetry: () => true, recordCrash: () => 1 },
      quarantine: {
        ...createTestQuarantine(),
        recordCrash: (_, { id }, options) => recorded.push([id, options]),
      },
      targetCrashes: { check: () => Promise.resolve(true) },
      abortedAttempts: { add: () => undefined },
    }, createRequest(createRoute()));
    const first = request.beginAttempt(createTarget("a"));
    const firstSentAt = performance.now();
    first.isQuarantined();
    first.recordResponseBegun();
    jest.advanceTimersByTime(1_000);
    const second = request.beginAttempt(createTarget("b"));
    second.isQuarantined();
    await Promise.all([first.recordLoss(), second.recordLoss()]);
    expect(recorded).toEqual([
      ["a", { hasResponseBegun: true, sentAt: firstSentAt, losses: 1 }],
      ["b", {
        ...{ hasResponseBegun: false, losses: 1 },
        sentAt: firstSentAt + 1_000,
      }],
    ]);
  });
});
