/**
 * Joins the pieces of a response in one block of memory, which doubles when it
 * is full. Kept pieces would each hold the whole block that they were read
 * into, and joining anew for each piece takes time quadratic in their number.
 */

/** Minimum size of a block for more than one piece, in bytes. */
const minJoinedBytes = 1_024;

/** The bytes that were added since the last ones were taken. */
export interface ByteCollector {
  /** Copies a piece to the end. */
  add(data: Uint8Array): void;
  getLength(): number;
  /** Returns the bytes, which are valid until the next call. */
  getBytes(): Buffer;
  /** Returns the bytes and forgets them. */
  take(): Buffer;
}

/** Creates a collector without bytes. */
export function createByteCollector(): ByteCollector {
  let block = Buffer.alloc(0);
  let length = 0;

  return { add, getLength: () => length, getBytes, take };

  function add(data: Uint8Array): void {
    const neededBytes = length + data.byteLength;
    if (neededBytes > block.length) grow(neededBytes);
    block.set(data, length);
    length = neededBytes;
  }

  function grow(neededBytes: number): void {
    const size = length === 0
      ? neededBytes
      : Math.max(minJoinedBytes, 2 * block.length, neededBytes);
    const larger = Buffer.allocUnsafe(size);
    larger.set(getBytes());
    block = larger;
  }

  function getBytes(): Buffer {
    return block.subarray(0, length);
  }

  function take(): Buffer {
    const bytes = getBytes();
    block = Buffer.alloc(0);
    length = 0;
    return bytes;
  }
}
