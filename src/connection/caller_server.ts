/** Accepts callers' requests over HTTP and writes the responses. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import polka from "polka";
import {
  createReport,
  type DiagnosticCode,
  type Report,
} from "../types/diagnostics.ts";
import type { Reply, RequestEnd } from "../types/reply.ts";
import { readBody } from "./caller_body.ts";
import { createHttpReply, formatError, unexpectedEnd } from "./caller_reply.ts";
import { createOpenResponses } from "./open_responses.ts";
import {
  createRequestIntake,
  type RequestIntakeHost,
} from "./request_intake.ts";
import { closeServer } from "./server_close.ts";

/** Maximum total size of a request's headers, in bytes. */
export const maxHeaderBytes = 16 * 1024;

/** Time in which all headers must arrive, in milliseconds. */
const headersTimeoutMs = 10_000;

/** Time after which an idle connection is closed, in milliseconds. */
const keepAliveTimeoutMs = 65_000;

/** A request as the caller sent it. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly body: Uint8Array;
  /** Earliest time at which it can have arrived, on the monotonic clock. */
  readonly arrivedAt: number;
}

/** What the server needs from the process. */
export interface CallerServerHost extends RequestIntakeHost {
  /** Creates an id for a request without one. */
  createRequestId(): string;
  /** Returns how long the caller of a request waits, in milliseconds. */
  getDeadlineMs(headers: CallerRequest["headers"]): number;
  /** Called before the body is read; a report rejects the request. */
  tryAdmit(): Report | undefined;
  /** Handles a complete request; resolves when the request has ended. */
  handle(request: CallerRequest, reply: Reply): Promise<void>;
  /** Records an unexpected error, which ends the request with 502. */
  recordError(requestId: string, error: unknown): void;
  /** Counts a request that ended before its body was complete. */
  recordRejection(code: DiagnosticCode): void;
}

/** Options of the server. */
export interface CallerServerOptions {
  readonly address: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/** A listening server. */
export interface CallerServer {
  /** Returns the port that the server listens on. */
  getPort(): number;
  /**
   * Stops accepting connections and waits up to `timeoutMs` until all responses
   * are written; then closes the remaining connections.
   */
  stop(timeoutMs: number): Promise<void>;
}

/** Paths that callers use. */
const chatPath = "/v1/chat/completions";
const servicePath = "/services/*";

/** Diagnostics by error code of the HTTP parser; the rest are `bad_http`. */
const codesByParserError: Readonly<Record<string, DiagnosticCode>> = {
  HPE_HEADER_OVERFLOW: "headers_too_large",
  HPE_INVALID_EOF_STATE: "body_cut",
  ERR_HTTP_REQUEST_TIMEOUT: "body_late",
};

/** Shortest time after which a caller returns to a busy router, in ms. */
const minReturnMs = 100;

/** Starts listening for callers. */
export async function createCallerServer(
  host: CallerServerHost,
  options: CallerServerOptions,
): Promise<CallerServer> {
  const server = createServer({
    maxHeaderSize: maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: options.bodyTimeoutMs + headersTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs,
    noDelay: true,
  });
  const openResponses = createOpenResponses();
  const app = polka({ server, onNoMatch: rejectUnknownPath });
  app.post(chatPath, accept);
  app.all(servicePath, accept);
  server.on("clientError", rejectMalformed);
  server.on("request", (_message, response) => openResponses.add(response));
  server.on("request", app.handler as never);
  const intake = createRequestIntake(server, host, options);
  const { listener } = intake;
  await listener.open();

  return {
    getPort: () => (server.address() as AddressInfo).port,
    stop,
  };

  function accept(message: IncomingMessage, response: ServerResponse): void {
    serve(message, response).catch((error: unknown) => {
      const requestId = getRequestId(message);
      host.recordError(requestId, error);
      createHttpReply(response, { requestId }).end(unexpectedEnd);
    });
  }

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = getRequestId(message);
    const headers = message.headers as CallerRequest["headers"];
    const { at: arrivedAt } = intake.begin(message.socket).get();
    const deadlineAt = arrivedAt + host.getDeadlineMs(headers);
    const report = host.tryAdmit() ?? tryGetOverload();
    if (report !== undefined) return reject(message, { response, report });
    const body = await readBody(message, {
      maxBytes: options.maxBodyBytes,
      timeoutMs: Math.min(
        options.bodyTimeoutMs,
        Math.max(0, Math.ceil(deadlineAt - performance.now())),
      ),
    });
    if (body.kind === "closed") return host.recordRejection("caller_gone");
    if (body.kind === "rejected") {
      return reject(message, { response, report: body.report });
    }
    const turn = await intake.waitForTurn({ deadlineAt });
    if (response.destroyed) return host.recordRejection("caller_gone");
    if (turn.kind === "refused") {
      return reject(message, { response, report: createOverload(turn.waitMs) });
    }
    await host.handle({
      ...{ requestId, headers, body: body.data, arrivedAt },
      method: message.method ?? "GET",
      path: message.url ?? "/",
    }, createHttpReply(response, { requestId }));
  }

  /** Returns why no request may wait for a turn of the process. */
  function tryGetOverload(): Report | undefined {
    const waitMs = intake.tryGetOverloadMs();
    return waitMs === undefined ? undefined : createOverload(waitMs);
  }

  /** Responds before the body is complete; the connection cannot be reused. */
  function reject(
    message: IncomingMessage,
    { response, report }: {
      readonly response: ServerResponse;
      readonly report: Report;
    },
  ): void {
    const requestId = getRequestId(message);
    const reply = createHttpReply(response, { requestId });
    response.setHeader("connection", "close");
    host.recordRejection(report.code);
    reply.end(createRejection(report, message.headers));
    message.resume();
  }

  function rejectUnknownPath(
    message: IncomingMessage,
    response: ServerResponse,
  ) {
    const report = createReport("not_found", { path: message.url ?? "/" });
    reject(message, { response, report });
  }

  function rejectMalformed(
    error: Error & { readonly code?: string },
    socket: Socket,
  ): void {
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const code = codesByParserError[error.code ?? ""] ?? "bad_http";
    host.recordRejection(code);
    if (!openResponses.canRefuse(socket)) {
      socket.destroy();
      return;
    }
    const report = createReport(code, {
      limit: code === "body_late" ? options.bodyTimeoutMs : maxHeaderBytes,
      reason: error.message,
    });
    const headers = openResponses.tryGetRequest(socket)?.headers ?? {};
    const rejection = createRejection(report, headers);
    socket.end(formatRawResponse(rejection, host.createRequestId()));
  }

  function getRequestId(message: IncomingMessage): string {
    const headerValue = message.headers["x-request-id"];
    const isValid = typeof headerValue === "string" &&
      /^[!-~]{1,128}$/.test(headerValue);
    return isValid ? headerValue : host.createRequestId();
  }

  async function stop(timeoutMs: number): Promise<void> {
    await closeServer(server, { listener, openResponses, timeoutMs });
  }
}

/** Creates the refusal of a request for which the process has no turn in time. */
function createOverload(waitMs: number): Report {
  return createReport("router_overloaded", { resource: "processor" }, {
    retryAfterMs: Math.ceil(
      minReturnMs + waitMs + Math.random() * (minReturnMs + waitMs),
    ),
  });
}

/**
 * Returns the end of a request that is rejected before its idempotency key is
 * looked up. With a key, an earlier request may have run.
 */
export function createRejection(
  report: Report,
  headers: Readonly<Record<string, unknown>>,
): RequestEnd {
  const hasKey = headers["idempotency-key"] !== undefined;
  return { outcome: hasKey ? "unknown" : "not_run", report };
}

/** Formats a response for a connection that has no response object. */
function formatRawResponse(end: RequestEnd, requestId: string): string {
  const error = formatError(end, requestId);
  return [
    `HTTP/1.1 ${error.status} `,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(error.body)}`,
    `x-outcome: ${end.outcome}`,
    `x-code: ${end.report?.code}`,
    `x-request-id: ${requestId}`,
    "connection: close",
    "",
    error.body,
  ].join("\r\n");
}
