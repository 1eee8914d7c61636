/**
 * Holds what a target has sent and its caller has not taken yet, and writes it
 * in pieces. The runtime would pass all of it to the system in one write, whose
 * progress can't be seen before its end.
 */

import type { ServerResponse } from "node:http";
import type { MemorySource } from "../types/held_memory.ts";

/** Size of a block that joins small pieces, such as events, in bytes. */
const blockBytes = 16 * 1024;

/** Size below which a piece is copied into a block, in bytes. */
const maxCopiedBytes = 4 * 1024;

/** Bytes of a response that wait to be written. */
export interface ReplyQueue extends Required<MemorySource> {
  /** Returns true when all of it was passed on and more may follow at once. */
  write(data: Uint8Array): boolean;
  /** Ends the response once all is written. */
  end(): void;
}

/** A block of memory, of which a part is filled. */
interface Block {
  readonly bytes: Buffer;
  length: number;
}

/** Creates the queue of a response to which nothing was written. */
export function createReplyQueue(
  response: ServerResponse,
  { handleDrain }: {
    /** Called when all that was held is written. */
    handleDrain(): void;
  },
): ReplyQueue {
  const blocks: Block[] = [];
  let queuedBytes = 0;
  let writtenBytes = 0;
  let isEnding = false;
  response.on("drain", flush);
  response.on("close", () => {
    blocks.length = 0;
    queuedBytes = 0;
  });

  return {
    write,
    end,
    getHeldBytes: () => queuedBytes + response.writableLength,
    getTakenBytes: () => writtenBytes - response.writableLength,
  };

  function write(data: Uint8Array): boolean {
    if (blocks.length === 0 && !response.writableNeedDrain) {
      return writeNow(data);
    }
    if (data.length >= maxCopiedBytes) {
      add(Buffer.from(data.buffer, data.byteOffset, data.length), data.length);
    } else copy(data);
    return false;
  }

  function writeNow(data: Uint8Array): boolean {
    writtenBytes += data.length;
    return response.write(data);
  }

  function add(bytes: Buffer, length: number): Block {
    const block = { bytes, length };
    blocks.push(block);
    queuedBytes += bytes.length;
    return block;
  }

  function copy(data: Uint8Array): void {
    const last = blocks.at(-1);
    const hasRoom = last !== undefined &&
      last.length + data.length <= last.bytes.length;
    const block = hasRoom ? last : add(Buffer.allocUnsafeSlow(blockBytes), 0);
    block.bytes.set(data, block.length);
    block.length += data.length;
  }

  function flush(): void {
    while (!response.writableNeedDrain) {
      const block = blocks.shift();
      if (block === undefined) break;
      queuedBytes -= block.bytes.length;
      writeNow(block.bytes.subarray(0, block.length));
    }
    if (blocks.length > 0) return;
    if (isEnding) response.end();
    else if (!response.writableNeedDrain) handleDrain();
  }

  function end(): void {
    isEnding = true;
    if (blocks.length === 0) response.end();
  }
}
