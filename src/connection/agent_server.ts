/** The gRPC service of an agent. */

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
  tryReadAttempt,
  tryReadRunOrder,
} from "./agent_messages.ts";

/** An attempt and the agent incarnation it is meant for. */
interface PlacedAttempt {
  readonly attempt: Attempt;
  readonly targetIncarnation: number;
}

/** What stands behind the service. */
export interface AgentServerHost {
  run(order: RunOrder): ResponseReader;
  attach(placed: PlacedAttempt, offset: number): ResponseReader;
  settle(placed: PlacedAttempt): string;
  cancel(placed: PlacedAttempt): void;
  order(request: OrderRequest): Promise<OrderResponse>;
  /** Begins the drain; returns the number of attempts in flight. */
  drain(operator: string): number;
  /** The load told with every event, in work units per weight of 100. */
  getLoad(): number;
}

/** Answer to a message that names no attempt. */
const noAttempt = {
  code: status.INVALID_ARGUMENT,
  details: "The message names no attempt",
};

/** Adds the service of an agent to a server. */
export function addAgentService(server: Server, host: AgentServerHost): void {
  const service: AgentServiceServer = {
    run(call) {
      const order = tryReadRunOrder(call.request);
      if (order === undefined) return call.destroy(asError(noAttempt));
      pump(call, host.run(order));
    },
    attach(call) {
      const placed = tryReadPlaced(call.request);
      if (placed === undefined) return call.destroy(asError(noAttempt));
      pump(call, host.attach(placed, call.request.offset));
    },
    settle(call, respond) {
      const placed = tryReadPlaced(call.request);
      if (placed === undefined) return respond(noAttempt);
      respond(null, { state: host.settle(placed) });
    },
    cancel(call, respond) {
      const placed = tryReadPlaced(call.request);
      if (placed === undefined) return respond(noAttempt);
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

  /** Writes events as fast as the router takes them. */
  function pump(
    call: ServerWritableStream<unknown, RunEvent>,
    reader: ResponseReader,
  ): void {
    let blocked = false;
    let ended = false;
    reader.onReadable(write);
    call.on("drain", () => {
      blocked = false;
      write();
    });
    call.on("cancelled", reader.close);
    call.on("error", reader.close);
    call.on("close", reader.close);
    call.on("finish", reader.close);
    write();

    function write(): void {
      while (!blocked && !ended) {
        const event = reader.tryRead();
        if (event === undefined) return;
        blocked = !call.write(toRunEvent(event, host.getLoad()));
        ended = isLastEvent(event);
      }
      if (ended) call.end();
    }
  }
}

function tryReadPlaced(request: {
  readonly attempt?: AttemptMessage | undefined;
  readonly targetIncarnation: number;
}): PlacedAttempt | undefined {
  const attempt = tryReadAttempt(request.attempt);
  const { targetIncarnation } = request;
  return attempt === undefined ? undefined : { attempt, targetIncarnation };
}

function asError(
  report: { readonly code: status; readonly details: string },
): Error {
  return Object.assign(new Error(report.details), report);
}
