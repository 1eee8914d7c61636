/**
 * Accepts callers' requests on any path and forwards targets' responses
 * unchanged. The limits follow the configuration while the server runs.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import polka from "polka";
import type { MemoryBudget } from "../process/direct/limits/memory_budget.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type {
  FrontendRequest,
  RequestArrival,
} from "../types/direct_request.ts";
import type { SocketAddress } from "../types/direct_settings.ts";
import type { MemoryShare } from "../types/held_memory.ts";
import type { Reply } from "../types/reply.ts";
import type { CallerLimits } from "../types/route_table.ts";
import { readBody } from "./caller_body.ts";
import { unexpectedEnd } from "./caller_reply.ts";
import { createFrontendReply, writeError } from "./frontend_reply.ts";
import { createOpenResponses } from "./open_responses.ts";
import type { ArrivalTimes } from "./request_arrivals.ts";
import {
  createRequestIntake,
  type RequestIntakeHost,
} from "./request_intake.ts";
import { closeServer } from "./server_close.ts";

/** What the server needs from the process. */
export interface FrontendServerHost extends RequestIntakeHost {
  decode(
    message: IncomingMessage,
    options: { readonly requestId: string; readonly body: Uint8Array },
  ): FrontendRequest;
  /** Returns how long a caller may be kept waiting, in milliseconds. */
  getTimeoutMs(request: FrontendRequest): number;
  createRequestId(): string;
  getLimits(): CallerLimits;
  /** Memory for requests and responses that are not passed on yet. */
  readonly memory: Pick<MemoryBudget, "begin">;
  /** Called before the body is read; a report rejects the request. */
  tryAdmit(): Report | undefined;
  /**
   * Creates the refusal of a request for which the process has no turn in time.
   * It arrived at `arrivedAt`, on the monotonic clock, and there may be room after
   * `waitMs` milliseconds.
   */
  createOverload(
    request: FrontendRequest,
    options: { readonly arrivedAt: number; readonly waitMs: number },
  ): Report;
  /** Handles a complete request; resolves when the request has ended. */
  handle(
    request: FrontendRequest,
    reply: Reply,
    arrival: RequestArrival,
  ): Promise<void>;
  /** Records an unexpected error, which ends the request with 502. */
  recordError(requestId: string, error: unknown): void;
  /** Records a request that ends before it is handled. */
  recordRejection(
    requestId: string,
    report: Report,
    arrival?: RequestArrival,
  ): void;
}

/** A listening server. */
export interface FrontendServer {
  /** Closes each connection after its next response; still accepts new ones. */
  drain(): void;
  /** Returns the number of requests whose responses are not all sent. */
  countOpen(): number;
  /**
   * Closes the listener, waits up to `timeoutMs` for open responses and closes
   * all connections. Returns the number of responses that were cut off.
   */
  stop(timeoutMs: number): Promise<number>;
}

/**
 * Maximum total size of a request's headers, in bytes. It exceeds any limit
 * that an operator is likely to set, as the parser's limit cannot change later.
 */
const maxHeaderBytes = 64 * 1024;

/** Starts listening for callers. */
export async function createFrontendServer(
  host: FrontendServerHost,
  address: SocketAddress,
): Promise<FrontendServer> {
  const limits = host.getLimits();
  const openResponses = createOpenResponses();
  let isDraining = false;
  const server = createServer({
    maxHeaderSize: maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    keepAliveTimeout: limits.idleTimeoutMs,
    requestTimeout: 0,
    noDelay: true,
  });
  const app = polka({
    server,
    onNoMatch: (message, response) =>
      host.turns.measure("head", () => accept(message, response)),
  });
  const intake = createRequestIntake(server, host, address);
  server.on("clientError", rejectMalformed);
  server.on("request", (_message, response) => openResponses.add(response));
  server.on("request", app.handler as never);
  await intake.listener.open();

  return {
    drain: () => {
      isDraining = true;
    },
    countOpen: openResponses.count,
    stop: (timeoutMs) =>
      closeServer(server, {
        ...{ listener: intake.listener, openResponses, timeoutMs },
      }),
  };

  function accept(message: IncomingMessage, response: ServerResponse): void {
    const { headerTimeoutMs, idleTimeoutMs } = host.getLimits();
    server.headersTimeout = headerTimeoutMs;
    server.keepAliveTimeout = idleTimeoutMs;
    const requestId = getRequestId(message);
    const waitMs = intake.tryGetOverloadMs();
    if (waitMs !== undefined) {
      try {
        host.turns.measure(
          "refusal",
          () => refuseAtOnce(message, { response, requestId, waitMs }),
        );
      } catch (error) {
        host.recordError(requestId, error);
        response.destroy();
      }
      return;
    }
    const memory = host.memory.begin({
      requestId,
      breakOff: () => void response.destroy(),
    });
    const reply = createFrontendReply({ message, response }, {
      ...{ requestId, memory, isClosing: () => isDraining },
      measureWrite: (write) => host.turns.measure("write", write),
    });
    const times = intake.begin(message.socket);
    serve(message, { response, requestId, reply, memory, times }).catch(
      (error: unknown) => {
        host.recordError(requestId, error);
        reply.end(unexpectedEnd);
      },
    );
  }

  /** Refuses before anything is set up, as refusals take time from the others. */
  function refuseAtOnce(
    message: IncomingMessage,
    { response, requestId, waitMs }: {
      readonly response: ServerResponse;
      readonly requestId: string;
      readonly waitMs: number;
    },
  ): void {
    const times = intake.begin(message.socket).get();
    const head = host.decode(message, { requestId, body: noBytes });
    const report = host.createOverload(head, { arrivedAt: times.at, waitMs });
    message.resume();
    host.recordRejection(requestId, report, times);
    const isClosing = isDraining;
    writeError(response, { outcome: "not_run", report }, {
      requestId,
      isClosing,
    });
  }

  async function serve(
    message: IncomingMessage,
    { response, requestId, reply, memory, times }: {
      readonly response: ServerResponse;
      readonly requestId: string;
      readonly reply: Reply;
      readonly memory: MemoryShare;
      readonly times: ArrivalTimes;
    },
  ): Promise<void> {
    const admissionError = host.tryAdmit();
    if (admissionError !== undefined) {
      message.resume();
      return reject(admissionError);
    }
    const { maxBodyBytes, headerTimeoutMs } = host.getLimits();
    const head = host.decode(message, { requestId, body: noBytes });
    const deadlineAt = times.get().at + host.getTimeoutMs(head);
    const body = await readBody(message, {
      maxBytes: maxBodyBytes,
      timeoutMs: Math.min(
        headerTimeoutMs * bodyTimeoutFactor,
        Math.max(0, Math.ceil(deadlineAt - performance.now())),
      ),
      trySetBytes: memory.trySetBody,
    });
    times.recordBody();
    if (body.kind === "closed") return recordGone();
    if (body.kind === "rejected") {
      response.setHeader("connection", "close");
      message.resume();
      return reject(body.report);
    }
    // A caller that disconnects meanwhile is detected before its turn.
    const turn = await intake.waitForTurn({ deadlineAt });
    times.recordTurn();
    if (reply.disconnectSignal.aborted) {
      response.destroy();
      return recordGone();
    }
    if (turn.kind === "refused") {
      const { waitMs } = turn;
      const { at: arrivedAt } = times.get();
      return reject(host.createOverload(head, { arrivedAt, waitMs }));
    }
    await host.handle({ ...head, body: body.data }, reply, times.get());

    function reject(report: Report): void {
      host.recordRejection(requestId, report, times.get());
      reply.end({ outcome: "not_run", report });
    }

    function recordGone(): void {
      const report = createReport("caller_gone");
      host.recordRejection(requestId, report, times.get());
    }
  }

  function getRequestId(message: IncomingMessage): string {
    const headerValue = message.headers["x-request-id"];
    return typeof headerValue === "string" && headerValue !== ""
      ? headerValue
      : host.createRequestId();
  }

  function rejectMalformed(
    error: Error & { readonly code?: string },
    socket: Socket,
  ): void {
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    host.recordRejection(
      "",
      createReport("bad_http", { reason: error.message }),
    );
    if (openResponses.canRefuse(socket)) {
      socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
    } else socket.destroy();
  }
}

const noBytes = new Uint8Array();

/** Timeout of a body as a multiple of the timeout of the headers. */
const bodyTimeoutFactor = 5;
