/** Reads or discards the body of a response, up to a maximum size. */

import type { Readable } from "node:stream";

/** Error code of a body that exceeds its maximum size. */
const limitErrorCode = "BODY_LIMIT";

/**
 * Reads a body to its end and decodes it as UTF-8. Throws, and stops reading,
 * once the body exceeds the maximum size.
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  { maxBytes, onChunk }: {
    readonly maxBytes: number;
    /** Called with the size of each piece that has arrived, in bytes. */
    onChunk?(bytes: number): void;
  },
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.byteLength;
    onChunk?.(chunk.byteLength);
    if (bytes > maxBytes) throw createLimitError(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes).toString("utf8");
}

/**
 * Reads a body without keeping it, so that its connection can be used again.
 * Closes the connection once the body exceeds a limit.
 */
export function discardBody(
  body: Readable,
  { maxBytes, timeoutMs }: {
    readonly maxBytes: number;
    readonly timeoutMs: number;
  },
): void {
  let bytes = 0;
  const timer = setTimeout(() => body.destroy(), timeoutMs).unref();
  body.on("error", () => undefined);
  body.on("close", () => clearTimeout(timer));
  body.on("data", (chunk: Uint8Array) => {
    bytes += chunk.byteLength;
    if (bytes > maxBytes) body.destroy();
  });
}

/**
 * Handles the head of a response, and closes its body when that throws: a body
 * that nobody reads keeps its connection.
 */
export function closeOnThrow<Result>(
  body: Readable,
  handle: () => Result,
): Result {
  try {
    return handle();
  } catch (error) {
    body.on("error", () => undefined).destroy();
    throw error;
  }
}

function createLimitError(maxBytes: number): Error {
  return Object.assign(new Error(`The body exceeds ${maxBytes} bytes`), {
    code: limitErrorCode,
  });
}
