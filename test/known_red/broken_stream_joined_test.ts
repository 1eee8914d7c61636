import { createRoute } from "../support/direct.ts";
import {
  createResponse,
  event,
  run,
  stream,
} from "../support/direct_runs.ts";

describe("a stream that breaks off", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  // The next target's error was appended to the events and ended as complete.
  it("is not completed by an error of the next target", async () => {
    const route = createRoute({
      kind: "stream",
      isResumable: true,
      timeoutMs: 12_000,
    });
    const result = await run(route, [
      () => stream(event(1), event(2), new Error("crash")),
      () => createResponse(["no"], { status: 500 }),
    ]);
    expect(result.text).toBe(event(1) + event(2));
    expect(result.outcome).not.toBe("done");
  });
});
