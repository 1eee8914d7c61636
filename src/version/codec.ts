/** Hashes and compresses the texts of configurations. */

import { promisify } from "node:util";
import { deflateRaw, inflateRaw } from "node:zlib";

/** Hashes a text to 32 bits. */
export type Hash = (text: string) => number;

/** Hashes and compresses texts. */
export interface Codec {
  readonly hash: Hash;
  compress(text: string): Promise<Buffer>;
  /** Rejects when the data is corrupted. */
  decompress(data: Buffer): Promise<string>;
  /** Resolves after the event loop has handled other pending work. */
  yieldToEventLoop(): Promise<void>;
}

const deflate = promisify<string, Buffer>(deflateRaw);
const inflate = promisify<Buffer, Buffer>(inflateRaw);

/** Creates a codec that compresses in the thread pool, off the event loop. */
export function createCodec(options: { readonly hash: Hash }): Codec {
  return {
    hash: options.hash,
    compress: (text) => deflate(text),
    decompress: async (data) => (await inflate(data)).toString(),
    yieldToEventLoop: () =>
      new Promise((resolve) => {
        setImmediate(resolve);
      }),
  };
}
