/** Brings the store to the newest version that the platform keeps. */

import type { Patch } from "../types/configuration.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { type ConfigurationUpdate, readUpdate } from "./platform_reader.ts";

/** What reading the platform needs of the store. */
export interface PlatformSyncHost {
  readonly platform: Platform;
  readonly codec: Codec;
  getState(): ConfigurationState;
  /** Takes what the platform gave. */
  applyUpdate(update: ConfigurationUpdate): void;
  spreadPatch(patch: Patch): void;
}

/** Reads of the platform, shared by all that ask at the same time. */
export interface PlatformSync {
  /** Reads, or shares a read under way; the error when it gave none. */
  refresh(): Promise<PlatformError | undefined>;
  /** Reads with a call that begins now, so that it sees what was written. */
  refreshAfterPending(): Promise<PlatformError | undefined>;
  /** Reads, and passes on what is new to this process. */
  refreshAndSpread(): Promise<ConfigurationUpdate | PlatformError>;
}

/** Patches of one read that are passed on; more are pulled by the others. */
const maxSpreadPatches = 20;

/** Creates the reads of one store. */
export function createPlatformSync(host: PlatformSyncHost): PlatformSync {
  const { platform, codec } = host;
  let pendingRead: Promise<ConfigurationUpdate | PlatformError> | undefined;

  return {
    refresh,
    refreshAfterPending,
    refreshAndSpread,
  };

  async function refresh(): Promise<PlatformError | undefined> {
    const result = await readShared();
    return "kind" in result ? result : undefined;
  }

  async function refreshAfterPending(): Promise<PlatformError | undefined> {
    await pendingRead;
    return await refresh();
  }

  async function refreshAndSpread(): Promise<
    ConfigurationUpdate | PlatformError
  > {
    const previousVersion = host.getState().configuration.version;
    const result = await readShared();
    if ("kind" in result) return result;
    const unseen = result.patches.filter((patch) =>
      patch.version > previousVersion
    );
    if (unseen.length <= maxSpreadPatches) unseen.forEach(host.spreadPatch);
    return result;
  }

  function readShared(): Promise<ConfigurationUpdate | PlatformError> {
    pendingRead ??= readOnce().finally(() => {
      pendingRead = undefined;
    });
    return pendingRead;
  }

  async function readOnce(): Promise<ConfigurationUpdate | PlatformError> {
    const from = host.getState();
    const readResult = await readUpdate(platform, { from, codec }).run();
    return readResult.caseOf<ConfigurationUpdate | PlatformError>({
      Left: (error) => error,
      Right: (update) => {
        host.applyUpdate(update);
        return update;
      },
    });
  }
}
