/**
 * Compaction of the patch log: writes a snapshot, makes it the head by
 * compare-and-swap and removes what the one before it made useless, last.
 */

import { EitherAsync } from "purify-ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import {
  getKeyVersion,
  getPartKey,
  patchPrefix,
  snapshotHeadKey,
  snapshotPrefix,
  tryParsePatch,
} from "./patch_text.ts";
import { readHead, type SnapshotHead } from "./platform_reader.ts";
import { encodeSnapshot } from "./snapshot.ts";

/** Usual number of patches after a snapshot that call for another. */
export const usualPatchesPerSnapshot = 200;

/**
 * Usual time that patches stay in the log at the least, far above the time
 * that a commit takes and the difference between clocks; in milliseconds.
 */
export const usualKeptPatchMs = 1_800_000;

/** Share of the kept time in which a commit needs no second look. */
const sureShare = 1 / 30;

/** Removals in one run, so that the write budget is kept. */
const maxRemovals = 400;

/**
 * Returns the time within which a commit is sure that the compaction has not
 * passed its version, in milliseconds.
 */
export function getSureCommitMs(keptPatchMs: number): number {
  return keptPatchMs * sureShare;
}

/** Options of one run. */
export interface CompactionOptions {
  readonly state: ConfigurationState;
  readonly codec: Codec;
  readonly partLength?: number;
  /** Patches after the newest snapshot that call for another. */
  readonly patchesPerSnapshot: number;
  /** Time that patches stay in the log at the least, in milliseconds. */
  readonly keptPatchMs: number;
}

/** Runs one compaction and returns the version of the newest snapshot. */
export function compact(
  platform: Platform,
  options: CompactionOptions,
): EitherAsync<PlatformError, number> {
  const { state, codec } = options;
  const { version } = state.configuration;
  return EitherAsync(async ({ fromPromise }) => {
    const before = await fromPromise(readHead(platform));
    if (version - before.version < options.patchesPerSnapshot) {
      return before.version;
    }
    const encoded = await encodeSnapshot(state, {
      codec,
      ...(options.partLength === undefined
        ? {}
        : { partLength: options.partLength }),
    });
    for (const [index, part] of encoded.parts.entries()) {
      await fromPromise(putPart(platform, getPartKey(version, index), part));
    }
    const head = {
      version,
      parts: encoded.parts.length,
      checksum: encoded.checksum,
    };
    await fromPromise(
      platform.put(snapshotHeadKey, JSON.stringify(head), {
        expectedRevision: before.revision,
      }),
    );
    await fromPromise(removeOld(platform, before, options));
    return version;
  });
}

/** Equal states give equal parts, so a part that is there is the same one. */
function putPart(
  platform: Platform,
  key: string,
  part: string,
): EitherAsync<PlatformError, void> {
  return platform.put(key, part, { expectedRevision: 0 })
    .map(() => undefined)
    .chainLeft((error) =>
      EitherAsync(async ({ throwE }) => {
        if (error.kind !== "conflict") throwE(error);
      })
    );
}

/**
 * Removes the parts of snapshots before the previous one and the patches up
 * to it, so that a reader in the middle of the previous one can finish.
 */
function removeOld(
  platform: Platform,
  previous: SnapshotHead,
  { keptPatchMs }: { readonly keptPatchMs: number },
): EitherAsync<PlatformError, void> {
  return EitherAsync(async ({ fromPromise }) => {
    const limit = maxRemovals;
    const patches = await fromPromise(platform.list(patchPrefix, { limit }));
    for (const entry of patches) {
      if (getKeyVersion(entry.key) > previous.version) break;
      const acceptedAt = tryParsePatch(entry.value)?.acceptedAt ?? 0;
      if (Date.now() - acceptedAt < keptPatchMs) break;
      await fromPromise(removeEntry(platform, entry));
    }
    const after = "";
    const parts = await fromPromise(
      platform.list(snapshotPrefix, { after, limit: 32 }),
    );
    for (const entry of parts) {
      if (getKeyVersion(entry.key) >= previous.version) break;
      await fromPromise(removeEntry(platform, entry));
    }
  });
}

function removeEntry(
  platform: Platform,
  entry: { readonly key: string; readonly revision: number },
): EitherAsync<PlatformError, void> {
  return platform.remove(entry.key, entry.revision)
    .chainLeft((error) =>
      EitherAsync(async ({ throwE }) => {
        if (error.kind !== "conflict") throwE(error);
      })
    );
}
