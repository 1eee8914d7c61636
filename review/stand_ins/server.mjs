/** Stands in for a server of the platform, as PROTOCOL.md describes it. */

import { createServer } from "node:net";
import { listen, tryDecodeHead } from "./common.mjs";

/**
 * Starts a server. `run` is called once for each request that begins to run and
 * answers it with `answer` or by writing to `request.socket`.
 */
export async function startServer(
  { id, service, run, record, slots = 64, zone = "zone-a", port = 0 },
) {
  const sockets = new Set();
  const born = Date.now();
  let sequence = 0;
  const listener = createServer(serve);
  const address = `127.0.0.1:${await listen(listener, "127.0.0.1", port)}`;

  return { id, address, getEntry, close, crash };

  function getEntry(state = "ready") {
    return {
      ...{ Service: service, Address: address, Zone: zone, Version: "v1" },
      ...{ Slots: slots, State: state, ColdLeftMs: 0, Seq: ++sequence, born },
    };
  }

  function serve(socket) {
    let received = Buffer.alloc(0);
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      received = Buffer.concat([received, data]);
      while (!socket.destroyed) {
        const head = tryDecodeHead(received);
        if (head === undefined) return;
        const end = head.bodyAt + Number(head.headers["content-length"] ?? 0);
        if (received.length < end) return;
        const body = received.subarray(head.bodyAt, end);
        received = received.subarray(end);
        handle(socket, head, body);
      }
    });
  }

  function handle(socket, { first: [method, path], headers }, body) {
    const requestId = headers["x-request-id"] ?? "";
    const request = { method, path, headers, body, socket, requestId };
    if (path === "/healthz") {
      return write(socket, "200 OK", { "X-Instance": id });
    }
    if (path.startsWith("/-/")) {
      const list = { epoch: 1, Next: 1, held: [], born };
      return write(socket, "200 OK", {}, JSON.stringify(list));
    }
    if ((headers["x-expect-instance"] ?? id) !== id) {
      return write(socket, "421 Misdirected Request", {
        "X-Request-Id": requestId,
        "X-Instance": id,
        "X-Not-Run": "other",
      });
    }
    record("run", { server: id, request: requestId, method, path });
    run(request);
  }

  function close() {
    listener.close();
    sockets.forEach((socket) => socket.destroy());
  }

  /** Ends as a process does that crashes. */
  function crash() {
    listener.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
  }
}

/** Answers a request that has run. */
export function answer({ socket, requestId }, body, status = "200 OK") {
  write(socket, status, {
    "X-Request-Id": requestId,
    "X-Server-Stamp": `stamp-${requestId}`,
  }, body);
}

function write(socket, status, headers, body = "") {
  if (socket.destroyed) return;
  const lines = Object.entries({
    ...headers,
    "Content-Length": String(Buffer.byteLength(body)),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 ${status}\r\n${lines.join("")}\r\n${body}`);
}
