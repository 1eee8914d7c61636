/** The hash that checksums and ranks are made with. */

import xxhash from "xxhash-wasm";

/** Loads the hash library; the result hashes a text to 32 bits. */
export async function loadHash(): Promise<(text: string) => number> {
  const { h32 } = await xxhash();
  return (text) => h32(text);
}
