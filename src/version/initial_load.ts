/** Loads the first configuration: from the platform, else from a member. */

import { getBackOffMs } from "../process/membership/jitter.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { PlatformError } from "../types/platform.ts";

/** What the start needs of the store. */
export interface InitialLoadHost {
  readonly log: Log;
  /** Reads from the platform; the error when it did not answer. */
  refresh(): Promise<PlatformError | undefined>;
  /** Asks other members; true when one answered. */
  pullFromPeers(): Promise<boolean>;
  isLoaded(): boolean;
}

/** The start of one store. */
export interface InitialLoad {
  /** Resolves when a configuration was loaded, or at the stop. */
  start(): Promise<void>;
  stop(): void;
}

const backOff = { firstMs: 250, mostMs: 4_000 };

/** Creates the start of one store. */
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
      host.log.warn("No configuration yet", { reason: error.message });
      await sleep(getBackOffMs(failures, backOff));
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
