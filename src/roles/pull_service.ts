/** Serves the pulls of peers while a router runs. */

import {
  openPullListener,
  type PullListener,
} from "../connection/pull_listener.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { SocketAddress } from "../types/direct_settings.ts";

/** What peers pull, and where they do. */
export type PullServiceHost =
  & Omit<Parameters<typeof openPullListener>[0], "onError">
  & { readonly address: SocketAddress; readonly log: Log };

/** The service of one router. */
export interface PullService {
  /**
   * Opens the listener. A failure is logged only, so that the router still serves
   * its callers.
   */
  start(): Promise<void>;
  stop(): void;
}

/** Creates a service whose listener is not open. */
export function createPullService(host: PullServiceHost): PullService {
  const { log } = host;
  let isStopped = false;
  let listener: PullListener | undefined;

  return { start, stop };

  async function start(): Promise<void> {
    try {
      listener = await openPullListener({
        getCopyAfter: host.getCopyAfter,
        getCachedParts: host.getCachedParts,
        onError: (error) =>
          log.warn("Pull by a peer failed", { reason: error.message }),
      }, host.address);
      if (isStopped) listener.close();
    } catch (error) {
      log.error("Pull listener could not be opened", {
        reason: String(error),
      });
    }
  }

  function stop(): void {
    isStopped = true;
    listener?.close();
  }
}
