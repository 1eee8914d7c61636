import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { formatRequest, openRawCaller } from "../../test/support/raw_caller.ts";
import {
  createHead,
  done,
  startServers,
  useReplyServer,
} from "../../test/support/reply_servers.ts";

import { createOpenResponses } from "./open_responses.ts";

const path = "/services/desk/1";

/** Text that is not HTTP. */
const malformed = "no request\r\n\r\n";

describe.each(startServers)("a malformed request to %s", (_role, start) => {
  const server = useReplyServer(start);

  it("is refused on a connection without a request", async () => {
    await server.start(() => undefined);
    const responses = await server.call(malformed).readAll();
    expect(responses).toMatchObject([{ status: 400, looksWhole: true }]);
  });

  it("is refused after a response", async () => {
    await server.start((reply) => {
      reply.start(createHead());
      void reply.write(Buffer.from("whole"));
      reply.end(done);
    });
    const caller = server.call(formatRequest(path));
    await caller.waitForText("\r\n0\r\n");
    caller.socket.write(malformed);
    expect(await caller.readAll()).toMatchObject([
      { status: 200, body: "whole" },
      { status: 400 },
    ]);
  });

  it("is refused when its own body is malformed", async () => {
    await server.start(() => undefined);
    const headers = { "transfer-encoding": "chunked" };
    const request = formatRequest(path, { method: "POST", headers });
    const responses = await server.call(`${request}no size\r\n`).readAll();
    expect(responses).toMatchObject([{ status: 400, looksWhole: true }]);
  });

  it("does not become the rest of another's response", async () => {
    const { rejections } = await server.start((reply) => {
      // The refusal would fill up the body.
      reply.start(createHead({ length: 24 }));
      void reply.write(Buffer.from("part"));
    });
    const caller = server.call(formatRequest(path));
    await caller.waitForText("part");
    caller.socket.write(malformed);
    expect(await caller.readAll()).toMatchObject([{
      status: 200,
      body: "part",
      looksWhole: false,
    }]);
    expect(rejections).toEqual(["bad_http"]);
  });

  it("does not become the response to another request", async () => {
    await server.start(() => undefined);
    const caller = server.call(formatRequest(path) + malformed);
    expect(await caller.readAll()).toEqual([]);
  });

  it("does not become the response to one before the last", async () => {
    await server.start(() => undefined);
    const headers = { "content-length": "10" };
    const caller = server.call(
      formatRequest(path) + formatRequest(path, { method: "POST", headers }),
    );
    // The last request ends before its announced length.
    caller.socket.end();
    expect(await caller.readAll()).toEqual([]);
  });
});

describe("open responses", () => {
  const server = createServer();
  afterEach(() => void server.close());

  it("close with their connection, with one listener for all", async () => {
    const requests = 20;
    const openResponses = createOpenResponses();
    const responses: ServerResponse[] = [];
    let closed = 0;
    let listeners = 0;
    const allClosed = new Promise<void>((resolve) => {
      server.on("request", (_message, response: ServerResponse) => {
        const { socket } = response.req;
        if (responses.length === 0) listeners = socket.listenerCount("close");
        responses.push(response);
        openResponses.add(response);
        response.on("close", () => {
          closed++;
          if (closed === requests) resolve();
        });
        if (responses.length < requests) return;
        listeners = socket.listenerCount("close") - listeners;
        caller.socket.destroy();
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;
    const caller = openRawCaller(port, formatRequest(path).repeat(requests));
    await allClosed;
    expect(listeners).toBe(1);
  });
});
