/**
 * Reads the configuration from the platform: a snapshot and the patches after
 * it. A writer that was paused can create a patch key again that compaction has
 * removed, so patches count only when a later read of the head shows that
 * compaction had not passed them.
 */

import { Either, EitherAsync, Left, Right } from "purify-ts";
import type { Patch } from "../types/configuration.ts";
import type { Entry, Platform, PlatformError } from "../types/platform.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import {
  getKeyVersion,
  getPartKey,
  getPatchKey,
  patchKeyPrefix,
  snapshotHeadKey,
  tryParsePatch,
} from "./patch_text.ts";
import { decodeSnapshot } from "./snapshot.ts";

/** Description of the newest complete snapshot, from the head key. */
export interface SnapshotHead {
  readonly version: number;
  readonly parts: number;
  readonly checksum: string;
  /** Revision of the head key; 0 when there is no snapshot. */
  readonly revision: number;
}

/** Patches that follow the requested version, in order and without gaps. */
export interface PatchRange {
  readonly kind: "patches";
  readonly patches: readonly Patch[];
  /** Highest revision of these patches; 0 when there are none. */
  readonly revision: number;
  /** True when the log may hold more patches after these. */
  readonly hasMore: boolean;
}

/** Head of a snapshot that is newer than the requested version. */
export interface NewerSnapshot {
  readonly kind: "newer_snapshot";
  readonly head: SnapshotHead;
}

/** Maximum number of patches in one read of the log. */
const maxPatchesPerRead = 200;

/** Reads the head; its version is 0 when there is no snapshot yet. */
export function readHead(
  platform: Platform,
): EitherAsync<PlatformError, SnapshotHead> {
  return platform.get(snapshotHeadKey)
    .chain((entry) => EitherAsync.liftEither(parseHead(entry)));
}

function parseHead(
  entry: Entry | undefined,
): Either<PlatformError, SnapshotHead> {
  if (entry === undefined) {
    return Right({ version: 0, parts: 0, checksum: "", revision: 0 });
  }
  return Either.encase(() => JSON.parse(entry.value) as SnapshotHead)
    .mapLeft(() => createSnapshotError(0))
    .map((head) => ({ ...head, revision: entry.revision }));
}

/** Reads the patches after a version. */
export function readPatches(
  platform: Platform,
  afterVersion: number,
): EitherAsync<PlatformError, PatchRange | NewerSnapshot> {
  return EitherAsync(async ({ fromPromise }) => {
    // The head must be read last; see the description of the module.
    const entries = await fromPromise(
      platform.list(patchKeyPrefix, {
        after: getPatchKey(afterVersion),
        limit: maxPatchesPerRead,
      }),
    );
    const head = await fromPromise(readHead(platform));
    if (head.version > afterVersion) return { kind: "newer_snapshot", head };
    const patches: Patch[] = [];
    let revision = 0;
    for (const entry of entries) {
      const patch = tryParsePatch(entry.value);
      const expected = afterVersion + patches.length + 1;
      if (patch?.version !== expected) break;
      if (getKeyVersion(entry.key) !== expected) break;
      patches.push(patch);
      revision = Math.max(revision, entry.revision);
    }
    const hasMore = patches.length === maxPatchesPerRead;
    return { kind: "patches", patches, revision, hasMore };
  });
}

/**
 * Reads a snapshot; returns undefined when compaction has removed it meanwhile
 * and the head has to be read again.
 */
export function readSnapshot(
  platform: Platform,
  options: { readonly head: SnapshotHead; readonly codec: Codec },
): EitherAsync<PlatformError, ConfigurationState | undefined> {
  const { head, codec } = options;
  return EitherAsync(async ({ fromPromise, liftEither }) => {
    const parts: string[] = [];
    for (let index = 0; index < head.parts; index++) {
      const key = getPartKey(head.version, index);
      const entry = await fromPromise(platform.get(key));
      if (entry === undefined) return undefined;
      parts.push(entry.value);
    }
    const { version, checksum } = head;
    const state = await decodeSnapshot({ version, checksum, parts }, { codec });
    if (state !== undefined) return state;
    return await liftEither(Left(createSnapshotError(version)));
  });
}

/** Maximum number of restarts of a reader that compaction overtakes. */
const maxRestarts = 5;

/**
 * Reads what brings a state to the newest version on the platform. The result
 * is never behind the given state.
 */
export function readUpdate(
  platform: Platform,
  options: { readonly from: ConfigurationState; readonly codec: Codec },
): EitherAsync<PlatformError, ConfigurationUpdate> {
  const { from, codec } = options;
  return EitherAsync(async ({ fromPromise, liftEither }) => {
    let snapshot: ConfigurationState | undefined;
    const patches: Patch[] = [];
    let version = from.configuration.version;
    let revision = 0;
    let restarts = 0;
    while (restarts <= maxRestarts) {
      const readResult = await fromPromise(readPatches(platform, version));
      if (readResult.kind === "patches") {
        patches.push(...readResult.patches);
        version += readResult.patches.length;
        revision = Math.max(revision, readResult.revision);
        if (!readResult.hasMore) return { snapshot, patches, revision };
        continue;
      }
      restarts++;
      const { head } = readResult;
      const loaded = await fromPromise(readSnapshot(platform, { head, codec }));
      if (loaded === undefined) continue;
      snapshot = loaded;
      patches.length = 0;
      version = loaded.configuration.version;
    }
    return await liftEither(Left(createSnapshotError(version)));
  });
}

/** Snapshot to start from, if one is needed, and the patches after it. */
export interface ConfigurationUpdate {
  readonly snapshot: ConfigurationState | undefined;
  readonly patches: readonly Patch[];
  /** Highest revision of the patches that were read; 0 when there are none. */
  readonly revision: number;
}

function createSnapshotError(version: number): PlatformError {
  const message = `The snapshot at version ${version} cannot be read`;
  return { kind: "unavailable", message, retryAfterMs: 0 };
}
