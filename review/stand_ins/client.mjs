/** Stands in for a client of the platform, as PROTOCOL.md describes it. */

import { connect } from "node:net";
import { tryDecodeHead } from "./common.mjs";

/** The end of a body in chunks, without trailers. */
const lastChunk = Buffer.from("\r\n0\r\n\r\n");

let requests = 0;

/**
 * Sends one request on a new connection. Resolves to the response: `status` 0
 * without one, `isComplete` false when it broke off or did not end before the
 * client leaves, at its deadline if not earlier, and closes the connection.
 */
export function send(
  router,
  {
    method = "GET",
    path,
    headers = {},
    body = "",
    deadlineMs,
    leavesAfterMs = deadlineMs,
    record,
  },
) {
  const requestId = `${process.pid.toString(16)}-${++requests}`;
  const sentAt = performance.now();
  const sent = { request: requestId, router: router.id, method, path };
  record("sent", sent);
  return new Promise((resolve) => {
    const socket = connect({ host: router.ip, port: router.port });
    let received = Buffer.alloc(0);
    let isComplete = false;
    let head;
    const timer = setTimeout(() => socket.destroy(), leavesAfterMs);
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      received = Buffer.concat([received, data]);
      head ??= tryDecodeHead(received);
      const length = Number(head?.headers["content-length"]);
      const isChunked = head?.headers["transfer-encoding"] === "chunked";
      const isWhole = isChunked
        ? received.subarray(-lastChunk.length).equals(lastChunk)
        : received.length >= (head?.bodyAt ?? Infinity) + length;
      if (!isWhole) return;
      isComplete = true;
      socket.destroy();
    });
    socket.on("close", () => {
      clearTimeout(timer);
      const status = Number(head?.first[1] ?? 0);
      const tookMs = Math.round(performance.now() - sentAt);
      const answer = { ...sent, status, isComplete, tookMs };
      record("answered", answer);
      resolve({
        ...{ ...answer, sentAt, headers: head?.headers ?? {} },
        body: received.subarray(head?.bodyAt ?? received.length).toString(),
      });
    });
    const lines = Object.entries({
      ...{ "Host": "cards.example", "X-Request-Id": requestId },
      ...{ "X-Deadline-Ms": deadlineMs, "X-Credential": "key-1" },
      ...headers,
      ...(method === "GET" ? {} : { "Content-Length": body.length }),
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`);
  });
}
