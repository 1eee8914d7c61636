/** Loads the initial configuration from the platform, or else a member. */

import { getBackOffMs } from "../process/membership/jitter.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { PlatformError } from "../types/platform.ts";

/** Dependencies of the initial load. */
export interface InitialLoadHost {
  readonly log: Log;
  /** Reads from the platform; returns the error when that fails. */
  refresh(): Promise<PlatformError | undefined>;
  /** Asks other members; returns true when one sent a configuration. */
  pullFromPeers(): Promise<boolean>;
  isLoaded(): boolean;
}

/** Initial load of one store. */
export interface InitialLoad {
  /** Resolves when a configuration is loaded, or after `stop`. */
  start(): Promise<void>;
  stop(): void;
}

const backOff = { firstMs: 250, maxMs: 4_000 };

/** Creates the initial load of one store. */
export function createInitialLoad(host: InitialLoadHost): InitialLoad {
  let isStopped = false;

  return {
    start,
    stop: () => {
      isStopped = true;
    },
  };

  async function start(): Promise<void> {
    for (let failures = 1; !isStopped; failures++) {
      const error = await host.refresh();
      if (error === undefined || host.isLoaded()) return;
      if (await host.pullFromPeers()) return;
      host.log.warn("Configuration could not be loaded yet", {
        reason: error.message,
      });
      await sleep(getBackOffMs(failures, backOff));
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
