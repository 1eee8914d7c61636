/**
 * Finds the place of a chat without a table of chats: weighted rendezvous
 * hashing ranks the targets of a service for each key. A join or leave moves
 * only the keys of the target that came or went.
 */

import xxhash from "xxhash-wasm";

/** What placement needs to know of a target. */
export interface Candidate {
  readonly id: string;
  /** Relative capacity; 100 for a usual target. */
  readonly weight: number;
}

/** What placement needs from outside. */
export interface PlacementHost {
  /** Hashes bytes with a seed to 32 bits. */
  hash(bytes: Uint8Array, seed: number): number;
}

/** Options of one ranking. */
export interface RankingOptions {
  /** Id of the target that is asked first, when it is a candidate. */
  readonly hint?: string | undefined;
  /** Most targets to return. */
  readonly limit?: number;
}

/** Ranks targets for keys. */
export interface Placement {
  /** The targets in the order in which they are asked for this key. */
  rankTargets<T extends Candidate>(
    key: string,
    candidates: readonly T[],
    options?: RankingOptions,
  ): readonly T[];
}

/** Number of values of a 32-bit hash. */
const hashRange = 0x1_0000_0000;

/** Targets that are ranked when no limit is given. */
const defaultLimit = 8;

/** Ids whose seed is kept; the oldest goes first. */
const maxCachedSeeds = 20_000;

/** Loads the hashing library and returns a host for `createPlacement`. */
export async function loadPlacementHost(): Promise<PlacementHost> {
  const { h32Raw } = await xxhash();
  return { hash: h32Raw };
}

/** Creates a ranking over the host's hash. */
export function createPlacement(host: PlacementHost): Placement {
  const encoder = new TextEncoder();
  const seeds = new Map<string, number>();

  return { rankTargets };

  function rankTargets<T extends Candidate>(
    key: string,
    candidates: readonly T[],
    options: RankingOptions = {},
  ): readonly T[] {
    const limit = options.limit ?? defaultLimit;
    const bytes = encoder.encode(key);
    const ranked: { readonly candidate: T; readonly score: number }[] = [];
    for (const candidate of candidates) {
      const score = getScore(bytes, candidate, options.hint);
      insertRanked(ranked, { candidate, score }, limit);
    }
    return ranked.map((entry) => entry.candidate);
  }

  function getScore(
    key: Uint8Array,
    candidate: Candidate,
    hint: string | undefined,
  ): number {
    if (candidate.id === hint) return Number.POSITIVE_INFINITY;
    const hash = host.hash(key, getSeed(candidate.id));
    // The half keeps the logarithm away from 0 and 1.
    return -candidate.weight / Math.log((hash + 0.5) / hashRange);
  }

  function getSeed(id: string): number {
    const cachedSeed = seeds.get(id);
    if (cachedSeed !== undefined) return cachedSeed;
    if (seeds.size >= maxCachedSeeds) evictOldestSeed();
    const seed = host.hash(encoder.encode(id), 0);
    seeds.set(id, seed);
    return seed;
  }

  function evictOldestSeed(): void {
    const oldest = seeds.keys().next();
    if (!oldest.done) seeds.delete(oldest.value);
  }
}

/** Keeps the `limit` best entries in falling order of score. */
function insertRanked<T extends { readonly score: number }>(
  ranked: T[],
  entry: T,
  limit: number,
): void {
  const last = ranked[limit - 1];
  if (last !== undefined && last.score >= entry.score) return;
  let index = Math.min(ranked.length, limit - 1);
  while (index > 0) {
    const previous = ranked[index - 1];
    if (previous === undefined || previous.score >= entry.score) break;
    ranked[index] = previous;
    index--;
  }
  ranked[index] = entry;
}
