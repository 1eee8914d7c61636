/** What turns configurations into texts, pieces and checksums. */

import { promisify } from "node:util";
import { deflateRaw, inflateRaw } from "node:zlib";

/** Hashes a text to 32 bits. */
export type Hash = (text: string) => number;

/** Hashes and compresses texts. */
export interface Codec {
  readonly hash: Hash;
  compress(text: string): Promise<Buffer>;
  /** Rejects when the data is damaged. */
  decompress(data: Buffer): Promise<string>;
  /** Lets other work of the process go first. */
  yieldToEventLoop(): Promise<void>;
}

const deflate = promisify<string, Buffer>(deflateRaw);
const inflate = promisify<Buffer, Buffer>(inflateRaw);

/** Creates a codec that compresses beside the event loop. */
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
