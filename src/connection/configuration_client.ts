/** Pulls the configuration from other members over gRPC. */

import { makeGenericClientConstructor } from "@grpc/grpc-js";
import { type Either, EitherAsync, Left, Right } from "purify-ts";
import {
  type ControlServiceClient,
  ControlServiceService,
  type PullConfigurationResponse,
  type SnapshotPart,
} from "../generated/mimosatray/v1/control.ts";
import type { Member } from "../types/member.ts";
import type {
  PulledConfiguration,
  PullError,
  PullFromMember,
} from "../version/peer_pull.ts";
import { getResponseSize } from "./configuration_server.ts";
import { limitResponses } from "./message_limits.ts";
import {
  type ClientConstructor,
  createPeerConnections,
  maxMessageBytes,
} from "./peer_connections.ts";

/** What the client needs from the process. */
export interface ConfigurationClientHost {
  /** Counts the bytes of a transfer. */
  recordBytes(bytes: number, direction: "received"): void;
}

/** A client that pulls the configuration from other members. */
export interface ConfigurationClient {
  readonly pull: PullFromMember;
  close(): void;
}

/** Timeout of one pull, in milliseconds. */
const pullTimeoutMs = 5_000;

/** Maximum size of a pulled configuration, in bytes. */
const maxPullBytes = maxMessageBytes;

/**
 * Maximum number of patches or parts of a snapshot, many times what a member
 * has. Empty ones cost time and memory, too.
 */
const maxResponses = 20_000;

/** Field of a part of a snapshot in a response. */
const snapshotField = 2;

const LimitedClient = makeGenericClientConstructor(
  limitResponses(ControlServiceService, { counted: [snapshotField] }),
  "mimosatray.v1.ControlService",
) as unknown as ClientConstructor<ControlServiceClient>;

/** Creates a client; it connects with the first pull. */
export function createConfigurationClient(
  host: ConfigurationClientHost,
): ConfigurationClient {
  const connections = createPeerConnections(LimitedClient);

  return { pull, close: connections.close };

  function pull(
    member: Member,
    afterVersion: number,
  ): EitherAsync<PullError, PulledConfiguration> {
    return EitherAsync.fromPromise(() => pullOnce(member, afterVersion));
  }

  function pullOnce(
    member: Member,
    afterVersion: number,
  ): Promise<Either<PullError, PulledConfiguration>> {
    return new Promise((resolve) => {
      const responses: PullConfigurationResponse[] = [];
      let bytes = 0;
      let isCut = false;
      const call = connections.get(member).pullConfiguration(
        { afterVersion },
        { deadline: Date.now() + pullTimeoutMs },
      );
      call.on("data", (response: PullConfigurationResponse) => {
        bytes += getResponseSize(response);
        responses.push(response);
        isCut ||= bytes > maxPullBytes || responses.length > maxResponses;
        if (!isCut) return;
        responses.length = 0;
        const message = `The configuration exceeds ${maxPullBytes} bytes or ` +
          `${maxResponses} parts`;
        resolve(Left({ kind: "unreachable", message }));
        call.cancel();
      });
      call.on("error", (error: Error) => {
        resolve(Left({ kind: "unreachable", message: error.message }));
      });
      call.on("end", () => {
        if (isCut) return;
        host.recordBytes(bytes, "received");
        resolve(parseResponses(responses));
      });
    });
  }
}

function parseResponses(
  responses: readonly PullConfigurationResponse[],
): Either<PullError, PulledConfiguration> {
  const texts: string[] = [];
  const parts: SnapshotPart[] = [];
  for (const { part } of responses) {
    if (part?.$case === "patch") texts.push(part.value);
    if (part?.$case === "snapshot") parts.push(part.value);
  }
  const [first] = parts;
  if (first === undefined) return Right({ kind: "patches", texts });
  if (parts.length !== first.count) {
    return Left({ kind: "unreachable", message: "The snapshot is incomplete" });
  }
  const { version, checksum } = first;
  return Right({
    kind: "snapshot",
    snapshot: {
      version,
      checksum,
      parts: parts.map((snapshotPart) =>
        Buffer.from(snapshotPart.data).toString("base64")
      ),
    },
  });
}
