/**
 * Forwards the bytes of a response to the caller. Events of a stream are
 * forwarded as they arrive; any other response is sent when it is complete or
 * too large to be buffered.
 */

import { type Head, isEventStream } from "../types/response.ts";
import type { Reply } from "../types/reply.ts";
import { createByteCollector } from "./byte_collector.ts";
import { createEventBuffer, type EventBuffer } from "./event_buffer.ts";

/** Bytes of a response without events that are buffered until its end. */
const maxBufferedBytes = 256 * 1024;

/** Headers of a target's response that are forwarded to the caller. */
const forwardedHeaders = new Set([
  "content-type",
  "content-language",
  "content-encoding",
  "etag",
  "last-modified",
  "location",
]);

/** Delivers one response to one caller. */
export interface Delivery {
  /** Sets the status and headers of the response of a target. */
  setHead(head: Head, targetId: string): void;
  /**
   * Accepts bytes; returns a promise when the caller must read before the next
   * bytes.
   */
  write(data: Uint8Array): Promise<void> | undefined;
  /**
   * Returns true when more follows the end of a stream than can be buffered;
   * the response is then broken.
   */
  isOverfull(): boolean;
  /** Sends the buffered bytes of a response that is complete. */
  finish(): void;
  /** Returns true while nothing has reached the caller. */
  isPending(): boolean;
  /** Drops the buffered bytes; call it only while pending. */
  reset(): void;
}

/** Creates the delivery of one response. */
export function createDelivery(reply: Reply): Delivery {
  const buffered = createByteCollector();
  let pendingHead:
    | { readonly head: Head; readonly targetId: string }
    | undefined;
  let isStarted = false;
  let eventBuffer: EventBuffer | undefined;

  return {
    setHead,
    write,
    isOverfull: () => eventBuffer?.isOverfull() ?? false,
    finish,
    isPending: () => !isStarted,
    reset,
  };

  function setHead(value: Head, targetId: string): void {
    pendingHead = { head: value, targetId };
    eventBuffer = isEventStream(value.headers)
      ? createEventBuffer()
      : undefined;
  }

  function start(length?: number): void {
    if (isStarted || pendingHead === undefined) return;
    isStarted = true;
    reply.start({
      status: pendingHead.head.status,
      headers: pendingHead.head.headers.filter((header) =>
        forwardedHeaders.has(header.name.toLowerCase())
      ),
      targetId: pendingHead.targetId,
      length,
    });
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    if (eventBuffer !== undefined) return writeNow(eventBuffer.push(data));
    if (isStarted) return writeNow(data);
    buffered.add(data);
    return buffered.getLength() <= maxBufferedBytes ? undefined : flushBuffer();
  }

  function writeNow(data: Uint8Array): Promise<void> | undefined {
    if (data.length === 0) return undefined;
    start();
    return reply.write(data);
  }

  function flushBuffer(): Promise<void> | undefined {
    return writeNow(buffered.take());
  }

  function finish(): void {
    if (eventBuffer === undefined) start(buffered.getLength());
    start();
    // The size of the buffer is bounded, so the writes need not be awaited.
    void writeNow(eventBuffer?.finish() ?? new Uint8Array());
    void flushBuffer();
  }

  function reset(): void {
    buffered.take();
    pendingHead = undefined;
    eventBuffer = undefined;
  }
}
