/** Keeps the configuration of one process in sync with platform and fleet. */

import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Patch } from "../types/configuration.ts";
import type { Member } from "../types/member.ts";
import type { Platform } from "../types/platform.ts";
import type { ConfigurationStore, Dump } from "../types/role.ts";
import { getChecksum } from "./configuration_state.ts";
import type { Codec } from "./codec.ts";
import {
  defaultPatchesPerSnapshot,
  defaultPatchRetentionMs,
  getSafeCommitWindowMs,
} from "./compaction.ts";
import { createContentRepair } from "./content_repair.ts";
import { createOperatorCalls, type OperatorCalls } from "./operator_calls.ts";
import { createPatchSequence } from "./patch_sequence.ts";
import { createPatchTail } from "./patch_tail.ts";
import { tryParsePatch } from "./patch_text.ts";
import { createPeerPull, type PullFromMember } from "./peer_pull.ts";
import type { ConfigurationUpdate } from "./platform_reader.ts";
import { createPlatformSync } from "./platform_sync.ts";
import { encodeSnapshot, type Snapshot } from "./snapshot.ts";
import { createInitialLoad } from "./initial_load.ts";
import { createWatchLoop } from "./watch_loop.ts";

/** Dependencies of a configuration store. */
export interface ConfigurationStoreHost {
  readonly platform: Platform;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly codec: Codec;
  /** Returns the members that can be asked, without this process. */
  getPeers(): readonly Member[];
  /** Returns whether this process watches the platform for the others. */
  isWatcher(): boolean;
  /** Propagates a patch to all members. */
  spreadPatch(patch: Patch): void;
  /** Pulls what follows a version from a member. */
  readonly pull: PullFromMember;
}

/** Options of a configuration store. */
export interface ConfigurationStoreOptions {
  /** Number of patches after the newest snapshot that trigger the next one. */
  readonly patchesPerSnapshot?: number;
  /** Minimum time that patches stay in the log, in milliseconds. */
  readonly patchRetentionMs?: number;
}

/** Response to a member that asks for what follows a version. */
export type ServedConfiguration =
  | { readonly kind: "patches"; readonly texts: readonly string[] }
  | { readonly kind: "snapshot"; readonly snapshot: Snapshot };

/** Configuration store with the methods that only its own process uses. */
export interface LocalConfigurationStore extends ConfigurationStore {
  readonly operator: OperatorCalls;
  /** Returns whether a configuration was loaded, from platform or member. */
  isLoaded(): boolean;
  /** Returns what follows a version; undefined before one is loaded. */
  serve(afterVersion: number): Promise<ServedConfiguration | undefined>;
}

/** Creates a store at version 0. */
export function createConfigurationStore(
  host: ConfigurationStoreHost,
  options: ConfigurationStoreOptions = {},
): LocalConfigurationStore {
  const { platform, log, metrics, codec } = host;
  const { hash } = codec;
  const {
    patchesPerSnapshot = defaultPatchesPerSnapshot,
    patchRetentionMs = defaultPatchRetentionMs,
  } = options;
  const patchListeners: ((patch: Patch) => void)[] = [];
  const changeListeners: (() => void)[] = [];
  const sequence = createPatchSequence({ hash });
  const tail = createPatchTail();
  let isLoaded = false;
  let encodedSnapshot: Promise<Snapshot> | undefined;
  let encodedVersion = -1;

  const platformSync = createPlatformSync({
    platform,
    codec,
    getState: sequence.getState,
    applyUpdate,
    spreadPatch: host.spreadPatch,
  });
  const repair = createContentRepair({
    platform,
    log,
    metrics,
    codec,
    sequence,
    onReplaced: () => {
      tail.clear();
      notifyChange();
    },
  });
  const peerPull = createPeerPull({
    log,
    metrics,
    codec,
    pull: host.pull,
    getPeers: host.getPeers,
    getVersion,
    applyPatchTexts,
    adopt,
    refresh: async () => await platformSync.refresh() === undefined,
  });
  const initialLoad = createInitialLoad({
    log,
    refresh: platformSync.refresh,
    pullFromPeers: peerPull.pullFromAny,
    isLoaded: () => isLoaded,
  });
  const watchLoop = createWatchLoop({
    platform,
    log,
    metrics,
    codec,
    patchesPerSnapshot,
    patchRetentionMs,
    isWatcher: host.isWatcher,
    getState: sequence.getState,
    refresh: platformSync.refreshAndSpread,
  });
  const operator = createOperatorCalls({
    platform,
    hash,
    safeCommitWindowMs: getSafeCommitWindowMs(patchRetentionMs),
    getState: sequence.getState,
    refresh: platformSync.refreshAfterPending,
    apply: applyCommitted,
  });
  metrics.gauge("configuration_version", getVersion);

  return {
    operator,
    getConfiguration: () => sequence.getState().configuration,
    onChange: (listener) => {
      changeListeners.push(listener);
    },
    onPatch: (listener) => {
      patchListeners.push(listener);
    },
    getChecksum: () => getChecksum(sequence.getState()),
    offerPatches,
    handleVersion,
    isLoaded: () => isLoaded,
    serve,
    start: async () => {
      await initialLoad.start();
      watchLoop.start();
    },
    stop,
    dump,
  };

  function getVersion(): number {
    return sequence.getState().configuration.version;
  }

  function offerPatches(texts: readonly string[], sender: Member): void {
    applyPatchTexts(texts);
    peerPull.handleVersion(sequence.getSeenVersion(), sender);
  }

  function handleVersion(
    version: number,
    checksum: number,
    sender: Member,
  ): void {
    if (version > getVersion()) peerPull.handleVersion(version, sender);
    const hasMismatch = version === getVersion() && isLoaded &&
      checksum !== getChecksum(sequence.getState());
    if (hasMismatch) void repair.check(sender);
  }

  function applyPatchTexts(texts: readonly string[]): void {
    const patches = texts.map(tryParsePatch);
    applyPatches(patches.filter((patch) => patch !== undefined));
  }

  function applyPatches(patches: readonly Patch[]): readonly Patch[] {
    const applied = sequence.add(patches);
    for (const patch of applied) {
      tail.add(patch);
      metrics.count("configuration_patches");
      metrics.record(
        "configuration_patch_age_ms",
        Date.now() - patch.acceptedAt,
      );
      log.info("Patch was applied", {
        version: patch.version,
        patch: patch.id,
        operator: patch.operator,
        ageMs: Date.now() - patch.acceptedAt,
      });
    }
    for (const patch of applied) {
      for (const listener of patchListeners) listener(patch);
    }
    if (applied.length > 0) notifyChange();
    return applied;
  }

  function adopt(state: ReturnType<typeof sequence.getState>): boolean {
    if (!sequence.adopt(state)) return false;
    tail.clear();
    metrics.count("configuration_snapshots");
    log.info("Snapshot was applied", { version: getVersion() });
    notifyChange();
    applyPatches([]);
    return true;
  }

  function notifyChange(): void {
    isLoaded = true;
    for (const listener of changeListeners) listener();
  }

  function applyUpdate(update: ConfigurationUpdate): void {
    if (update.snapshot !== undefined) adopt(update.snapshot);
    applyPatches(update.patches);
    isLoaded = true;
  }

  /** Applies a patch that this process has committed and propagates it. */
  function applyCommitted(patch: Patch): void {
    applyPatches([patch]);
    host.spreadPatch(patch);
  }

  async function serve(
    afterVersion: number,
  ): Promise<ServedConfiguration | undefined> {
    if (!isLoaded) return undefined;
    const texts = tail.tryGetAfter(afterVersion, getVersion());
    if (texts !== undefined) return { kind: "patches", texts };
    return { kind: "snapshot", snapshot: await getEncodedSnapshot() };
  }

  /** Returns the encoded state; encodes each version only once. */
  function getEncodedSnapshot(): Promise<Snapshot> {
    if (encodedSnapshot === undefined || encodedVersion !== getVersion()) {
      encodedVersion = getVersion();
      encodedSnapshot = encodeSnapshot(sequence.getState(), { codec });
    }
    return encodedSnapshot;
  }

  function stop(): Promise<void> {
    initialLoad.stop();
    peerPull.stop();
    return watchLoop.stop();
  }

  function dump(): Dump {
    const { services, workspaces } = sequence.getState().configuration;
    return {
      version: getVersion(),
      checksum: getChecksum(sequence.getState()),
      isLoaded,
      seenVersion: sequence.getSeenVersion(),
      services: services.size,
      workspaces: workspaces.size,
      watcher: host.isWatcher(),
      watch: watchLoop.dump(),
      pulls: peerPull.dump(),
    };
  }
}
