/** Keeps the texts of the last patches for members that are slightly behind. */

import type { Patch } from "../types/configuration.ts";
import { formatPatch } from "./patch_text.ts";

/** Texts of the newest patches of a process, without gaps. */
export interface PatchTail {
  add(patch: Patch): void;
  /** Removes all texts, after a snapshot replaced the state. */
  clear(): void;
  /**
   * Returns the texts after `afterVersion` up to `version`; undefined when
   * some of them are not kept.
   */
  tryGetAfter(
    afterVersion: number,
    version: number,
  ): readonly string[] | undefined;
}

/** Maximum number of patches kept. */
const maxPatches = 500;

/** Maximum length of all texts kept, in characters. */
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
