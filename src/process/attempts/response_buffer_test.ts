import { array, assert, nat, property, tuple } from "fast-check";
import { collectEvents, joinBody } from "../../../test/fakes/agent_parts.ts";
import { createResponseBuffer } from "./response_buffer.ts";

describe("response buffer", () => {
  it("gives every reader all bytes from its offset, in order", () => {
    const pieces = array(tuple(nat(40), nat(3)), { maxLength: 200 });
    assert(
      property(pieces, nat(500), (parts, offset) => {
        const buffer = createResponseBuffer({ maxRetainedBytes: 1_000_000 });
        const early = buffer.tryCreateReader(0);
        const taken: string[] = [];
        let body = "";
        for (const [size, reads] of parts) {
          const data = Buffer.from(String(body.length).repeat(size + 1));
          buffer.append({ kind: "chunk", offset: body.length, data });
          body += data.toString();
          for (let read = 0; read < reads; read++) {
            const event = early?.tryRead();
            if (event?.kind !== "chunk") continue;
            taken.push(Buffer.from(event.data).toString());
          }
        }
        buffer.append({
          kind: "failure",
          code: "answer_cut",
          mayHaveRun: true,
        });
        const rest = early === undefined ? [] : collectEvents(early);
        expect(taken.join("") + joinBody(rest)).toBe(body);
        const late = buffer.tryCreateReader(offset);
        if (late === undefined) expect(offset).toBeGreaterThan(body.length);
        else expect(joinBody(collectEvents(late))).toBe(body.slice(offset));
      }),
      { seed: 3, numRuns: 200 },
    );
  });

  it("removes only bytes above its limit that all readers have read", () => {
    const buffer = createResponseBuffer({ maxRetainedBytes: 100 });
    const fast = buffer.tryCreateReader(0);
    const slow = buffer.tryCreateReader(0);
    for (let offset = 0; offset < 1_000; offset += 10) {
      buffer.append({ kind: "chunk", offset, data: Buffer.alloc(10) });
      while (fast?.tryRead() !== undefined);
    }
    expect(buffer.getBufferedBytes()).toBe(1_000);
    expect(buffer.getUnreadBytes()).toBe(0);
    while (slow?.tryRead() !== undefined);
    expect(buffer.getBufferedBytes()).toBeLessThanOrEqual(740);
    expect(buffer.tryCreateReader(0)).toBeUndefined();
    expect(buffer.tryCreateReader(1_000)).toBeDefined();
  });
});
