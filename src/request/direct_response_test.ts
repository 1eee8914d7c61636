import type { Reply } from "../types/reply.ts";
import { createDirectResponse } from "./direct_response.ts";

const head = {
  status: 200,
  headers: [{ name: "content-type", value: "text/event-stream" }],
  isEventStream: true,
  length: undefined,
  load: undefined,
};

async function* createBody(
  ...parts: readonly string[]
): AsyncGenerator<Uint8Array> {
  for (const part of parts) yield Buffer.from(part);
}

describe("the response to one request", () => {
  // The next target went on behind events that the caller had not received.
  it("is not continued after a head that cannot be sent", async () => {
    const reply: Reply = {
      disconnectSignal: new AbortController().signal,
      start: () => {
        throw new Error("Invalid character in header content");
      },
      write: () => undefined,
      end: () => undefined,
    };
    const response = createDirectResponse(reply, {
      lastEventId: undefined,
      isResumable: true,
      method: "GET",
    });
    const end = await response.forward(
      head,
      createBody("id: 1\ndata: a\n\n"),
      {
        signal: new AbortController().signal,
        recordProgress: () => undefined,
        expectProgress: () => undefined,
      },
    );
    expect(end.kind).toBe("broken");
    expect(response.canContinue()).toBe(false);
    expect(response.accepts(head)).toBe(false);
  });
});
