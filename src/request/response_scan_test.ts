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

    const ends = {
      "the marker inside an event's text": 'data: {"a":"data: [DONE]',
      "the marker behind other text": "data: as in data: [DONE]\n\n",
      "the marker as one of several lines": "data: a\ndata: [DONE]\n\n",
      "the marker before other lines": "data: [DONE]\ndata: a\n\n",
      "the marker as a part of a line": "data: [DONE] or not\n\n",
      "the marker with another field's name": "xdata: [DONE]\n\n",
      "a part of the marker": "data: [DON",
      "the marker without the end of its line": "data: [DONE]",
      "the marker without the end of its event": "data: [DONE]\n",
      "the marker with half of the event's end": "data: [DONE]\r\n\r",
      "an event after the marker": `data: [DONE]\n\n${event}`,
      "bytes after the marker": "data: [DONE]\n\ndata",
    };
    for (const [name, end] of Object.entries(ends)) {
      it(`is not complete with ${name}`, () => {
        expect(scan([event, end])).toBe(false);
        expect(scan([...event, ...end])).toBe(false);
      });
    }

    it("is not complete when the marker's event began long before", () => {
      const text = `data: ${"x".repeat(10_000)}\n`;
      expect(scan([event, text, "data: [DONE]\n\n"])).toBe(false);
    });

    it("is not complete when the tail begins behind a line's start", () => {
      for (let length = 4_070; length < 4_110; length++) {
        const text = `data: ${"x".repeat(length)}data: [DONE]\n\n`;
        expect(scan([event, text])).toBe(false);
      }
    });
  });

  describe("an event stream with its end marker", () => {
    const markers = {
      "with a blank": "data: [DONE]\n\n",
      "without a blank": "data:[DONE]\n\n",
      "with carriage returns": "data: [DONE]\r\n\r\n",
      "with both kinds of line breaks": "data: [DONE]\r\n\n",
      "with more empty lines": "data: [DONE]\n\n\n\r\n",
      "with other fields": "event: end\nid: 7\ndata: [DONE]\n\n",
    };
    for (const [name, marker] of Object.entries(markers)) {
      it(`is complete ${name}`, () => {
        expect(scan([event, marker])).toBe(true);
        expect(scan([...event, ...marker])).toBe(true);
        expect(scan([marker])).toBe(true);
        expect(scan(["data: a\r\n\r\n", marker])).toBe(true);
      });
    }

    it("is complete after an event that is longer than the tail", () => {
      const text = `data: ${"x".repeat(10_000)}\n\n`;
      expect(scan([text, "data: [DONE]\n\n"])).toBe(true);
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
