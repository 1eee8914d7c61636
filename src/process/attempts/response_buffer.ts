/**
 * Holds one answer while it arrives and is read, and as long as it is kept
 * for a resend. Bytes come in at one end; readers take them from any offset
 * that is still held, each at its own pace.
 */

import type {
  AnswerEvent,
  AnswerReader,
  Chunk,
  Head,
} from "../../types/answer.ts";
import { assertInvariant } from "../../types/assert.ts";

/** Largest chunk given to a reader that has fallen behind, in bytes. */
const maxReadChunkBytes = 64 * 1024;

/** Chunks held one by one before they are joined. */
const maxSmallChunks = 64;

/** Size from which a chunk is left as it is, in bytes. */
const largeChunkBytes = 4 * 1024;

/** Bounds of one answer. */
export interface ResponseBufferOptions {
  /** Bytes held at most once readers have taken them. */
  readonly maxRetainedBytes: number;
}

/** One answer. */
export interface ResponseBuffer {
  /** Adds the next event; chunks must follow each other. */
  append(event: AnswerEvent): void;
  /** Starts to read at an offset; undefined when it is not held. */
  tryCreateReader(offset: number): AnswerReader | undefined;
  /** Bytes of the body received so far. */
  getLength(): number;
  /** Bytes of the body in memory. */
  getBufferedBytes(): number;
  /** Bytes that the fastest reader still has to take; 0 without readers. */
  getUnreadBytes(): number;
  getReaderCount(): number;
  /** The refusal, end or failure, once it is there. */
  tryGetLastEvent(): AnswerEvent | undefined;
  /** Calls back when a reader has taken something, has come or has gone. */
  onReaderChange(listener: () => void): void;
}

/** State of one reader. */
interface Cursor {
  offset: number;
  headSent: boolean;
  lastSent: boolean;
  listener: () => void;
}

/** Creates an empty answer. */
export function createResponseBuffer(
  options: ResponseBufferOptions,
): ResponseBuffer {
  let head: Head | undefined;
  let last: AnswerEvent | undefined;
  let chunks: Chunk[] = [];
  let smallChunks = 0;
  let start = 0;
  let length = 0;
  const cursors = new Set<Cursor>();
  let notifyReaderChange = (): void => undefined;

  return {
    append,
    tryCreateReader,
    getLength: () => length,
    getBufferedBytes: () => length - start,
    getUnreadBytes,
    getReaderCount: () => cursors.size,
    tryGetLastEvent: () => last,
    onReaderChange: (listener) => {
      notifyReaderChange = listener;
    },
  };

  function append(event: AnswerEvent): void {
    assertInvariant(last === undefined, "no event follows the last one");
    if (event.kind === "head") head = event;
    else if (event.kind === "chunk") appendChunk(event);
    else appendLast(event);
    [...cursors].forEach((cursor) => cursor.listener());
  }

  function appendChunk(chunk: Chunk): void {
    assertInvariant(chunk.offset === length, "chunks follow each other");
    length += chunk.data.byteLength;
    chunks.push(chunk);
    const isLarge = chunk.data.byteLength >= largeChunkBytes;
    smallChunks = isLarge ? 0 : smallChunks + 1;
    if (smallChunks >= maxSmallChunks) coalesceChunks();
    trim();
  }

  function appendLast(event: AnswerEvent): void {
    last = event;
    coalesceChunks();
  }

  /** Small chunks cost more than their bytes, so the last ones are joined. */
  function coalesceChunks(): void {
    const count = smallChunks;
    smallChunks = 0;
    if (count < 2) return;
    const parts = chunks.slice(-count);
    const [first] = parts;
    assertInvariant(first !== undefined, "loose chunks are held");
    const data = Buffer.concat(parts.map((part) => part.data));
    chunks.splice(-count, count, { ...first, data });
  }

  /** Forgets bytes from the front that every reader has taken. */
  function trim(): void {
    const minOffset = getMinOffset();
    let count = 0;
    while (length - start > options.maxRetainedBytes) {
      const first = chunks[count];
      if (first === undefined || getEnd(first) > minOffset) break;
      start = getEnd(first);
      count++;
    }
    if (count === 0) return;
    chunks = chunks.slice(count);
    smallChunks = Math.min(smallChunks, chunks.length);
  }

  function getMinOffset(): number {
    let minOffset = length;
    cursors.forEach((cursor) => {
      minOffset = Math.min(minOffset, cursor.offset);
    });
    return minOffset;
  }

  function getUnreadBytes(): number {
    let minUnreadBytes = cursors.size === 0 ? 0 : length;
    cursors.forEach((cursor) => {
      minUnreadBytes = Math.min(minUnreadBytes, length - cursor.offset);
    });
    return minUnreadBytes;
  }

  function tryCreateReader(offset: number): AnswerReader | undefined {
    if (offset < start || offset > length) return undefined;
    const cursor: Cursor = {
      offset,
      headSent: false,
      lastSent: false,
      listener: () => undefined,
    };
    cursors.add(cursor);
    notifyReaderChange();
    return {
      tryRead: () => tryRead(cursor),
      onReadable: (listener) => {
        cursor.listener = listener;
      },
      close: () => close(cursor),
    };
  }

  function tryRead(cursor: Cursor): AnswerEvent | undefined {
    if (!cursors.has(cursor) || cursor.lastSent) return undefined;
    if (!cursor.headSent && head !== undefined) {
      cursor.headSent = true;
      return head;
    }
    if (cursor.offset < length) return readChunk(cursor);
    if (last === undefined) return undefined;
    cursor.lastSent = true;
    notifyReaderChange();
    return last;
  }

  function readChunk(cursor: Cursor): Chunk {
    const offset = cursor.offset;
    const parts: Uint8Array[] = [];
    let size = 0;
    for (let at = findChunk(offset); at < chunks.length; at++) {
      const chunk = chunks[at];
      if (chunk === undefined || size >= maxReadChunkBytes) break;
      const part = chunk.data.subarray(offset + size - chunk.offset);
      parts.push(part);
      size += part.byteLength;
    }
    cursor.offset += size;
    trim();
    notifyReaderChange();
    const [first] = parts;
    assertInvariant(first !== undefined, "unread bytes are held");
    const data = parts.length === 1 ? first : Buffer.concat(parts, size);
    return { kind: "chunk", offset, data };
  }

  /** Index of the chunk that holds the byte at the offset. */
  function findChunk(offset: number): number {
    let low = 0;
    let high = chunks.length - 1;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      const chunk = chunks[middle];
      if (chunk !== undefined && chunk.offset <= offset) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  function close(cursor: Cursor): void {
    if (cursors.delete(cursor)) notifyReaderChange();
  }
}

function getEnd(chunk: Chunk): number {
  return chunk.offset + chunk.data.byteLength;
}
