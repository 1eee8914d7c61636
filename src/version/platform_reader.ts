/**
 * Reads the configuration from the platform: a snapshot and the patches after
 * it. A patch key that the compaction has removed can be created again by a
 * writer that was paused, so patches count only when a read of the head made
 * after them shows that the compaction had not passed them.
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
  patchPrefix,
  snapshotHeadKey,
  tryParsePatch,
} from "./patch_text.ts";
import { decodeSnapshot } from "./snapshot.ts";

/** The newest whole snapshot, as the head key names it. */
export interface SnapshotHead {
  readonly version: number;
  readonly parts: number;
  readonly checksum: string;
  /** Revision of the head key; 0 when there is no snapshot. */
  readonly revision: number;
}

/** Patches in order that follow the asked version without a gap. */
export interface PatchRun {
  readonly kind: "patches";
  readonly patches: readonly Patch[];
  /** Highest revision of the patch log that the read has covered. */
  readonly revision: number;
  /** True when the log goes on after these patches. */
  readonly hasMore: boolean;
}

/** The compaction has passed the asked version. */
export interface PassedRun {
  readonly kind: "passed";
  readonly head: SnapshotHead;
}

/** Patches in one read of the log. */
const patchesPerRead = 200;

/** Reads the head; version 0 when there is no snapshot yet. */
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
    .mapLeft(() => createDamageError(0))
    .map((head) => ({ ...head, revision: entry.revision }));
}

/** Reads the patches after a version. */
export function readPatches(
  platform: Platform,
  afterVersion: number,
): EitherAsync<PlatformError, PatchRun | PassedRun> {
  return EitherAsync(async ({ fromPromise }) => {
    // The head is read last; see the description of the module.
    const entries = await fromPromise(
      platform.list(patchPrefix, {
        after: getPatchKey(afterVersion),
        limit: patchesPerRead,
      }),
    );
    const head = await fromPromise(readHead(platform));
    if (head.version > afterVersion) return { kind: "passed", head };
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
    const hasMore = patches.length === patchesPerRead;
    return { kind: "patches", patches, revision, hasMore };
  });
}

/**
 * Reads a snapshot; undefined when a newer one took its place meanwhile, so
 * that the reader should read the head again.
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
    return await liftEither(Left(createDamageError(version)));
  });
}

/** Times that a reader starts again because the compaction overtook it. */
const maxRestarts = 5;

/**
 * Brings a state to the newest version that the platform keeps. The result is
 * never behind the given state.
 */
export function readNewest(
  platform: Platform,
  options: { readonly from: ConfigurationState; readonly codec: Codec },
): EitherAsync<PlatformError, Newest> {
  const { from, codec } = options;
  return EitherAsync(async ({ fromPromise, liftEither }) => {
    let snapshot: ConfigurationState | undefined;
    const patches: Patch[] = [];
    let version = from.configuration.version;
    let revision = 0;
    let restarts = 0;
    while (restarts <= maxRestarts) {
      const run = await fromPromise(readPatches(platform, version));
      if (run.kind === "patches") {
        patches.push(...run.patches);
        version += run.patches.length;
        revision = Math.max(revision, run.revision);
        if (!run.hasMore) return { snapshot, patches, revision };
        continue;
      }
      restarts++;
      const { head } = run;
      const loaded = await fromPromise(readSnapshot(platform, { head, codec }));
      if (loaded === undefined) continue;
      snapshot = loaded;
      patches.length = 0;
      version = loaded.configuration.version;
    }
    return await liftEither(Left(createDamageError(version)));
  });
}

/** A snapshot to begin from, if one was needed, and the patches after it. */
export interface Newest {
  readonly snapshot: ConfigurationState | undefined;
  readonly patches: readonly Patch[];
  /** Highest revision of the patches that were read; 0 without any. */
  readonly revision: number;
}

function createDamageError(version: number): PlatformError {
  const message = `The snapshot at version ${version} cannot be read`;
  return { kind: "unavailable", message, retryAfterMs: 0 };
}
