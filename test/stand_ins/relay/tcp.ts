/**
 * Relays TCP connections. Data on a cut link is held back until the link heals,
 * as TCP would retransmit it.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { Direction, Link } from "./link.ts";

/** Address on which a link listens, and the address to forward to. */
export interface LinkEndpoints {
  readonly address: string;
  readonly port: number;
  readonly targetAddress: string;
  readonly targetPort: number;
}

/** A relay of one link that listens. */
export interface Relay {
  readonly port: number;
  /** Closes all connections at once and keeps listening. */
  reset(): void;
  close(): Promise<void>;
}

/** Starts the TCP relay of a link. */
export function startTcpRelay(
  endpoints: LinkEndpoints,
  link: Link,
): Promise<Relay> {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, accept);

  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(endpoints.port, endpoints.address, () => {
      resolve({ port: getPort(server), reset, close });
    });
  });

  async function accept(caller: Socket): Promise<void> {
    trackSocket(caller);
    caller.pause();
    // Opens no connection to the target while the link to it is cut.
    await link.waitForHeal("to_target");
    if (caller.destroyed) return;
    const target = connect({
      host: endpoints.targetAddress,
      port: endpoints.targetPort,
      allowHalfOpen: true,
    });
    trackSocket(target);
    caller.on("close", () => target.destroy());
    target.on("close", () => caller.destroy());
    target.on("connect", () => {
      forward(caller, target, "to_target");
      forward(target, caller, "from_target");
    });
  }

  function trackSocket(socket: Socket): void {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => sockets.delete(socket));
  }

  /** Forwards data in order, one chunk at a time. */
  function forward(from: Socket, to: Socket, direction: Direction): void {
    let lastWrite = Promise.resolve();
    from.on("data", (data) => {
      from.pause();
      lastWrite = lastWrite.then(() => waitForLink(direction)).then(() => {
        if (!to.destroyed) to.write(data);
        from.resume();
      });
    });
    from.on("end", () => {
      lastWrite = lastWrite.then(() => waitForLink(direction)).then(() => {
        if (!to.destroyed) to.end();
      });
    });
    from.resume();
  }

  /** Waits for the delay of the link and until it is not cut. */
  async function waitForLink(direction: Direction): Promise<void> {
    const { delayMs } = link.getState();
    if (delayMs > 0) await sleep(delayMs);
    await link.waitForHeal(direction);
  }

  function reset(): void {
    sockets.forEach((socket) => socket.destroy());
  }

  function close(): Promise<void> {
    return new Promise((resolve) => {
      server.close(() => resolve());
      reset();
    });
  }
}

function getPort(server: Server): number {
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
