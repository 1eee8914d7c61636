/** Digests of bodies, by which both ends check that an answer is whole. */

import xxhash from "xxhash-wasm";

/** Digest of one body that grows piece by piece. */
export interface BodyDigest {
  update(data: Uint8Array): void;
  /** 64 bits as 16 hexadecimal digits. */
  getHex(): string;
}

/** Creates digests; see `loadBodyDigests`. */
export interface BodyDigests {
  create(): BodyDigest;
}

/** Loads the hash function once for the process. */
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
