/** The UDP socket over which members exchange datagrams. */

import { createSocket } from "node:dgram";
import type { Endpoint } from "../process/membership/exchange.ts";

/** What the socket needs from the process. */
export interface GossipSocketHost {
  /** Handles the bytes of one datagram. */
  receive(bytes: Uint8Array, from: Endpoint): void;
  /** Called for errors of the socket, which stays open. */
  onError(error: Error): void;
}

/** A bound UDP socket. */
export interface GossipSocket {
  bind(): Promise<void>;
  send(bytes: Uint8Array, to: Endpoint): void;
  close(): Promise<void>;
}

/** Creates the socket of a process. */
export function createGossipSocket(
  host: GossipSocketHost,
  options: Endpoint,
): GossipSocket {
  const socket = createSocket("udp4");
  let isOpen = false;
  socket.on("message", (bytes, { address, port }) => {
    host.receive(bytes, { address, port });
  });

  return { bind, send, close };

  function bind(): Promise<void> {
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(options.port, options.address, () => {
        socket.off("error", reject);
        socket.on("error", host.onError);
        isOpen = true;
        resolve();
      });
    });
  }

  function send(bytes: Uint8Array, to: Endpoint): void {
    if (!isOpen) return;
    // An unreachable peer is detected by its missing replies, and so is one
    // whose record names no valid address, for which the socket throws.
    try {
      socket.send(bytes, to.port, to.address, () => undefined);
    } catch {
      return;
    }
  }

  function close(): Promise<void> {
    if (!isOpen) return Promise.resolve();
    isOpen = false;
    return new Promise((resolve) => socket.close(() => resolve()));
  }
}
