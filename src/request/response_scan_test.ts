import { createResponseScan } from "./response_scan.ts";

const event = 'data: {"a":1}\n\n';

describe("response scan", () => {
  describe("an event stream without its end marker", () => {
    const types = [
      "text/event-stream",
      "Text/Event-Stream",
      "TEXT/EVENT-STREAM; charset=utf-8",
      " text/event-stream ;charset=utf-8",
    ];
    for (const type of types) {
      it(`is not complete with the type "${type}"`, () => {
        expect(scan([event], { type })).toBe(false);
        expect(scan([], { type })).toBe(false);
      });
    }

    it("is not complete with the header in another case", () => {
      expect(scan([event], { header: "Content-Type" })).toBe(false);
    });
  });

  it("lets a response of another type end anywhere", () => {
    expect(scan(["{"], { type: "application/json" })).toBe(true);
    expect(scan(["{"], { type: "text/event-streams" })).toBe(true);
  });
});

/** Returns whether a response of these chunks is complete. */
function scan(
  chunks: readonly string[],
  { type = "text/event-stream", header = "content-type" } = {},
): boolean {
  const responseScan = createResponseScan([{ name: header, value: type }]);
  for (const chunk of chunks) responseScan.add(Buffer.from(chunk));
  return responseScan.isComplete();
}
