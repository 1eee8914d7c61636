/** Serves the calls of routers to an agent over gRPC. */

import { type Server, type ServerWritableStream, status } from "@grpc/grpc-js";
import {
  type AgentServiceServer,
  AgentServiceService,
  type Attempt as AttemptMessage,
  type OrderRequest,
  type OrderResponse,
  type RunEvent,
} from "../generated/mimosatray/v1/agent.ts";
import { isLastEvent, type ResponseReader } from "../types/response.ts";
import type { Attempt } from "../types/attempt.ts";
import type { RunOrder } from "../types/run_order.ts";
import {
  toRunEvent,
  tryParseAttempt,
  tryParseRunOrder,
} from "./agent_server_codec.ts";

/** An attempt and the agent incarnation that it is meant for. */
interface TargetedAttempt {
  readonly attempt: Attempt;
  readonly targetIncarnation: number;
}

/** What the service needs from the agent. */
export interface AgentServerHost {
  run(order: RunOrder): ResponseReader;
  attach(placed: TargetedAttempt, offset: number): ResponseReader;
  settle(placed: TargetedAttempt): string;
  cancel(placed: TargetedAttempt): void;
  order(request: OrderRequest): Promise<OrderResponse>;
  /** Starts draining; returns the number of attempts in flight. */
  drain(operator: string): number;
  /** Returns the load that events report, in work units per weight of 100. */
  getLoad(): number;
}

/** Error for a message without a valid attempt. */
const noAttemptError = {
  code: status.INVALID_ARGUMENT,
  details: "The message names no attempt",
};

/** Adds the service of an agent to a server. */
export function addAgentService(server: Server, host: AgentServerHost): void {
  const service: AgentServiceServer = {
    run(call) {
      const order = tryParseRunOrder(call.request);
      if (order === undefined) return call.destroy(toError(noAttemptError));
      writeEvents(call, host.run(order));
    },
    attach(call) {
      const placed = tryParseTargetedAttempt(call.request);
      if (placed === undefined) return call.destroy(toError(noAttemptError));
      writeEvents(call, host.attach(placed, call.request.offset));
    },
    settle(call, respond) {
      const placed = tryParseTargetedAttempt(call.request);
      if (placed === undefined) return respond(noAttemptError);
      respond(null, { state: host.settle(placed) });
    },
    cancel(call, respond) {
      const placed = tryParseTargetedAttempt(call.request);
      if (placed === undefined) return respond(noAttemptError);
      host.cancel(placed);
      respond(null, {});
    },
    order(call, respond) {
      host.order(call.request).then(
        (response) => respond(null, response),
        (error: Error) => respond(error),
      );
    },
    drain(call, respond) {
      respond(null, { inFlight: host.drain(call.request.operator) });
    },
  };
  server.addService(AgentServiceService, service);

  /** Writes events at the pace at which the router reads them. */
  function writeEvents(
    call: ServerWritableStream<unknown, RunEvent>,
    reader: ResponseReader,
  ): void {
    let isBlocked = false;
    let hasEnded = false;
    reader.onReadable(write);
    call.on("drain", () => {
      isBlocked = false;
      write();
    });
    call.on("cancelled", reader.close);
    call.on("error", reader.close);
    call.on("close", reader.close);
    call.on("finish", reader.close);
    write();

    function write(): void {
      while (!isBlocked && !hasEnded) {
        const event = reader.tryRead();
        if (event === undefined) return;
        isBlocked = !call.write(toRunEvent(event, host.getLoad()));
        hasEnded = isLastEvent(event);
      }
      if (hasEnded) call.end();
    }
  }
}

function tryParseTargetedAttempt(request: {
  readonly attempt?: AttemptMessage | undefined;
  readonly targetIncarnation: number;
}): TargetedAttempt | undefined {
  const attempt = tryParseAttempt(request.attempt);
  const { targetIncarnation } = request;
  return attempt === undefined ? undefined : { attempt, targetIncarnation };
}

function toError(
  serviceError: { readonly code: status; readonly details: string },
): Error {
  return Object.assign(new Error(serviceError.details), serviceError);
}
