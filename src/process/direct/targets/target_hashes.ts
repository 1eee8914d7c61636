/** Finds the processes of targets by the hashes that digests carry. */

import type { DirectTarget } from "../../../types/direct_target.ts";

/** Interval at which targets are looked up for unknown hashes, in ms. */
const lookupIntervalMs = 1_000;

/** The hashes of processes of targets. */
export interface TargetHashes {
  /** Returns the hash of the target's id and its start time, of 32 bits. */
  getHash(target: DirectTarget): number;
  tryFind(hash: number): DirectTarget | undefined;
  /** Forgets what was looked up, as the targets have changed. */
  clear(): void;
}

/** Creates the hashes of the known targets. */
export function createTargetHashes(
  host: {
    /** Returns the known targets. */
    getTargets(): readonly DirectTarget[];
    /** Returns a hash of 32 bits, the same at all routers. */
    hash(text: string): number;
  },
): TargetHashes {
  const targetsByHash = new Map<number, DirectTarget>();
  let lookedUpAt = Number.NEGATIVE_INFINITY;

  return { getHash, tryFind, clear: () => targetsByHash.clear() };

  function getHash({ id, startedAtMs }: DirectTarget): number {
    return host.hash(`${id} ${startedAtMs}`) >>> 0;
  }

  function tryFind(hash: number): DirectTarget | undefined {
    const now = performance.now();
    if (!targetsByHash.has(hash) && now - lookedUpAt >= lookupIntervalMs) {
      lookedUpAt = now;
      targetsByHash.clear();
      host.getTargets().forEach((target) =>
        targetsByHash.set(getHash(target), target)
      );
    }
    return targetsByHash.get(hash);
  }
}
