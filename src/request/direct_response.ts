/**
 * Forwards the response of a target to the caller. An event stream is forwarded
 * event by event and can resume at another target. Any other body is buffered
 * until it is complete, up to a limit, so that a truncated response does not
 * reach the caller.
 */

import type { DirectHead } from "../types/direct_calls.ts";
import type { Reply } from "../types/reply.ts";
import { createEventCursor } from "./event_cursor.ts";

/** Bytes of a body that are buffered before forwarding starts. */
const maxBufferedBytes = 256 * 1024;

/** How the body of one target's response ended. */
export type BodyEnd =
  | { readonly kind: "complete" }
  | { readonly kind: "broken"; readonly reason: string };

/** The response to one request, from one target or from several in turn. */
export interface DirectResponse {
  /** Forwards the body of one target until it ends or breaks off. */
  forward(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
    options: { recordProgress(): void },
  ): Promise<BodyEnd>;
  /** Sends the buffered body once the response is complete. */
  finish(): void;
  /** Returns true while nothing has been sent to the caller. */
  isPending(): boolean;
  /** Returns the number of bytes of the body that were sent to the caller. */
  getSentBytes(): number;
  /** Returns the id of the last event that was sent to the caller. */
  getLastEventId(): string | undefined;
}

/**
 * Creates the response to one request. `lastEventId` is the event after which
 * the caller wants the stream to resume.
 */
export function createDirectResponse(
  reply: Reply,
  options: { readonly lastEventId: string | undefined },
): DirectResponse {
  const cursor = createEventCursor(options.lastEventId);
  let isStarted = false;
  let sentBytes = 0;
  let buffered:
    | { readonly head: DirectHead; readonly parts: Uint8Array[] }
    | undefined;

  return {
    forward,
    finish,
    isPending: () => !isStarted,
    getSentBytes: () => sentBytes,
    getLastEventId: cursor.getLastId,
  };

  async function forward(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
    { recordProgress }: { recordProgress(): void },
  ): Promise<BodyEnd> {
    try {
      if (head.isEventStream) {
        return await forwardEvents(head, body, recordProgress);
      }
      return await forwardBytes(head, body);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { kind: "broken", reason };
    }
  }

  async function forwardEvents(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
    recordProgress: () => void,
  ): Promise<BodyEnd> {
    cursor.resume();
    for await (const data of body) {
      const step = cursor.push(data);
      if (step.kind === "broken") return step;
      if (step.data.length === 0) continue;
      recordProgress();
      start(head);
      await send(step.data);
    }
    if (cursor.isInsideEvent()) {
      return { kind: "broken", reason: "The stream ended inside an event" };
    }
    start(head);
    return { kind: "complete" };
  }

  async function forwardBytes(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
  ): Promise<BodyEnd> {
    buffered = { head, parts: [] };
    let bufferedBytes = 0;
    for await (const data of body) {
      if (buffered === undefined) {
        await send(data);
        continue;
      }
      buffered.parts.push(data);
      bufferedBytes += data.length;
      if (bufferedBytes > maxBufferedBytes) await flush(head.length);
    }
    return { kind: "complete" };
  }

  /** Sends the buffered body and stops buffering. */
  async function flush(length: number | undefined): Promise<void> {
    if (buffered === undefined) return;
    const { head, parts } = buffered;
    buffered = undefined;
    start(head, length);
    await send(Buffer.concat(parts));
  }

  function send(data: Uint8Array): Promise<void> | undefined {
    sentBytes += data.length;
    return reply.write(data);
  }

  function start(head: DirectHead, length?: number): void {
    if (isStarted) return;
    isStarted = true;
    const { status, headers } = head;
    reply.start({ status, headers, targetId: "", length });
  }

  function finish(): void {
    const length = buffered?.parts.reduce((sum, part) => sum + part.length, 0);
    // The size of the buffer is bounded, so the write need not be awaited.
    void flush(length);
  }
}
