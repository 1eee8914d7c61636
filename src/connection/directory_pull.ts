/** Transfers the directory and known cached parts between routers over gRPC. */

import type { Duplex } from "node:stream";
import {
  credentials,
  makeGenericClientConstructor,
  Metadata,
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import type { PeerServiceClient } from "../generated/mimosatray/v1/peer.ts";
import {
  PeerServiceService,
  type PullDirectoryRequest,
  type PullDirectoryResponse,
  type PullHeldPartsRequest,
  type PullHeldPartsResponse,
} from "../generated/mimosatray/v1/peer.ts";
import type { CachedPart } from "../process/direct/placement/cached_parts.ts";
import type { DirectoryCopy } from "../process/direct/directory/directory_replica.ts";
import type { SocketAddress } from "../types/direct_settings.ts";
import { tryGetPartTokens } from "../types/stated_numbers.ts";
import type { StorePosition } from "../types/store_position.ts";
import { limitResponses } from "./message_limits.ts";

/** Timeout of one pull, in milliseconds. */
const pullTimeoutMs = 700;

/** Maximum message size, in bytes; a configuration takes up to a megabyte. */
const maxMessageBytes = 16 * 1024 * 1024;

const channelOptions = {
  "grpc.max_receive_message_length": maxMessageBytes,
  "grpc.max_send_message_length": maxMessageBytes,
};

/** Maximum size of a request, in bytes; it names a position at most. */
const maxRequestBytes = 1_024;

/** Number of `PullDirectoryResponse.existing_keys`, a message of many fields. */
const existingKeysField = 6;

const LimitedClient = makeGenericClientConstructor(
  limitResponses(PeerServiceService, { counted: [existingKeysField] }),
  "mimosatray.v1.PeerService",
) as unknown as typeof PeerServiceClient;

/** The cached parts of targets, as far as a router knows them. */
export interface KnownCachedParts {
  readonly parts: readonly CachedPart[];
  /** False while the router is still recovering from a restart. */
  readonly isSettled: boolean;
}

/** The data that is served to peers. */
export interface PullHost {
  /** Returns what a peer at a position is missing. */
  getCopyAfter(after: StorePosition): DirectoryCopy;
  getCachedParts(): KnownCachedParts;
}

/** A server for peers' pulls on connections that a listener has accepted. */
export interface PullServer {
  accept(connection: Duplex): void;
  stop(): void;
}

/** Creates a server without connections. */
export function createPullServer(host: PullHost): PullServer {
  const server = new Server({
    ...channelOptions,
    "grpc.max_receive_message_length": maxRequestBytes,
  });
  server.addService(PeerServiceService, {
    pullDirectory: (
      call: ServerUnaryCall<PullDirectoryRequest, PullDirectoryResponse>,
      reply: sendUnaryData<PullDirectoryResponse>,
    ) => {
      const { afterEra, afterRevision } = call.request;
      const { position, isComplete, changes, keys, lostEntries } = host
        .getCopyAfter({ era: afterEra, revision: afterRevision });
      reply(null, {
        ...position,
        isComplete,
        changes: [...changes],
        existingKeys: keys && { keys: [...keys] },
        lostEntries: [...lostEntries],
      });
    },
    pullHeldParts: (
      _call: ServerUnaryCall<PullHeldPartsRequest, PullHeldPartsResponse>,
      reply: sendUnaryData<PullHeldPartsResponse>,
    ) => {
      const { parts, isSettled } = host.getCachedParts();
      const heldParts = parts.map(({ target, part }) => ({
        target,
        part: part.id,
        tokens: part.tokens,
        isBeingRead: false,
      }));
      reply(null, { heldParts, isSettled });
    },
  });
  const injector = server.createConnectionInjector(
    ServerCredentials.createInsecure(),
  );
  return {
    accept: (connection) => injector.injectConnection(connection),
    stop: () => server.forceShutdown(),
  };
}

/**
 * Pulls what a peer knows beyond a position; rejects when it is unresponsive.
 */
export async function pullDirectory(
  peer: SocketAddress,
  after: StorePosition,
): Promise<DirectoryCopy> {
  const response = await callPeer<PullDirectoryResponse>(
    peer,
    (client, options, reply) =>
      client.pullDirectory(
        { afterRevision: after.revision, afterEra: after.era },
        new Metadata(),
        options,
        reply,
      ),
  );
  const { era, revision, isComplete, existingKeys } = response;
  return {
    position: { era, revision },
    isComplete,
    keys: existingKeys?.keys,
    changes: response.changes.map((change) => ({
      key: change.key,
      value: change.value,
      revision: change.revision,
    })),
    lostEntries: response.lostEntries.map((lost) => ({
      key: lost.key,
      value: lost.value,
      revision: lost.revision,
      restoredRevision: lost.restoredRevision,
    })),
  };
}

/** Pulls a peer's known cached parts; rejects when it is unresponsive. */
export async function pullCachedParts(
  peer: SocketAddress,
): Promise<KnownCachedParts> {
  const { heldParts, isSettled } = await callPeer<PullHeldPartsResponse>(
    peer,
    (client, options, reply) =>
      client.pullHeldParts(
        {},
        new Metadata(),
        options,
        reply,
      ),
  );
  const parts = heldParts.flatMap(({ target, part: id, tokens: stated }) => {
    const tokens = tryGetPartTokens(stated);
    return tokens === undefined ? [] : [{ target, part: { id, tokens } }];
  });
  return { parts, isSettled };
}

type CallOptions = { readonly deadline: number };
type ResponseCallback<T> = (error: Error | null, response: T) => void;

/** Makes one call to a peer over a new channel. */
function callPeer<T>(
  { address, port }: SocketAddress,
  invoke: (
    client: PeerServiceClient,
    options: CallOptions,
    reply: ResponseCallback<T>,
  ) => void,
): Promise<T> {
  const client = new LimitedClient(
    `${address}:${port}`,
    credentials.createInsecure(),
    channelOptions,
  );
  return new Promise<T>((resolve, reject) => {
    const options = { deadline: Date.now() + pullTimeoutMs };
    invoke(client, options, (error, response) => {
      if (error === null) resolve(response);
      else reject(error);
    });
  }).finally(() => client.close());
}
