/** Writes an answer as its target gave it, or an error of the router's own. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Reply, ReplyHead, RequestEnd } from "../types/reply.ts";
import { formatError, waitForRoom } from "./caller_reply.ts";

/** Creates the reply that writes to a response. */
export function createFrontReply(
  { message, response }: {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
  },
  options: {
    readonly requestId: string;
    /** True when the connection should end with this answer. */
    isClosing(): boolean;
  },
): Reply {
  const gone = new AbortController();
  const { socket } = message;
  const noteGone = (): void => gone.abort();
  // Comes a turn of the event loop before the response is closed.
  socket.on("end", noteGone);
  response.on("close", () => {
    socket.off("end", noteGone);
    if (!response.writableFinished) gone.abort();
  });
  response.on("error", noteGone);
  // Comes with the caller's end, before the connection is closed.
  message.on("aborted", noteGone);
  message.on("error", noteGone);

  return { disconnectSignal: gone.signal, start, write, end };

  function start(head: ReplyHead): void {
    const headers = head.headers.flatMap(({ name, value }) => [name, value]);
    if (head.length !== undefined) {
      headers.push("content-length", String(head.length));
    }
    closeIfLast(headers);
    response.writeHead(head.status, headers);
    // The caller should see the head before the first event.
    response.flushHeaders();
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    if (gone.signal.aborted || response.write(data)) return undefined;
    return waitForRoom(response);
  }

  function end(value: RequestEnd): void {
    if (gone.signal.aborted) response.destroy();
    else if (!response.headersSent) endUnstarted(value);
    else if (value.outcome === "done") response.end();
    // Without its last chunk the answer cannot be taken for whole.
    else response.destroy();
  }

  function endUnstarted(value: RequestEnd): void {
    const { status, body } = formatError(value, options.requestId);
    const headers = [
      "content-type",
      "application/json",
      "content-length",
      String(Buffer.byteLength(body)),
      "x-request-id",
      options.requestId,
    ];
    const retryAfterMs = value.report?.retryAfterMs ?? 0;
    if (retryAfterMs > 0) {
      headers.push("retry-after", (retryAfterMs / 1_000).toFixed(3));
    }
    closeIfLast(headers);
    response.writeHead(status, headers);
    response.end(body);
  }

  function closeIfLast(headers: string[]): void {
    if (options.isClosing()) headers.push("connection", "close");
  }
}
