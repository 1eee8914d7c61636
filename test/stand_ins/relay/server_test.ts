import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ServerHandle } from "../http.ts";
import { startRelay } from "./server.ts";

describe("relay stand-in", () => {
  let relay: ServerHandle;

  beforeEach(async () => {
    relay = await startRelay({ port: 0 });
  });
  afterEach(() => relay.close());

  async function post(path: string, body: unknown): Promise<{ port: number }> {
    const response = await fetch(`http://127.0.0.1:${relay.port}${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
    expect(response.status).toBe(200);
    return await response.json() as { port: number };
  }

  describe("TCP", () => {
    let echo: Server;
    let caller: Socket;

    beforeEach(async () => {
      echo = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.pipe(socket);
      });
      echo.listen(0, "127.0.0.1");
      await once(echo, "listening");
      const { port } = await post("/links", {
        name: "a",
        kind: "tcp",
        targetPort: (echo.address() as AddressInfo).port,
      });
      caller = connect(port, "127.0.0.1");
      await once(caller, "connect");
    });
    afterEach(() => {
      caller.destroy();
      echo.close();
    });

    it("forwards data in both directions", async () => {
      caller.write("one");
      expect(String((await once(caller, "data"))[0])).toBe("one");
    });

    it.each(["to_target", "from_target", "both"])(
      "holds data back while cut %s and forwards it once healed",
      async (cut) => {
        caller.write("one");
        await once(caller, "data");
        await post("/links/a/state", { cut });
        const seen: string[] = [];
        caller.on("data", (data) => seen.push(String(data)));
        caller.write("two");
        await new Promise((resolve) => setTimeout(resolve, 30));
        expect(seen).toEqual([]);
        const next = once(caller, "data");
        await post("/links/a/state", { cut: "none" });
        await next;
        expect(seen).toEqual(["two"]);
      },
    );

    it("closes connections on reset", async () => {
      caller.write("one");
      await once(caller, "data");
      const closed = once(caller, "close");
      await post("/links/a/reset", {});
      await closed;
    });
  });

  describe("UDP", () => {
    it("forwards datagrams and drops them while cut", async () => {
      const echo = createSocket("udp4");
      echo.on("message", (data, from) => echo.send(data, from.port));
      echo.bind(0, "127.0.0.1");
      await once(echo, "listening");
      const { port } = await post("/links", {
        name: "b",
        kind: "udp",
        targetPort: echo.address().port,
      });
      const caller = createSocket("udp4");
      const seen: string[] = [];
      caller.on("message", (data) => seen.push(String(data)));
      await sendAndWaitForEcho(caller, { port, text: "one" });
      await post("/links/b/state", { cut: "both" });
      caller.send("lost", port, "127.0.0.1");
      await new Promise((resolve) => setTimeout(resolve, 30));
      await post("/links/b/state", { cut: "none" });
      await sendAndWaitForEcho(caller, { port, text: "two" });
      expect(seen).not.toContain("lost");
      expect(seen).toContain("two");
      caller.close();
      echo.close();
    });
  });
});

async function sendAndWaitForEcho(
  caller: ReturnType<typeof createSocket>,
  { port, text }: { readonly port: number; readonly text: string },
): Promise<void> {
  const echoed = once(caller, "message");
  caller.send(text, port, "127.0.0.1");
  await echoed;
}
