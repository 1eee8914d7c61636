/**
 * Keeps this router's entry in the store, so that its peers know its addresses.
 *
 * Load pattern: after a return of the store from an older copy, all routers learn
 * at the same time that entries may be gone. Only those whose entries are write
 * again, each at a random time. Entries that were removed while their routers run
 * come back in the same way.
 */

import type { EitherAsync } from "purify-ts";
import type { DirectoryError } from "../../../types/directory.ts";
import type { DirectSettings } from "../../../types/direct_settings.ts";
import type { RouterPeer } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";

/** Delay before a failed write of this router's entry is retried, in ms. */
const retryDelayMs = 500;

/**
 * Maximum random delay before a router registers again after a return of the
 * store, in milliseconds; spreads the writes of hundreds of routers.
 */
const maxReturnDelayMs = 1_000;

/** What the registration needs from the process. */
export interface RouterRegistrationHost {
  readonly log: Log;
  /** Writes the entry; succeeds only in the newest era that is known. */
  announce(): EitherAsync<DirectoryError, void>;
  /** Returns true when the store holds the entry, as far as known. */
  isRegistered(): boolean;
  random(): number;
}

/** The registration of one router. */
export interface RouterRegistration {
  /** Registers the router at the first call, unless it is registered. */
  registerOnce(): void;
  /** Registers the router again, after a random time, if its entry is lost. */
  handleReturn(): void;
  stop(): void;
}

/** Returns what a router announces of itself. */
export function createRouterPeer(
  { id, digest, pull }: Pick<DirectSettings, "digest" | "id" | "pull">,
): RouterPeer {
  const { address, port: digestPort } = digest;
  return { id, address, digestPort, pullPort: pull.port };
}

/** Creates the registration of a router that has just started. */
export function createRouterRegistration(
  host: RouterRegistrationHost,
): RouterRegistration {
  let hasBegun = false;
  let isWriting = false;
  let isStopped = false;

  return {
    registerOnce: () => {
      if (hasBegun) return;
      hasBegun = true;
      void register();
    },
    handleReturn: () => {
      hasBegun = true;
      void registerAfterReturn();
    },
    stop: () => {
      isStopped = true;
    },
  };

  async function registerAfterReturn(): Promise<void> {
    await sleep(host.random() * maxReturnDelayMs);
    await register();
  }

  /** Writes until a write is acknowledged or the entry is seen. */
  async function register(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    while (!isStopped && !host.isRegistered()) {
      const written = await host.announce().run();
      if (written.isRight()) break;
      written.ifLeft(({ kind, message }) =>
        host.log.warn("Router could not be registered", {
          ...{ kind, reason: message },
        })
      );
      await sleep(retryDelayMs);
    }
    isWriting = false;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
