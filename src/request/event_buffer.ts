/**
 * Buffers the tail of an event stream that must not reach the caller yet: an
 * incomplete event, and everything from the end marker on until the response
 * has been checked.
 */

import { createByteCollector } from "./byte_collector.ts";

/** Lines that mark the end of a chat's event stream. */
const endMarkers = [Buffer.from("data: [DONE]"), Buffer.from("data:[DONE]")];

/** Blank lines that end an event, with either kind of line break. */
const eventTerminators = [Buffer.from("\n\n"), Buffer.from("\r\n\r\n")];

/** Maximum length of a marker or terminator without its last byte, in bytes. */
const maxSplitBytes = 16;

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
  /**
   * Returns true when more follows the end marker than can be buffered; the
   * response is then broken.
   */
  isOverfull(): boolean;
}

/** Creates an empty buffer. */
export function createEventBuffer(): EventBuffer {
  const buffered = createByteCollector();
  /** True once the end marker is buffered. */
  let hasMarker = false;

  return { push, finish, isOverfull };

  function push(data: Uint8Array): Uint8Array {
    if (isOverfull()) return new Uint8Array();
    const searchFrom = Math.max(0, buffered.getLength() - maxSplitBytes);
    buffered.add(data);
    if (hasMarker) return new Uint8Array();
    const marker = findMarker(buffered.getBytes(), searchFrom);
    hasMarker = marker >= 0;
    const end = hasMarker
      ? marker
      : getSendableLength(buffered.getBytes(), searchFrom);
    if (end === 0) return new Uint8Array();
    const all = buffered.take();
    buffered.add(all.subarray(end));
    return all.subarray(0, end);
  }

  function isOverfull(): boolean {
    return hasMarker && buffered.getLength() > maxBufferedBytes;
  }

  function finish(): Uint8Array {
    hasMarker = false;
    return buffered.take();
  }
}

/** Returns the length of the complete events, or of a long part of one. */
function getSendableLength(bytes: Buffer, searchFrom: number): number {
  const end = Math.max(
    ...eventTerminators.map((text) => getEndOfLast(bytes, text, searchFrom)),
  );
  if (end > 0) return end;
  return bytes.length > maxBufferedBytes ? bytes.length : 0;
}

/** Returns the position after the last occurrence; 0 without one. */
function getEndOfLast(
  bytes: Buffer,
  text: Buffer,
  searchFrom: number,
): number {
  const last = bytes.subarray(searchFrom).lastIndexOf(text);
  return last < 0 ? 0 : searchFrom + last + text.length;
}

/** Returns the position of the first marker line; -1 without one. */
function findMarker(bytes: Buffer, searchFrom: number): number {
  const found = endMarkers
    .map((marker) => findLine(bytes, marker, searchFrom))
    .filter((at) => at >= 0);
  return found.length === 0 ? -1 : Math.min(...found);
}

/** Returns the position of the first line that begins with a text, or -1. */
function findLine(bytes: Buffer, text: Buffer, searchFrom: number): number {
  let at = bytes.indexOf(text, searchFrom);
  while (at > 0 && bytes[at - 1] !== lineBreak) {
    at = bytes.indexOf(text, at + 1);
  }
  return at;
}
