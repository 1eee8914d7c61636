import type { Reply } from "../types/reply.ts";
import { createDelivery } from "./delivery.ts";

const marker = "data: [DONE]\n\n";

describe("delivery of an event stream", () => {
  const headers = [
    ["content-type", "text/event-stream"],
    ["Content-Type", "Text/Event-Stream"],
    ["content-type", "TEXT/EVENT-STREAM; charset=utf-8"],
  ] as const;

  for (const [name, value] of headers) {
    it(`holds the end marker back until the end, ${name}: ${value}`, () => {
      const { reply, sent } = createReply();
      const delivery = createDelivery(reply);
      delivery.setHead(
        { kind: "head", status: 200, headers: [{ name, value }] },
        "t1",
      );
      void delivery.write(Buffer.from("data: a\n\n"));
      expect(sent.join("")).toBe("data: a\n\n");
      void delivery.write(Buffer.from(marker));
      // More bytes than a body without events may wait with.
      void delivery.write(Buffer.from("x".repeat(512 * 1024)));
      expect(sent.join("")).toBe("data: a\n\n");
    });
  }
});

function createReply(): { readonly reply: Reply; readonly sent: string[] } {
  const sent: string[] = [];
  const reply: Reply = {
    disconnectSignal: new AbortController().signal,
    start: () => undefined,
    write: (data) => {
      sent.push(Buffer.from(data).toString());
      return undefined;
    },
    end: () => undefined,
  };
  return { reply, sent };
}
