/** The last patches as texts, kept to serve members that are a little behind. */

import type { Patch } from "../types/configuration.ts";
import { formatPatch } from "./patch_text.ts";

/** The newest patches of a process, without a gap. */
export interface PatchTail {
  add(patch: Patch): void;
  /** Forgets everything, after a snapshot took the place of patches. */
  clear(): void;
  /** Texts after a version up to `version`; undefined when some are gone. */
  tryGetAfter(
    afterVersion: number,
    version: number,
  ): readonly string[] | undefined;
}

/** Most patches kept. */
const maxPatches = 500;

/** Most characters kept. */
const maxLength = 2_000_000;

/** Creates an empty tail. */
export function createPatchTail(): PatchTail {
  const texts = new Map<number, string>();
  let length = 0;

  return { add, clear, tryGetAfter };

  function add(patch: Patch): void {
    const text = formatPatch(patch);
    texts.set(patch.version, text);
    length += text.length;
    while (texts.size > maxPatches || length > maxLength) removeOldest();
  }

  function removeOldest(): void {
    const [oldest] = texts;
    if (oldest === undefined) return;
    texts.delete(oldest[0]);
    length -= oldest[1].length;
  }

  function clear(): void {
    texts.clear();
    length = 0;
  }

  function tryGetAfter(
    afterVersion: number,
    version: number,
  ): readonly string[] | undefined {
    const found: string[] = [];
    for (let next = afterVersion + 1; next <= version; next++) {
      const text = texts.get(next);
      if (text === undefined) return undefined;
      found.push(text);
    }
    return found;
  }
}
