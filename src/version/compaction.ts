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
  patchKeyPrefix,
  snapshotHeadKey,
  snapshotKeyPrefix,
  tryParsePatch,
} from "./patch_text.ts";
import { readHead, type SnapshotHead } from "./platform_reader.ts";
import { encodeSnapshot } from "./snapshot.ts";

/** Usual number of patches after a snapshot that call for another. */
export const defaultPatchesPerSnapshot = 200;

/**
 * Usual time that patches stay in the log at the least, far above the time
 * that a commit takes and the difference between clocks; in milliseconds.
 */
export const defaultPatchRetentionMs = 1_800_000;

/** Share of the kept time in which a commit needs no second look. */
const safeCommitRetentionShare = 1 / 30;

/** Removals in one run, so that the write budget is kept. */
const maxPatchRemovals = 400;

/**
 * Returns the time within which a commit is sure that the compaction has not
 * passed its version, in milliseconds.
 */
export function getSafeCommitWindowMs(patchRetentionMs: number): number {
  return patchRetentionMs * safeCommitRetentionShare;
}

/** Options of one run. */
export interface CompactionOptions {
  readonly state: ConfigurationState;
  readonly codec: Codec;
  readonly partLength?: number;
  /** Patches after the newest snapshot that call for another. */
  readonly patchesPerSnapshot: number;
  /** Time that patches stay in the log at the least, in milliseconds. */
  readonly patchRetentionMs: number;
}

/** Runs one compaction and returns the version of the newest snapshot. */
export function compact(
  platform: Platform,
  options: CompactionOptions,
): EitherAsync<PlatformError, number> {
  const { state, codec } = options;
  const { version } = state.configuration;
  return EitherAsync(async ({ fromPromise }) => {
    const previousHead = await fromPromise(readHead(platform));
    if (version - previousHead.version < options.patchesPerSnapshot) {
      return previousHead.version;
    }
    const encodedSnapshot = await encodeSnapshot(state, {
      codec,
      ...(options.partLength === undefined
        ? {}
        : { partLength: options.partLength }),
    });
    for (const [index, part] of encodedSnapshot.parts.entries()) {
      await fromPromise(putPart(platform, getPartKey(version, index), part));
    }
    const head = {
      version,
      parts: encodedSnapshot.parts.length,
      checksum: encodedSnapshot.checksum,
    };
    await fromPromise(
      platform.put(snapshotHeadKey, JSON.stringify(head), {
        expectedRevision: previousHead.revision,
      }),
    );
    await fromPromise(removeObsolete(platform, previousHead, options));
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
function removeObsolete(
  platform: Platform,
  previousHead: SnapshotHead,
  { patchRetentionMs }: { readonly patchRetentionMs: number },
): EitherAsync<PlatformError, void> {
  return EitherAsync(async ({ fromPromise }) => {
    const limit = maxPatchRemovals;
    const patches = await fromPromise(platform.list(patchKeyPrefix, { limit }));
    for (const entry of patches) {
      if (getKeyVersion(entry.key) > previousHead.version) break;
      const acceptedAt = tryParsePatch(entry.value)?.acceptedAt ?? 0;
      if (Date.now() - acceptedAt < patchRetentionMs) break;
      await fromPromise(removeEntry(platform, entry));
    }
    const after = "";
    const parts = await fromPromise(
      platform.list(snapshotKeyPrefix, { after, limit: 32 }),
    );
    for (const entry of parts) {
      if (getKeyVersion(entry.key) >= previousHead.version) break;
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
