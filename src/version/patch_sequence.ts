/**
 * Takes patches in any order and puts them into force in the order of their
 * versions: never twice, never backwards, never with one left out.
 */

import type { Patch } from "../types/configuration.ts";
import type { Hash } from "./codec.ts";
import {
  applyPatch,
  type ConfigurationState,
  createEmptyState,
} from "./configuration_state.ts";

/** The configuration of one process as it grows. */
export interface PatchSequence {
  getState(): ConfigurationState;
  /** Takes patches and returns those that came into force, in order. */
  add(patches: readonly Patch[]): readonly Patch[];
  /**
   * Takes a whole state; false when it is not newer than the own one. Patches
   * that follow it come into force with the next call of `take`.
   */
  adopt(state: ConfigurationState): boolean;
  /** Takes the content of the own or a later version from its keeper. */
  replace(state: ConfigurationState): boolean;
  /** Highest version that was seen, in force or not. */
  getSeenVersion(): number;
}

/** Patches that wait for one before them. */
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
