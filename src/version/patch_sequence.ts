/**
 * Accepts patches in any order and applies them in the order of their
 * versions: never twice, never backwards and without gaps.
 */

import type { Patch } from "../types/configuration.ts";
import type { Hash } from "./codec.ts";
import {
  applyPatch,
  type ConfigurationState,
  createEmptyState,
} from "./configuration_state.ts";

/** State of one process, to which patches are applied in version order. */
export interface PatchSequence {
  getState(): ConfigurationState;
  /** Adds patches and returns those that were applied, in order. */
  add(patches: readonly Patch[]): readonly Patch[];
  /**
   * Replaces the state with a newer one; returns false when it is not newer.
   * The next call of `add` applies pending patches that follow it.
   */
  adopt(state: ConfigurationState): boolean;
  /**
   * Replaces the state with the platform's at the same or a later version;
   * returns false when that is older.
   */
  replace(state: ConfigurationState): boolean;
  /** Returns the highest version seen, applied or pending. */
  getSeenVersion(): number;
}

/** Maximum number of patches that wait for an earlier one. */
const maxPendingPatches = 1_000;

/** Creates a sequence at version 0. */
export function createPatchSequence(
  host: { readonly hash: Hash },
): PatchSequence {
  const pending = new Map<number, Patch>();
  let state = createEmptyState();

  return { getState: () => state, add, adopt, replace, getSeenVersion };

  function add(patches: readonly Patch[]): readonly Patch[] {
    for (const patch of patches) {
      const isKnown = patch.version <= state.configuration.version;
      if (isKnown || pending.size >= maxPendingPatches) continue;
      pending.set(patch.version, patch);
    }
    return applyPending();
  }

  function adopt(newer: ConfigurationState): boolean {
    if (newer.configuration.version <= state.configuration.version) {
      return false;
    }
    return replace(newer);
  }

  function replace(replacement: ConfigurationState): boolean {
    if (replacement.configuration.version < state.configuration.version) {
      return false;
    }
    state = replacement;
    for (const version of pending.keys()) {
      if (version <= state.configuration.version) pending.delete(version);
    }
    return true;
  }

  function applyPending(): readonly Patch[] {
    const applied: Patch[] = [];
    while (true) {
      const next = pending.get(state.configuration.version + 1);
      if (next === undefined) return applied;
      pending.delete(next.version);
      state = applyPatch(state, next, host);
      applied.push(next);
    }
  }

  function getSeenVersion(): number {
    return Math.max(state.configuration.version, ...pending.keys());
  }
}
