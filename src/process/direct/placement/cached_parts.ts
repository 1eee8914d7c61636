/**
 * Tracks which prompt parts are in the prefix cache of which target, from what
 * this router and its peers have sent there. A part counts only when all parts
 * before it are cached too.
 */

import type { PromptPart } from "../../../types/prompt.ts";

/** Maximum number of parts tracked; the least recently used is evicted. */
const maxParts = 20_000;

/** A prompt part in the cache of a target. */
export interface CachedPart {
  readonly target: string;
  readonly part: PromptPart;
}

/** A prompt part that was just sent to a target. */
export interface PlacedPart extends CachedPart {
  /** True when the target prefills it; false when it copies or has it. */
  readonly isBeingRead: boolean;
}

/** Cached prompt parts by target. */
export interface CachedParts {
  /** Records that a target has prefilled, or is prefilling, these parts. */
  recordParts(target: string, parts: readonly PromptPart[]): void;
  /** Records one part that a peer reports as cached. */
  recordPart(target: string, part: PromptPart): void;
  /** Returns the tokens of the leading parts that the target has cached. */
  getCachedTokens(target: string, parts: readonly PromptPart[]): number;
  /** Returns true when the part is known to be cached on the target. */
  isCached(target: string, part: string): boolean;
  /** Returns all cached parts, the most recently used part last. */
  getAll(): readonly CachedPart[];
  /** Forgets a target that was removed or has restarted with an empty cache. */
  forgetTarget(target: string): void;
  /** Returns the number of parts tracked. */
  getSize(): number;
}

/** Targets that have one part cached, and the part's size. */
interface PartHolders {
  readonly tokens: number;
  readonly targets: Set<string>;
}

/** Creates an empty record of cached parts. */
export function createCachedParts(): CachedParts {
  /** Targets by part id, the most recently used part last. */
  const holders = new Map<string, PartHolders>();

  return {
    recordParts: (target, parts) =>
      parts.forEach((part) => recordPart(target, part)),
    recordPart,
    getCachedTokens,
    isCached,
    getAll,
    forgetTarget,
    getSize: () => holders.size,
  };

  function recordPart(target: string, { id, tokens }: PromptPart): void {
    const targets = holders.get(id)?.targets ?? new Set();
    targets.add(target);
    holders.delete(id);
    holders.set(id, { tokens, targets });
    if (holders.size <= maxParts) return;
    const [oldest] = holders.keys();
    if (oldest !== undefined) holders.delete(oldest);
  }

  function getCachedTokens(
    target: string,
    parts: readonly PromptPart[],
  ): number {
    let tokens = 0;
    for (const part of parts) {
      if (!isCached(target, part.id)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  function isCached(target: string, part: string): boolean {
    return holders.get(part)?.targets.has(target) ?? false;
  }

  function getAll(): readonly CachedPart[] {
    return [...holders].flatMap(([id, { tokens, targets }]) =>
      [...targets].map((target) => ({ target, part: { id, tokens } }))
    );
  }

  function forgetTarget(target: string): void {
    holders.forEach(({ targets }, part) => {
      targets.delete(target);
      if (targets.size === 0) holders.delete(part);
    });
  }
}
