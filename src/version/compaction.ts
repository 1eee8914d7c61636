/**
 * Compacts the patch log: writes a snapshot, makes it the head by
 * compare-and-swap, then removes what the previous snapshot made obsolete.
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

/** Default number of patches after a snapshot that trigger the next one. */
export const defaultPatchesPerSnapshot = 200;

/**
 * Default minimum time that patches stay in the log, in milliseconds. It is
 * far above the duration of a commit and the clock skew between processes.
 */
export const defaultPatchRetentionMs = 1_800_000;

/** Share of the retention time in which a commit needs no verification. */
const safeCommitRetentionShare = 1 / 30;

/** Maximum patches removed per run, so that the write budget is kept. */
const maxPatchRemovals = 400;

/**
 * Returns how long after its first read a commit can rely on compaction not
 * having passed its version, in milliseconds.
 */
export function getSafeCommitWindowMs(patchRetentionMs: number): number {
  return patchRetentionMs * safeCommitRetentionShare;
}

/** Options of one compaction run. */
export interface CompactionOptions {
  readonly state: ConfigurationState;
  readonly codec: Codec;
  readonly partLength?: number;
  /** Number of patches after the newest snapshot that trigger the next one. */
  readonly patchesPerSnapshot: number;
  /** Minimum time that patches stay in the log, in milliseconds. */
  readonly patchRetentionMs: number;
}

/** Compacts the log when due and returns the newest snapshot's version. */
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

/**
 * Writes a part unless its key exists. Equal states have equal parts, so an
 * existing part has the same content.
 */
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
 * Removes the snapshots before the previous one, and the patches up to it that
 * are older than the retention time. The previous snapshot stays, so that a
 * reader can finish reading it.
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
