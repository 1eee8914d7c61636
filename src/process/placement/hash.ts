/** Provides the hash for the checksums and fingerprints of configurations. */

import xxhash from "xxhash-wasm";

/** Loads the hash library and returns a 32-bit hash function for text. */
export async function loadHash(): Promise<(text: string) => number> {
  const { h32 } = await xxhash();
  return (text) => h32(text);
}
