/** A codec for tests under fake timers; it uses no worker threads. */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Codec } from "../../src/version/codec.ts";

/** Creates a codec that works synchronously. */
export function createTestCodec(): Codec {
  return {
    hash: hashText,
    compress: (text) => Promise.resolve(deflateRawSync(text)),
    decompress: (data) => Promise.resolve(inflateRawSync(data).toString()),
    yieldToEventLoop: () => Promise.resolve(),
  };
}

function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}
