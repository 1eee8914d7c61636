/**
 * Brings the bytes of an answer to the caller: a stream of events as it comes,
 * a whole answer once it is whole, or when it grows too large to be held.
 */

import type { Head } from "../types/answer.ts";
import type { Reply } from "../types/reply.ts";
import { createEventHold, type EventHold } from "./event_hold.ts";

/** Bytes of a whole answer that are held until its end. */
const maxBufferedBytes = 256 * 1024;

/** Headers of a target's answer that are passed on to the caller. */
const forwardedHeaders = new Set([
  "content-type",
  "content-language",
  "content-encoding",
  "etag",
  "last-modified",
  "location",
]);

/** Brings one answer to one caller. */
export interface Delivery {
  /** Takes the head of the answer of a target. */
  setHead(head: Head, place: string): void;
  /** Takes bytes; a promise means that the caller has to read first. */
  write(data: Uint8Array): Promise<void> | undefined;
  /** Sends what is held; the answer is whole. */
  finish(): void;
  /** True while nothing has reached the caller. */
  isPending(): boolean;
  /** Drops what is held; only while pending. */
  reset(): void;
}

/** Creates the delivery of one answer. */
export function createDelivery(reply: Reply): Delivery {
  let buffered: Uint8Array[] = [];
  let bufferedBytes = 0;
  let pendingHead: { readonly head: Head; readonly place: string } | undefined;
  let isStarted = false;
  let eventHold: EventHold | undefined;

  return { setHead, write, finish, isPending: () => !isStarted, reset };

  function setHead(value: Head, place: string): void {
    pendingHead = { head: value, place };
    eventHold = isEventStream(value) ? createEventHold() : undefined;
  }

  function start(length?: number): void {
    if (isStarted || pendingHead === undefined) return;
    isStarted = true;
    reply.start({
      status: pendingHead.head.status,
      headers: pendingHead.head.headers.filter((header) =>
        forwardedHeaders.has(header.name.toLowerCase())
      ),
      place: pendingHead.place,
      length,
    });
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    if (eventHold !== undefined) return writeNow(eventHold.push(data));
    if (isStarted) return writeNow(data);
    buffered.push(data);
    bufferedBytes += data.length;
    return bufferedBytes <= maxBufferedBytes ? undefined : flushBuffer();
  }

  function writeNow(data: Uint8Array): Promise<void> | undefined {
    if (data.length === 0) return undefined;
    start();
    return reply.write(data);
  }

  function flushBuffer(): Promise<void> | undefined {
    const data = Buffer.concat(buffered);
    buffered = [];
    bufferedBytes = 0;
    return writeNow(data);
  }

  function finish(): void {
    if (eventHold === undefined) start(bufferedBytes);
    start();
    // What is held is bounded, so its room need not be awaited.
    void writeNow(eventHold?.finish() ?? new Uint8Array());
    void flushBuffer();
  }

  function reset(): void {
    buffered = [];
    bufferedBytes = 0;
    pendingHead = undefined;
    eventHold = undefined;
  }
}

/** True when the answer is a stream of server-sent events. */
function isEventStream(head: Head): boolean {
  const type = head.headers.find((header) =>
    header.name.toLowerCase() === "content-type"
  );
  return type?.value.startsWith("text/event-stream") ?? false;
}
