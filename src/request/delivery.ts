/**
 * Brings the bytes of an answer to the caller: a stream of events as it comes,
 * a whole answer once it is whole, or when it grows too large to be held.
 */

import type { Head } from "../types/response.ts";
import type { Reply } from "../types/reply.ts";
import { createEventBuffer, type EventBuffer } from "./event_buffer.ts";

/** Bytes of a whole answer that are held until its end. */
const maxHeldBytes = 256 * 1024;

/** Headers of a target's answer that are passed on to the caller. */
const passedHeaders = new Set([
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
  head(head: Head, place: string): void;
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
  let held: Uint8Array[] = [];
  let heldBytes = 0;
  let pendingHead: { readonly head: Head; readonly place: string } | undefined;
  let started = false;
  let events: EventBuffer | undefined;

  return { head, write, finish, isPending: () => !started, reset };

  function head(value: Head, place: string): void {
    pendingHead = { head: value, place };
    events = isEventStream(value) ? createEventBuffer() : undefined;
  }

  function start(length?: number): void {
    if (started || pendingHead === undefined) return;
    started = true;
    reply.start({
      status: pendingHead.head.status,
      headers: pendingHead.head.headers.filter((header) =>
        passedHeaders.has(header.name.toLowerCase())
      ),
      targetId: pendingHead.place,
      length,
    });
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    if (events !== undefined) return writeNow(events.push(data));
    if (started) return writeNow(data);
    held.push(data);
    heldBytes += data.length;
    return heldBytes <= maxHeldBytes ? undefined : writeHeld();
  }

  function writeNow(data: Uint8Array): Promise<void> | undefined {
    if (data.length === 0) return undefined;
    start();
    return reply.write(data);
  }

  function writeHeld(): Promise<void> | undefined {
    const data = Buffer.concat(held);
    held = [];
    heldBytes = 0;
    return writeNow(data);
  }

  function finish(): void {
    if (events === undefined) start(heldBytes);
    start();
    // What is held is bounded, so its room need not be awaited.
    void writeNow(events?.finish() ?? new Uint8Array());
    void writeHeld();
  }

  function reset(): void {
    held = [];
    heldBytes = 0;
    pendingHead = undefined;
    events = undefined;
  }
}

/** True when the answer is a stream of server-sent events. */
function isEventStream(head: Head): boolean {
  const type = head.headers.find((header) =>
    header.name.toLowerCase() === "content-type"
  );
  return type?.value.startsWith("text/event-stream") ?? false;
}
