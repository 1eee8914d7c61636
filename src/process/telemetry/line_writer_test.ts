import { createLineWriter } from "./line_writer.ts";

describe("line writer", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("writes several lines at once", () => {
    const written: string[] = [];
    const writer = createLineWriter({
      write: (data, done) => {
        written.push(Buffer.from(data).toString());
        done(undefined);
      },
    });
    writer.writeLine("one");
    writer.writeLine("two");
    jest.advanceTimersByTime(50);
    expect(written).toEqual(["one\ntwo\n"]);
  });

  describe("with a blocked sink", () => {
    it("drops lines without blocking and reports their number", () => {
      const written: string[] = [];
      let finish: (() => void) | undefined;
      const writer = createLineWriter({
        write: (data, done) => {
          written.push(Buffer.from(data).toString());
          finish = () => done(undefined);
        },
      });
      const line = "x".repeat(1_000);
      for (let index = 0; index < 2_000; index++) {
        writer.writeLine(line);
        jest.advanceTimersByTime(1);
      }
      expect(written.length).toBe(1);
      expect(writer.getDropped()).toBeGreaterThan(1_000);
      finish?.();
      expect(written[1]).toContain("Log lines were left out");
      expect(written[1]).toContain(`"lines":${writer.getDropped()}`);
    });
  });
});
