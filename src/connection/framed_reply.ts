/**
 * Frames the body of a response so that one that is cut never looks complete.
 * A body of unknown length needs chunks for that: without them it ends with its
 * connection, which also ends when the process is killed.
 */

import type { ServerResponse } from "node:http";
import { createReport } from "../types/diagnostics.ts";
import {
  hasBody,
  type Reply,
  type ReplyHead,
  type RequestEnd,
} from "../types/reply.ts";

/** Maximum size of a body that is held until its end, 4 MiB. */
export const maxHeldBytes = 4 * 1024 * 1024;

/** The only version of HTTP that has chunks, of those that are accepted. */
const chunkedVersion = "1.1";

/** The end of a request that is `done`, but whose answer was never started. */
const answerLost: RequestEnd = {
  outcome: "unknown",
  report: createReport("outcome_unknown"),
};

/** A response that is sent once its request has ended as `done`. */
interface HeldResponse {
  readonly head: ReplyHead;
  readonly parts: Uint8Array[];
  bytes: number;
}

/**
 * Wraps a reply that writes to `response`. `stop` tells the request that the
 * response has ended before its body.
 */
export function createFramedReply(
  reply: Reply,
  { response, stop }: {
    readonly response: ServerResponse;
    stop(): void;
  },
): Reply {
  const { method = "GET", httpVersion } = response.req;
  let held: HeldResponse | undefined;
  /** Bytes of the announced length that are still to be written. */
  let bytesLeft: number | undefined;
  let isStarted = false;
  let isEnded = false;
  reply.memory?.follow({ getHeldBytes: () => held?.bytes ?? 0 });

  return { ...reply, start, write, end };

  function start(head: ReplyHead): void {
    const isFramed = head.length !== undefined ||
      (httpVersion === chunkedVersion &&
        hasBody(method, head.status));
    if (isFramed) startNow(head);
    else held = { head, parts: [], bytes: 0 };
    // Not set when the head cannot be sent.
    isStarted = true;
  }

  function startNow(head: ReplyHead): void {
    if (hasBody(method, head.status)) bytesLeft = head.length;
    reply.start(head);
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    if (isEnded || !isStarted) return undefined;
    if (held === undefined) return writeNow(data);
    held.bytes += data.length;
    const isTooLarge = held.bytes > maxHeldBytes ||
      reply.memory?.mayGrow() === false;
    if (isTooLarge) refuse(Math.min(held.bytes, maxHeldBytes));
    else held.parts.push(data);
    return undefined;
  }

  function writeNow(data: Uint8Array): Promise<void> | undefined {
    if (bytesLeft !== undefined) {
      // The caller would take further bytes for the start of another response.
      if (data.length > bytesLeft) return destroy();
      bytesLeft -= data.length;
    }
    return reply.write(data);
  }

  /** Closes the connection, so that no other response follows. */
  function destroy(): undefined {
    isEnded = true;
    response.destroy();
    stop();
  }

  function refuse(limit: number): void {
    const report = createReport("answer_too_large", { limit });
    end({ outcome: "failed", report });
    stop();
  }

  function end(requestEnd: RequestEnd): void {
    if (isEnded) return;
    if (requestEnd.outcome === "done" && !isStarted) return end(answerLost);
    const ready = requestEnd.outcome === "done" ? held : undefined;
    held = undefined;
    if (ready !== undefined) send(ready);
    const isShort = requestEnd.outcome === "done" && (bytesLeft ?? 0) > 0;
    if (isShort) return destroy();
    reply.end(requestEnd);
    isEnded = true;
  }

  function send({ head, parts, bytes }: HeldResponse): void {
    if (!hasBody(method, head.status)) return startNow(head);
    startNow({ ...head, length: bytes });
    // The size of the body is bounded, so the write need not be awaited.
    void writeNow(Buffer.concat(parts, bytes));
  }
}
