/**
 * Buffers one response while it arrives and is read, and while it is retained
 * for retries. Each reader starts at any offset that is still buffered and
 * reads at its own pace.
 */

import type {
  Chunk,
  Head,
  ResponseEvent,
  ResponseReader,
} from "../../types/response.ts";
import { assertInvariant } from "../../types/assert.ts";

/** Size from which a chunk for a lagging reader is not extended, in bytes. */
const maxReadChunkBytes = 64 * 1024;

/** Number of small chunks that are buffered before they are coalesced. */
const maxSmallChunks = 64;

/** Minimum size of a chunk that is never coalesced, in bytes. */
const largeChunkBytes = 4 * 1024;

/** Limits of one response. */
export interface ResponseBufferOptions {
  /** Maximum number of bytes retained after all readers have read them. */
  readonly maxRetainedBytes: number;
}

/** One response, with its readers. */
export interface ResponseBuffer {
  /** Appends the next event; chunks must be contiguous. */
  append(event: ResponseEvent): void;
  /** Creates a reader at an offset; undefined when it is not buffered. */
  tryCreateReader(offset: number): ResponseReader | undefined;
  /** Returns the number of bytes of the body received so far. */
  getLength(): number;
  /** Returns the number of bytes of the body in memory. */
  getBufferedBytes(): number;
  /** Returns the bytes unread by the fastest reader; 0 without readers. */
  getUnreadBytes(): number;
  getReaderCount(): number;
  /** Returns the refusal, end or failure; undefined until it has arrived. */
  tryGetLastEvent(): ResponseEvent | undefined;
  /** Calls back when a reader is created, has read or is closed. */
  onReaderChange(listener: () => void): void;
}

/** Position of one reader. */
interface Cursor {
  offset: number;
  headSent: boolean;
  lastSent: boolean;
  listener: () => void;
}

/** Creates an empty buffer. */
export function createResponseBuffer(
  options: ResponseBufferOptions,
): ResponseBuffer {
  let head: Head | undefined;
  let last: ResponseEvent | undefined;
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

  function append(event: ResponseEvent): void {
    assertInvariant(last === undefined, "no event follows the last event");
    if (event.kind === "head") head = event;
    else if (event.kind === "chunk") appendChunk(event);
    else appendLast(event);
    [...cursors].forEach((cursor) => cursor.listener());
  }

  function appendChunk(chunk: Chunk): void {
    assertInvariant(chunk.offset === length, "chunks are contiguous");
    length += chunk.data.byteLength;
    chunks.push(chunk);
    const isLarge = chunk.data.byteLength >= largeChunkBytes;
    smallChunks = isLarge ? 0 : smallChunks + 1;
    if (smallChunks >= maxSmallChunks) coalesceChunks();
    trim();
  }

  function appendLast(event: ResponseEvent): void {
    last = event;
    coalesceChunks();
  }

  /** Joins the last small chunks: each one costs memory beyond its bytes. */
  function coalesceChunks(): void {
    const count = smallChunks;
    smallChunks = 0;
    if (count < 2) return;
    const parts = chunks.slice(-count);
    const [first] = parts;
    assertInvariant(first !== undefined, "small chunks are buffered");
    const data = Buffer.concat(parts.map((part) => part.data));
    chunks.splice(-count, count, { ...first, data });
  }

  /** Removes leading chunks above the limit that every reader has read. */
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

  function tryCreateReader(offset: number): ResponseReader | undefined {
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

  function tryRead(cursor: Cursor): ResponseEvent | undefined {
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
    assertInvariant(first !== undefined, "unread bytes are buffered");
    const data = parts.length === 1 ? first : Buffer.concat(parts, size);
    return { kind: "chunk", offset, data };
  }

  /** Returns the index of the chunk that contains an offset. */
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
