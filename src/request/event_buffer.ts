/**
 * Buffers the tail of an event stream that must not reach the caller yet: an
 * incomplete event, and everything from the end marker on until the response
 * has been checked.
 */

/** Lines that mark the end of a chat's event stream. */
const endMarkers = [Buffer.from("data: [DONE]"), Buffer.from("data:[DONE]")];

/** Blank lines that end an event, with either kind of line break. */
const eventTerminators = [Buffer.from("\n\n"), Buffer.from("\r\n\r\n")];

/** Byte before a marker that begins a line. */
const lineBreak = 0x0a;

/** Maximum buffered bytes; a longer event is forwarded in parts. */
const maxBufferedBytes = 256 * 1024;

/** Buffer for the tail of one event stream. */
export interface EventBuffer {
  /** Takes bytes and returns those that may be sent now. */
  push(data: Uint8Array): Uint8Array;
  /** Returns the tail; called once the response is known to be complete. */
  finish(): Uint8Array;
}

/** Creates an empty buffer. */
export function createEventBuffer(): EventBuffer {
  let buffered: Buffer = Buffer.alloc(0);

  return { push, finish };

  function push(data: Uint8Array): Uint8Array {
    const all = buffered.length === 0
      ? Buffer.from(data.buffer, data.byteOffset, data.length)
      : Buffer.concat([buffered, data]);
    const end = getSendableLength(all);
    buffered = all.subarray(end);
    return all.subarray(0, end);
  }

  function finish(): Uint8Array {
    const tail = buffered;
    buffered = Buffer.alloc(0);
    return tail;
  }
}

/** Returns the length of the complete events before the end marker. */
function getSendableLength(bytes: Buffer): number {
  const marker = findMarker(bytes);
  if (marker >= 0) return marker;
  const end = Math.max(
    ...eventTerminators.map((text) => getEndOfLast(bytes, text)),
  );
  if (end > 0) return end;
  return bytes.length > maxBufferedBytes ? bytes.length : 0;
}

/** Returns the position after the last occurrence; 0 without one. */
function getEndOfLast(bytes: Buffer, text: Buffer): number {
  const last = bytes.lastIndexOf(text);
  return last < 0 ? 0 : last + text.length;
}

/** Returns the position of the first marker line; -1 without one. */
function findMarker(bytes: Buffer): number {
  const found = endMarkers
    .map((marker) => findLine(bytes, marker))
    .filter((at) => at >= 0);
  return found.length === 0 ? -1 : Math.min(...found);
}

/** Returns the position of the first line that begins with a text, or -1. */
function findLine(bytes: Buffer, text: Buffer): number {
  let at = bytes.indexOf(text);
  while (at > 0 && bytes[at - 1] !== lineBreak) {
    at = bytes.indexOf(text, at + 1);
  }
  return at;
}
