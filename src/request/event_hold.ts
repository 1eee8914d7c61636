/**
 * Holds back what must not reach the caller of a stream too early: an event
 * that is not whole yet, and the end marker until the answer is checked.
 */

/** The end marker of a stream of server-sent events. */
const endMarker = Buffer.from("data: [DONE]\n\n");

/** The line break pair that ends an event. */
const eventEnd = Buffer.from("\n\n");

/** Bytes of one unfinished event that are held; longer ones pass, in bytes. */
const maxHeldBytes = 256 * 1024;

/** Holds back the tail of one stream. */
export interface EventHold {
  /** Takes bytes and returns those that may be sent now. */
  push(data: Uint8Array): Uint8Array;
  /** Returns the tail once the answer is known to be whole. */
  finish(): Uint8Array;
}

/** Creates an empty hold. */
export function createEventHold(): EventHold {
  let held: Buffer = Buffer.alloc(0);

  return { push, finish };

  function push(data: Uint8Array): Uint8Array {
    const all = held.length === 0
      ? Buffer.from(data.buffer, data.byteOffset, data.length)
      : Buffer.concat([held, data]);
    const end = getSendableLength(all);
    held = all.subarray(end);
    return all.subarray(0, end);
  }

  function finish(): Uint8Array {
    const tail = held;
    held = Buffer.alloc(0);
    return tail;
  }
}

/** Length of the leading part that consists of whole events. */
function getSendableLength(bytes: Buffer): number {
  const last = bytes.lastIndexOf(eventEnd);
  if (last < 0) return bytes.length > maxHeldBytes ? bytes.length : 0;
  const end = last + eventEnd.length;
  const marker = end - endMarker.length;
  const isMarked = marker >= 0 &&
    bytes.subarray(marker, end).equals(endMarker);
  return isMarked ? marker : end;
}
