/** Brings the store to the newest version that the platform keeps. */

import type { Patch } from "../types/configuration.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { type Newest, readNewest } from "./platform_reader.ts";

/** What reading the platform needs of the store. */
export interface PlatformSyncHost {
  readonly platform: Platform;
  readonly codec: Codec;
  getState(): ConfigurationState;
  /** Takes what the platform gave. */
  take(newest: Newest): void;
  spreadPatch(patch: Patch): void;
}

/** Reads of the platform, shared by all that ask at the same time. */
export interface PlatformSync {
  /** Reads, or shares a read under way; the error when it gave none. */
  refresh(): Promise<PlatformError | undefined>;
  /** Reads with a call that begins now, so that it sees what was written. */
  refreshAnew(): Promise<PlatformError | undefined>;
  /** Reads, and passes on what is new to this process. */
  refreshAndSpread(): Promise<Newest | PlatformError>;
}

/** Patches of one read that are passed on; more are pulled by the others. */
const maxSpread = 20;

/** Creates the reads of one store. */
export function createPlatformSync(host: PlatformSyncHost): PlatformSync {
  const { platform, codec } = host;
  let reading: Promise<Newest | PlatformError> | undefined;

  return { refresh, refreshAnew, refreshAndSpread };

  async function refresh(): Promise<PlatformError | undefined> {
    const result = await readShared();
    return "kind" in result ? result : undefined;
  }

  async function refreshAnew(): Promise<PlatformError | undefined> {
    await reading;
    return await refresh();
  }

  async function refreshAndSpread(): Promise<Newest | PlatformError> {
    const before = host.getState().configuration.version;
    const result = await readShared();
    if ("kind" in result) return result;
    const fresh = result.patches.filter((patch) => patch.version > before);
    if (fresh.length <= maxSpread) fresh.forEach(host.spreadPatch);
    return result;
  }

  function readShared(): Promise<Newest | PlatformError> {
    reading ??= readOnce().finally(() => {
      reading = undefined;
    });
    return reading;
  }

  async function readOnce(): Promise<Newest | PlatformError> {
    const from = host.getState();
    const read = await readNewest(platform, { from, codec }).run();
    return read.caseOf<Newest | PlatformError>({
      Left: (error) => error,
      Right: (newest) => {
        host.take(newest);
        return newest;
      },
    });
  }
}
