/** Sends orders with fencing numbers to the agent of a target. */

import { Metadata } from "@grpc/grpc-js";
import { type Either, EitherAsync, Left, Right } from "purify-ts";
import {
  AgentServiceClient,
  type OrderResponse,
} from "../generated/mimosatray/v1/agent.ts";
import {
  createReport,
  isDiagnosticCode,
  type Report,
} from "../types/diagnostics.ts";
import type { Member } from "../types/member.ts";
import { createPeerConnections, formatAddress } from "./peer_connections.ts";

/** One order to an engine. */
export interface TargetOrder {
  readonly action: "load_adapter" | "unload_adapter";
  readonly adapter: string;
  readonly fencingNumber: number;
  readonly operator: string;
}

/** A client that sends orders to agents. */
export interface OrderClient {
  send(member: Member, order: TargetOrder): EitherAsync<Report, void>;
  close(): void;
}

/** Timeout of one order, in milliseconds. */
const orderTimeoutMs = 30_000;

/** Creates a client; it connects with the first order. */
export function createOrderClient(): OrderClient {
  const connections = createPeerConnections(AgentServiceClient);

  return {
    send: (member, order) =>
      EitherAsync.fromPromise(() => sendOnce(member, order)),
    close: connections.close,
  };

  function sendOnce(
    member: Member,
    order: TargetOrder,
  ): Promise<Either<Report, void>> {
    const request = { ...order, targetIncarnation: member.incarnation };
    const metadata = new Metadata();
    const options = { deadline: Date.now() + orderTimeoutMs };
    return new Promise((resolve) => {
      const client = connections.get(member);
      client.order(request, metadata, options, (error, response) => {
        resolve(
          error === null
            ? parseResponse(response, member)
            : Left(createReport("admin_unreachable", {
              address: formatAddress(member.address, member.grpcPort),
              reason: error.message,
            })),
        );
      });
    });
  }
}

function parseResponse(
  response: OrderResponse,
  member: Member,
): Either<Report, void> {
  if (response.accepted) return Right(undefined);
  const code = isDiagnosticCode(response.code) ? response.code : "order_fenced";
  return Left(createReport(code, { service: member.service }));
}
