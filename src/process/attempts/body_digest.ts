/** Hashes bodies, so that both ends can verify that a response is complete. */

import xxhash from "xxhash-wasm";

/** Incremental digest of one body. */
export interface BodyDigest {
  update(data: Uint8Array): void;
  /** Returns the 64 bits of the digest as 16 hexadecimal digits. */
  getHex(): string;
}

/** Creates digests; see `loadBodyDigests`. */
export interface BodyDigests {
  create(): BodyDigest;
}

/** Loads the hash function; called once per process. */
export async function loadBodyDigests(): Promise<BodyDigests> {
  const { create64 } = await xxhash();
  return { create };

  function create(): BodyDigest {
    const hash = create64();
    return {
      update: (data) => {
        hash.update(data);
      },
      getHex: () => hash.digest().toString(16).padStart(16, "0"),
    };
  }
}
