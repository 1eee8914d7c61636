/** Keeps one gRPC client for each member that is called. */

import { type Client, credentials } from "@grpc/grpc-js";
import type { Member } from "../types/member.ts";

/** The constructor of a generated gRPC client. */
export type ClientConstructor<C extends Client> = new (
  address: string,
  channelCredentials: ReturnType<typeof credentials.createInsecure>,
  options?: Record<string, number>,
) => C;

/** The clients of one service, by member address. */
export interface PeerConnections<C extends Client> {
  get(member: Member): C;
  close(): void;
}

/** Maximum number of open clients; the oldest one is closed first. */
const maxConnections = 16;

/** Maximum size of a message between processes, in bytes. */
export const maxMessageBytes = 64 * 1_048_576;

/** Creates an empty set of clients. */
export function createPeerConnections<C extends Client>(
  createClient: ClientConstructor<C>,
): PeerConnections<C> {
  const clients = new Map<string, C>();

  return { get, close };

  function get(member: Member): C {
    const address = formatAddress(member.address, member.grpcPort);
    const existing = clients.get(address);
    if (existing !== undefined) return existing;
    if (clients.size >= maxConnections) closeOldest();
    const client = new createClient(address, credentials.createInsecure(), {
      "grpc.max_receive_message_length": maxMessageBytes,
    });
    clients.set(address, client);
    return client;
  }

  function closeOldest(): void {
    const [oldest] = clients;
    if (oldest === undefined) return;
    clients.delete(oldest[0]);
    oldest[1].close();
  }

  function close(): void {
    clients.forEach((client) => client.close());
    clients.clear();
  }
}

/** Formats an IP address and a port; an IPv6 address gets brackets. */
export function formatAddress(address: string, port: number): string {
  return address.includes(":") ? `[${address}]:${port}` : `${address}:${port}`;
}
