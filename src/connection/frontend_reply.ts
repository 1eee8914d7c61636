/** Writes a target's response unchanged, or an error of the router. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { MemoryShare } from "../types/held_memory.ts";
import type { Reply, ReplyHead, RequestEnd } from "../types/reply.ts";
import { formatError } from "./caller_reply.ts";
import { createFramedReply } from "./framed_reply.ts";
import { createReplyQueue } from "./reply_queue.ts";

const noBytes = Buffer.alloc(0);

/** Creates a reply that writes to an HTTP response. */
export function createFrontendReply(
  { message, response }: {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
  },
  options: {
    readonly requestId: string;
    /** Memory for what the caller has not taken. */
    readonly memory: MemoryShare;
    /** Returns true when the connection closes after this response. */
    isClosing(): boolean;
    /** Runs what writes to the caller. */
    measureWrite<Result>(write: () => Result): Result;
  },
): Reply {
  const { memory } = options;
  const disconnect = new AbortController();
  const { socket } = message;
  const queue = createReplyQueue(response, {
    handleDrain: memory.recordDrained,
  });
  const handleDisconnect = (): void => disconnect.abort();
  // This event precedes the close of the response by one event loop turn.
  socket.on("end", handleDisconnect);
  memory.follow(queue);
  response.on("close", () => {
    socket.off("end", handleDisconnect);
    if (!response.writableFinished) disconnect.abort();
    memory.release();
  });
  response.on("error", handleDisconnect);
  // This event reports a disconnect before the connection is closed.
  message.on("aborted", handleDisconnect);
  message.on("error", handleDisconnect);

  return createFramedReply({
    disconnectSignal: disconnect.signal,
    memory,
    start: (head) => options.measureWrite(() => start(head)),
    write: (data) => options.measureWrite(() => write(data)),
    end: (requestEnd) => options.measureWrite(() => end(requestEnd)),
  }, { response, stop: handleDisconnect });

  function start(head: ReplyHead): void {
    const headers = head.headers.flatMap(({ name, value }) => [name, value]);
    if (head.length !== undefined) {
      headers.push("content-length", String(head.length));
    }
    addCloseHeader(headers);
    response.writeHead(head.status, headers);
    // Sends the head at once instead of together with the first event.
    // `flushHeaders` would write it as UTF-8, which changes bytes beyond ASCII.
    response.write(noBytes);
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    if (disconnect.signal.aborted || queue.write(data)) return undefined;
    return memory.waitToRead();
  }

  function end(requestEnd: RequestEnd): void {
    if (disconnect.signal.aborted) response.destroy();
    else if (!response.headersSent) {
      const isClosing = options.isClosing();
      writeError(response, requestEnd, { ...options, isClosing });
    } else if (requestEnd.outcome === "done") queue.end();
    // Missing bytes or the missing last chunk show that the body is incomplete.
    else response.destroy();
  }

  function addCloseHeader(headers: string[]): void {
    if (options.isClosing()) headers.push("connection", "close");
  }
}

/** Responds with the error of a request whose response has not begun. */
export function writeError(
  response: ServerResponse,
  requestEnd: RequestEnd,
  { requestId, isClosing }: {
    readonly requestId: string;
    /** True when the connection closes after this response. */
    readonly isClosing: boolean;
  },
): void {
  const { status, body } = formatError(requestEnd, requestId);
  const headers = [
    "content-type",
    "application/json",
    "content-length",
    String(Buffer.byteLength(body)),
    "x-request-id",
    requestId,
  ];
  const retryAfterMs = requestEnd.report?.retryAfterMs ?? 0;
  if (retryAfterMs > 0) {
    headers.push("retry-after", (retryAfterMs / 1_000).toFixed(3));
  }
  if (isClosing) headers.push("connection", "close");
  response.writeHead(status, headers);
  // With a text, the head would be written as UTF-8 too.
  response.end(Buffer.from(body));
}
