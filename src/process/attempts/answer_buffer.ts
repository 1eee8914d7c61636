/**
 * Holds one answer while it arrives and is read, and as long as it is kept
 * for a resend. Bytes come in at one end; readers take them from any offset
 * that is still held, each at its own pace.
 */

import type {
  Chunk,
  Head,
  ResponseEvent,
  ResponseReader,
} from "../../types/response.ts";
import { assertInvariant } from "../../types/assert.ts";

/** Largest chunk given to a reader that has fallen behind, in bytes. */
const maxChunkBytes = 64 * 1024;

/** Chunks held one by one before they are joined. */
const maxLooseChunks = 64;

/** Size from which a chunk is left as it is, in bytes. */
const largeChunkBytes = 4 * 1024;

/** Bounds of one answer. */
export interface AnswerBufferOptions {
  /** Bytes held at most once readers have taken them. */
  readonly heldBytes: number;
}

/** One answer. */
export interface AnswerBuffer {
  /** Adds the next event; chunks must follow each other. */
  append(event: ResponseEvent): void;
  /** Starts to read at an offset; undefined when it is not held. */
  tryCreateReader(offset: number): ResponseReader | undefined;
  /** Bytes of the body received so far. */
  getLength(): number;
  /** Bytes of the body in memory. */
  getHeldBytes(): number;
  /** Bytes that the fastest reader still has to take; 0 without readers. */
  getUnreadBytes(): number;
  getReaders(): number;
  /** The refusal, end or failure, once it is there. */
  tryGetLast(): ResponseEvent | undefined;
  /** Calls back when a reader has taken something, has come or has gone. */
  onRead(listener: () => void): void;
}

/** State of one reader. */
interface Cursor {
  offset: number;
  headSent: boolean;
  lastSent: boolean;
  listener: () => void;
}

/** Creates an empty answer. */
export function createAnswerBuffer(
  options: AnswerBufferOptions,
): AnswerBuffer {
  let head: Head | undefined;
  let last: ResponseEvent | undefined;
  let chunks: Chunk[] = [];
  let looseChunks = 0;
  let start = 0;
  let length = 0;
  const cursors = new Set<Cursor>();
  let notifyRead = (): void => undefined;

  return {
    append,
    tryCreateReader,
    getLength: () => length,
    getHeldBytes: () => length - start,
    getUnreadBytes,
    getReaders: () => cursors.size,
    tryGetLast: () => last,
    onRead: (listener) => {
      notifyRead = listener;
    },
  };

  function append(event: ResponseEvent): void {
    assertInvariant(last === undefined, "no event follows the last one");
    if (event.kind === "head") head = event;
    else if (event.kind === "chunk") appendChunk(event);
    else end(event);
    [...cursors].forEach((cursor) => cursor.listener());
  }

  function appendChunk(chunk: Chunk): void {
    assertInvariant(chunk.offset === length, "chunks follow each other");
    length += chunk.data.byteLength;
    chunks.push(chunk);
    const large = chunk.data.byteLength >= largeChunkBytes;
    looseChunks = large ? 0 : looseChunks + 1;
    if (looseChunks >= maxLooseChunks) joinChunks();
    trim();
  }

  function end(event: ResponseEvent): void {
    last = event;
    joinChunks();
  }

  /** Small chunks cost more than their bytes, so the last ones are joined. */
  function joinChunks(): void {
    const count = looseChunks;
    looseChunks = 0;
    if (count < 2) return;
    const parts = chunks.slice(-count);
    const [first] = parts;
    assertInvariant(first !== undefined, "loose chunks are held");
    const data = Buffer.concat(parts.map((part) => part.data));
    chunks.splice(-count, count, { ...first, data });
  }

  /** Forgets bytes from the front that every reader has taken. */
  function trim(): void {
    const needed = getLeastOffset();
    let count = 0;
    while (length - start > options.heldBytes) {
      const first = chunks[count];
      if (first === undefined || getEnd(first) > needed) break;
      start = getEnd(first);
      count++;
    }
    if (count === 0) return;
    chunks = chunks.slice(count);
    looseChunks = Math.min(looseChunks, chunks.length);
  }

  function getLeastOffset(): number {
    let least = length;
    cursors.forEach((cursor) => {
      least = Math.min(least, cursor.offset);
    });
    return least;
  }

  function getUnreadBytes(): number {
    let least = cursors.size === 0 ? 0 : length;
    cursors.forEach((cursor) => {
      least = Math.min(least, length - cursor.offset);
    });
    return least;
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
    notifyRead();
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
    notifyRead();
    return last;
  }

  function readChunk(cursor: Cursor): Chunk {
    const offset = cursor.offset;
    const parts: Uint8Array[] = [];
    let size = 0;
    for (let at = findChunk(offset); at < chunks.length; at++) {
      const chunk = chunks[at];
      if (chunk === undefined || size >= maxChunkBytes) break;
      const part = chunk.data.subarray(offset + size - chunk.offset);
      parts.push(part);
      size += part.byteLength;
    }
    cursor.offset += size;
    trim();
    notifyRead();
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
    if (cursors.delete(cursor)) notifyRead();
  }
}

function getEnd(chunk: Chunk): number {
  return chunk.offset + chunk.data.byteLength;
}
