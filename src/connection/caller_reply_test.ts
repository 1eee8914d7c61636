import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createReport } from "../types/diagnostics.ts";
import type { RequestEnd } from "../types/reply.ts";
import { createHttpReply } from "./caller_reply.ts";

const cut: RequestEnd = {
  outcome: "failed",
  report: createReport("answer_cut", { bytes: 1 }),
};

describe("reply to a caller", () => {
  describe("an event stream that breaks off", () => {
    it("reports the error in an event of its own", async () => {
      for (
        const writes of [
          ["data: a\n\n"],
          ["data: a\r\n\r\n"],
          ["data: a\n", "\n"],
          ["data: a", "\r\n", "\r", "\n"],
        ]
      ) {
        const text = await receive(writes, cut);
        expect(text).toBe(
          `${writes.join("")}event: error\n` +
            text.slice(text.indexOf("data: {")),
        );
      }
    });

    it("never adds the error to a part of an event", async () => {
      for (
        const writes of [
          ["data: a\n\n", "data: b"],
          ["data: a\n\n", "data: b\n"],
          ["data: a\n\n", "data: b\r\n\r"],
          ["data: a\n\n", "d", "a"],
        ]
      ) {
        expect(await receive(writes, cut)).toBe("broken");
      }
    });
  });
});

/** Returns the body that a caller gets; `broken` without its end. */
async function receive(
  writes: readonly string[],
  end: RequestEnd,
): Promise<string> {
  const server = createServer((_request, response) => {
    const reply = createHttpReply(response, { requestId: "r1" });
    const headers = [{ name: "content-type", value: "text/event-stream" }];
    reply.start({ status: 200, headers, targetId: "t1", length: undefined });
    for (const text of writes) void reply.write(Buffer.from(text));
    reply.end(end);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  try {
    return await (await fetch(`http://127.0.0.1:${port}`)).text();
  } catch {
    return "broken";
  } finally {
    server.closeAllConnections();
    server.close();
  }
}
