/**
 * Holds back what must not reach the caller of a stream too early: an event
 * that is not whole yet, and all from the end marker on until the answer is
 * checked.
 */

/** Lines that mark the end of a stream of server-sent events. */
const endMarkers = [Buffer.from("data: [DONE]"), Buffer.from("data:[DONE]")];

/** Line breaks that end an event. */
const eventTerminators = [Buffer.from("\n\n"), Buffer.from("\r\n\r\n")];

/** The line break before a marker. */
const lineBreak = 0x0a;

/** Bytes that are held at most; a longer event passes in parts. */
const maxBufferedBytes = 256 * 1024;

/** Holds back the tail of one stream. */
export interface EventBuffer {
  /** Takes bytes and returns those that may be sent now. */
  push(data: Uint8Array): Uint8Array;
  /** Returns the tail once the answer is known to be whole. */
  finish(): Uint8Array;
}

/** Creates an empty hold. */
export function createEventBuffer(): EventBuffer {
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

/** Length of the leading part that is whole events before the marker. */
function getSendableLength(bytes: Buffer): number {
  const marker = findMarker(bytes);
  if (marker >= 0) return marker;
  const end = Math.max(
    ...eventTerminators.map((text) => getEndOfLast(bytes, text)),
  );
  if (end > 0) return end;
  return bytes.length > maxBufferedBytes ? bytes.length : 0;
}

/** Position after the last occurrence; 0 when there is none. */
function getEndOfLast(bytes: Buffer, text: Buffer): number {
  const last = bytes.lastIndexOf(text);
  return last < 0 ? 0 : last + text.length;
}

/** Position of the first marker that begins a line; -1 when there is none. */
function findMarker(bytes: Buffer): number {
  const found = endMarkers
    .map((marker) => findLine(bytes, marker))
    .filter((at) => at >= 0);
  return found.length === 0 ? -1 : Math.min(...found);
}

/** Position of the first line that begins with a text; -1 without one. */
function findLine(bytes: Buffer, text: Buffer): number {
  let at = bytes.indexOf(text);
  while (at > 0 && bytes[at - 1] !== lineBreak) {
    at = bytes.indexOf(text, at + 1);
  }
  return at;
}
