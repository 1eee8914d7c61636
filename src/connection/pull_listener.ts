/**
 * Accepts the pulls of peers. Loads the gRPC library with the first pull only,
 * as most router processes never receive one.
 */

import { createServer, type Socket } from "node:net";
import type { SocketAddress } from "../types/direct_settings.ts";
import type { PullHost, PullServer } from "./directory_pull.ts";

/** Maximum number of open connections; a peer opens one for each pull. */
const maxConnections = 64;

/** What the listener needs from the process. */
export interface PullListenerHost extends PullHost {
  /** Called when a connection fails or the library cannot be loaded. */
  onError(error: Error): void;
}

/** A listener for pulls. */
export interface PullListener {
  close(): void;
}

/** Opens the listener; rejects when the address cannot be bound. */
export async function openPullListener(
  host: PullListenerHost,
  { address, port }: SocketAddress,
): Promise<PullListener> {
  let pullServer: Promise<PullServer> | undefined;
  const sockets = new Set<Socket>();
  const listener = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", host.onError);
    socket.on("close", () => sockets.delete(socket));
    void accept(socket);
  });
  listener.maxConnections = maxConnections;
  await new Promise<void>((resolve, reject) => {
    listener.once("error", reject);
    listener.listen(port, address, resolve);
  });
  listener.on("error", host.onError);

  return { close };

  async function accept(socket: Socket): Promise<void> {
    try {
      pullServer ??= loadPullServer();
      const server = await pullServer;
      if (!socket.destroyed) server.accept(socket);
    } catch (error) {
      pullServer = undefined;
      socket.destroy();
      host.onError(error instanceof Error ? error : new Error(String(error)));
    }
  }

  async function loadPullServer(): Promise<PullServer> {
    const { createPullServer } = await import("./directory_pull.ts");
    return createPullServer(host);
  }

  function close(): void {
    listener.close();
    void pullServer?.then((server) => server.stop(), () => undefined);
    sockets.forEach((socket) => socket.destroy());
  }
}
