/**
 * Which target keeps which parts of prompts in its cache, from what this router
 * and its peers have sent there. A part counts only behind all parts before it.
 */

import type { PromptPart } from "../../types/prompt.ts";

/** Parts that are remembered; the part used longest ago goes first. */
const maxParts = 20_000;

/** A part that a target holds. */
export interface CachedPart {
  readonly target: string;
  readonly part: PromptPart;
}

/** A part that a target has just been given. */
export interface PlacedPart extends CachedPart {
  /** True when the target reads it; false when it copies it or has it. */
  readonly isBeingRead: boolean;
}

/** Parts of prompts by target. */
export interface CachedParts {
  /** A target has read, or is reading, all these parts. */
  note(target: string, parts: readonly PromptPart[]): void;
  /** A peer tells that a target holds one part. */
  recordPart(target: string, part: PromptPart): void;
  /** Tokens of the leading parts that the target holds without a gap. */
  getCachedTokens(target: string, parts: readonly PromptPart[]): number;
  /** True when the target is known to hold the part. */
  isCached(target: string, part: string): boolean;
  /** All that is known, the part used last at the end. */
  getAll(): readonly CachedPart[];
  /** The target is gone or has restarted empty. */
  forgetTarget(target: string): void;
  getSize(): number;
}

interface PartHolders {
  readonly tokens: number;
  readonly targets: Set<string>;
}

/** Creates an empty memory. */
export function createCachedParts(): CachedParts {
  /** Targets by part, the part used last at the end. */
  const holders = new Map<string, PartHolders>();

  return {
    note: (target, parts) => parts.forEach((part) => recordPart(target, part)),
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
