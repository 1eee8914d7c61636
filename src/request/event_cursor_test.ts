import { createEventCursor } from "./event_cursor.ts";

function createEvent(id: number): string {
  return `id: ${id}\ndata: word\n\n`;
}

function push(
  cursor: ReturnType<typeof createEventCursor>,
  text: string,
): string {
  const step = cursor.push(Buffer.from(text));
  return step.kind === "broken" ? "broken" : Buffer.from(step.data).toString();
}

describe("event cursor", () => {
  it("returns complete events and buffers the rest", () => {
    const cursor = createEventCursor(undefined);
    expect(push(cursor, `${createEvent(1)}id: 2\nda`)).toBe(createEvent(1));
    expect(cursor.isInsideEvent()).toBe(true);
    expect(push(cursor, "ta: word\n\n")).toBe(createEvent(2));
    expect(cursor.getLastId()).toBe("2");
  });

  describe("a stream that another engine resumes", () => {
    it("repeats no event and completes the interrupted one", () => {
      const cursor = createEventCursor(undefined);
      push(cursor, `${createEvent(1)}${createEvent(2)}id: 3\ndata: w`);
      cursor.beginRun();
      expect(push(cursor, `${createEvent(2)}${createEvent(3)}`))
        .toBe(createEvent(3));
    });

    it("is broken when an event is missing", () => {
      const cursor = createEventCursor(undefined);
      push(cursor, createEvent(1));
      cursor.beginRun();
      expect(push(cursor, createEvent(3))).toBe("broken");
    });

    it("continues after the event id that the caller sent", () => {
      const cursor = createEventCursor("4");
      expect(push(cursor, createEvent(5))).toBe(createEvent(5));
      expect(push(createEventCursor("4"), createEvent(6))).toBe("broken");
    });
  });
});
