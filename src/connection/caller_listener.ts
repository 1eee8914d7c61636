/**
 * Listens for callers, and turns away those that wait to be accepted by closing the
 * listener and opening it again: the system resets their connections.
 */

import { type Server, Server as NetServer } from "node:net";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";

/** Time after which a listener that could not be opened is tried again, in ms. */
const reopenDelayMs = 20;

/** Minimum time between two log lines of resets, in milliseconds. */
const logIntervalMs = 1_000;

/** Where a server listens. */
export interface ListenOptions {
  readonly address: string;
  /** 0 lets the system choose; it keeps its choice. */
  readonly port: number;
  /** Maximum number of connections that wait to be accepted. */
  readonly backlog?: number;
}

/** The listener of a server. */
export interface CallerListener {
  /** Starts listening; rejects when the address cannot be bound. */
  open(): Promise<void>;
  /**
   * Resets the connections that wait to be accepted; they may include some that
   * came just now. Accepted connections stay. Does nothing once the server is
   * closed.
   */
  reset(): void;
  /** Stops listening for good; accepted connections stay. */
  close(): void;
}

/** Creates the listener of a server that does not listen yet. */
export function createCallerListener(
  server: Server,
  host: {
    readonly log: Pick<Log, "warn">;
    readonly metrics: Pick<Metrics, "count">;
  },
  options: ListenOptions,
): CallerListener {
  let { port } = options;
  let isClosed = false;
  let loggedAt = -Infinity;
  let unlogged = 0;

  return { open, reset, close };

  async function open(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      listen(() => {
        server.off("error", reject);
        resolve();
      });
    });
    // Without a handler, a connection that can't be accepted ends the process.
    server.on(
      "error",
      ({ message }) =>
        host.log.warn("Listener for callers failed", { reason: message }),
    );
    const address = server.address();
    if (address !== null && typeof address === "object") ({ port } = address);
  }

  function reset(): void {
    if (!server.listening) return;
    closeNow();
    reopen();
    host.metrics.count("listen_queue_resets_total");
    logReset();
  }

  function reopen(): void {
    if (isClosed) return;
    const retry = (): void => {
      setTimeout(reopen, reopenDelayMs);
    };
    server.once("error", retry);
    listen(() => {
      server.off("error", retry);
      // The address is looked up first, and a stop may come meanwhile.
      if (isClosed) closeNow();
    });
  }

  function close(): void {
    isClosed = true;
    if (server.listening) closeNow();
  }

  /** The method of HTTP servers would close idle connections too. */
  function closeNow(): void {
    NetServer.prototype.close.call(server);
  }

  function listen(done: () => void): void {
    const { address, backlog } = options;
    server.listen({ host: address, port, backlog }, done);
  }

  function logReset(): void {
    const now = performance.now();
    if (now - loggedAt < logIntervalMs) {
      unlogged++;
      return;
    }
    host.log.warn("Connections that waited to be accepted were reset", {
      unlogged: unlogged || undefined,
    });
    [loggedAt, unlogged] = [now, 0];
  }
}
