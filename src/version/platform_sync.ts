/** Updates the store to the newest version on the platform. */

import type { Patch } from "../types/configuration.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { type ConfigurationUpdate, readUpdate } from "./platform_reader.ts";

/** Dependencies of the reads from the platform. */
export interface PlatformSyncHost {
  readonly platform: Platform;
  readonly codec: Codec;
  getState(): ConfigurationState;
  /** Applies what was read from the platform. */
  applyUpdate(update: ConfigurationUpdate): void;
  spreadPatch(patch: Patch): void;
}

/** Reads from the platform; concurrent callers share one read. */
export interface PlatformSync {
  /**
   * Reads from the platform, or joins a read in progress; returns the error
   * when the read fails.
   */
  refresh(): Promise<PlatformError | undefined>;
  /**
   * Waits for a read in progress, then reads again, so that the result
   * includes everything that was written before the call.
   */
  refreshAfterPending(): Promise<PlatformError | undefined>;
  /**
   * Reads from the platform, or joins a read in progress, and propagates the
   * patches that are new to this process.
   */
  refreshAndSpread(): Promise<ConfigurationUpdate | PlatformError>;
}

/** If a read returns more new patches than this, other members pull them. */
const maxSpreadPatches = 20;

/** Creates the platform reads of one store. */
export function createPlatformSync(host: PlatformSyncHost): PlatformSync {
  const { platform, codec } = host;
  let pendingRead: Promise<ConfigurationUpdate | PlatformError> | undefined;

  return { refresh, refreshAfterPending, refreshAndSpread };

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
