/**
 * Decides the order in which the targets of a service are asked to run a chat,
 * by weighted rendezvous hashing. It needs no table of chats, and when a target
 * joins or leaves, only the keys of that target move.
 */

import xxhash from "xxhash-wasm";

/** The properties of a target that its rank depends on. */
export interface Candidate {
  readonly id: string;
  /** Relative capacity; 100 for a typical target. */
  readonly weight: number;
}

/** The dependencies of placement. */
export interface PlacementHost {
  /** Returns the 32-bit hash of bytes with a seed. */
  hash(bytes: Uint8Array, seed: number): number;
}

/** Options of one ranking. */
export interface RankingOptions {
  /** Id of the target that ranks first if it is a candidate. */
  readonly hint?: string | undefined;
  /** Maximum number of targets to return. */
  readonly limit?: number;
}

/** Ranks targets for keys. */
export interface Placement {
  /** Returns the candidates with the highest scores for the key, best first. */
  rankTargets<T extends Candidate>(
    key: string,
    candidates: readonly T[],
    options?: RankingOptions,
  ): readonly T[];
}

/** Number of possible values of a 32-bit hash. */
const hashRange = 0x1_0000_0000;

/** Maximum number of targets to return when no limit is given. */
const defaultLimit = 8;

/** Capacity of the seed cache; the oldest entry is evicted first. */
const maxCachedSeeds = 20_000;

/** Loads the hash library and returns a host for `createPlacement`. */
export async function loadPlacementHost(): Promise<PlacementHost> {
  const { h32Raw } = await xxhash();
  return { hash: h32Raw };
}

/** Creates a placement that uses the host's hash. */
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
    // Adding 0.5 keeps the quotient strictly between 0 and 1, so that its
    // logarithm is finite and negative.
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

/** Inserts an entry in descending order of score, up to `limit` entries. */
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
