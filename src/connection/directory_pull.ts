/** Passes the directory between routers over gRPC. */

import {
  credentials,
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import {
  PeerServiceClient,
  PeerServiceService,
  type PullDirectoryRequest,
  type PullDirectoryResponse,
} from "../generated/mimosatray/v1/peer.ts";
import type { SocketAddress } from "../types/direct_settings.ts";
import type { WatchEvent } from "../types/platform.ts";

/** Longest wait for a peer's copy, in milliseconds. */
const pullTimeoutMs = 700;

/** Largest message, in bytes; a configuration takes at most one megabyte. */
const maxMessageBytes = 16 * 1024 * 1024;

const channelOptions = {
  "grpc.max_receive_message_length": maxMessageBytes,
  "grpc.max_send_message_length": maxMessageBytes,
};

/** Serves the directory to peers; returns how to end that. */
export async function serveDirectory(
  host: { getSince(revision: number): readonly WatchEvent[] },
  { address, port }: SocketAddress,
): Promise<() => void> {
  const server = new Server(channelOptions);
  server.addService(PeerServiceService, {
    pullDirectory: (
      call: ServerUnaryCall<PullDirectoryRequest, PullDirectoryResponse>,
      reply: sendUnaryData<PullDirectoryResponse>,
    ) => {
      const changes = host.getSince(call.request.afterRevision);
      reply(null, { changes: [...changes] });
    },
  });
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(
      `${address}:${port}`,
      ServerCredentials.createInsecure(),
      (error) => (error === null ? resolve() : reject(error)),
    );
  });
  return () => server.forceShutdown();
}

/** Pulls what a peer knows beyond a revision; rejects when it is silent. */
export function pullDirectory(
  { address, port }: SocketAddress,
  afterRevision: number,
): Promise<readonly WatchEvent[]> {
  const client = new PeerServiceClient(
    `${address}:${port}`,
    credentials.createInsecure(),
    channelOptions,
  );
  return new Promise<readonly WatchEvent[]>((resolve, reject) => {
    const deadline = Date.now() + pullTimeoutMs;
    client.pullDirectory({ afterRevision }, { deadline } as never, (
      error: Error | null,
      response: PullDirectoryResponse,
    ) => {
      if (error !== null) return reject(error);
      resolve(response.changes.map(({ key, value, revision }) => ({
        key,
        value,
        revision,
      })));
    });
  }).finally(() => client.close());
}
