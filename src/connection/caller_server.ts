/** Takes callers' requests over HTTP and writes the answers back. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import polka from "polka";
import {
  createReport,
  type DiagnosticCode,
  type Report,
} from "../types/diagnostics.ts";
import type { Reply } from "../types/reply.ts";
import { readBody } from "./caller_body.ts";
import { createHttpReply, formatError } from "./caller_reply.ts";

/** Largest size of all headers of a request, in bytes. */
export const maxHeaderBytes = 16 * 1024;

/** Time in which all headers must arrive, in milliseconds. */
const headersTimeoutMs = 10_000;

/** Time that a caller's connection may be idle, in milliseconds. */
const keepAliveTimeoutMs = 65_000;

/** Interval at which a stop closes connections that became idle, in ms. */
const idleCloseIntervalMs = 20;

/** One request as it came from a caller. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly body: Uint8Array;
}

/** What the server needs from outside. */
export interface CallerServerHost {
  /** Creates the id of a request that brings none. */
  createRequestId(): string;
  /** Checked before the body is read; undefined when there is room. */
  tryAdmit(): Report | undefined;
  /** Takes a whole request; the promise ends with the request. */
  handle(request: CallerRequest, reply: Reply): Promise<void>;
  /** Counts a request that was turned away before it was whole. */
  recordRejection(code: DiagnosticCode): void;
}

/** Options of the server. */
export interface CallerServerOptions {
  readonly address: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/** A server that listens. */
export interface CallerServer {
  /** The port in use. */
  getPort(): number;
  /**
   * Takes no new connections and waits until all answers are written, at most
   * `waitMs`; then closes what is left.
   */
  stop(timeoutMs: number): Promise<void>;
}

/** Paths that callers use. */
const chatPath = "/v1/chat/completions";
const servicePath = "/services/*";

/** Codes of the HTTP parser that have a diagnostic of their own. */
const codesByParserError: Readonly<Record<string, DiagnosticCode>> = {
  HPE_HEADER_OVERFLOW: "headers_too_large",
  HPE_INVALID_EOF_STATE: "body_cut",
  ERR_HTTP_REQUEST_TIMEOUT: "body_late",
};

/** Starts to listen for callers. */
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
  const app = polka({ server, onNoMatch: rejectUnknownPath });
  app.post(chatPath, accept);
  app.all(servicePath, accept);
  server.on("clientError", rejectMalformed);
  server.on("request", app.handler as never);
  await listen(server, options);

  return {
    getPort: () => (server.address() as AddressInfo).port,
    stop,
  };

  function accept(message: IncomingMessage, response: ServerResponse): void {
    void serve(message, response);
  }

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = getRequestId(message);
    const report = host.tryAdmit();
    if (report !== undefined) return reject(message, { response, report });
    const body = await readBody(message, {
      maxBytes: options.maxBodyBytes,
      timeoutMs: options.bodyTimeoutMs,
    });
    if (body.kind === "gone") return host.recordRejection("caller_gone");
    if (body.kind === "rejected") {
      return reject(message, { response, report: body.report });
    }
    await host.handle({
      requestId,
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers: message.headers as CallerRequest["headers"],
      body: body.data,
    }, createHttpReply(response, { requestId }));
  }

  /** Answers before the body is whole; the connection cannot go on. */
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
    // A request with a key may have run before, and this one was not read.
    const mayHaveRun = message.headers["idempotency-key"] !== undefined &&
      (report.code === "router_busy" || report.code === "router_stopping");
    reply.end({ outcome: mayHaveRun ? "unknown" : "not_run", report });
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
    const report = createReport(code, {
      limit: code === "body_late" ? options.bodyTimeoutMs : maxHeaderBytes,
      reason: error.message,
    });
    socket.end(formatRawResponse(report, host.createRequestId()));
  }

  function getRequestId(message: IncomingMessage): string {
    const headerValue = message.headers["x-request-id"];
    const isValid = typeof headerValue === "string" &&
      /^[!-~]{1,128}$/.test(headerValue);
    return isValid ? headerValue : host.createRequestId();
  }

  async function stop(timeoutMs: number): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    const idleTimer = setInterval(
      () => server.closeIdleConnections(),
      idleCloseIntervalMs,
    );
    const closeTimer = setTimeout(
      () => server.closeAllConnections(),
      timeoutMs,
    );
    server.closeIdleConnections();
    await closed;
    clearInterval(idleTimer);
    clearTimeout(closeTimer);
  }
}

/** Waits until the server listens. */
export function listen(
  server: Server,
  options: {
    readonly address: string;
    readonly port: number;
    /** Connections that may wait to be accepted. */
    readonly backlog?: number;
  },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    const { address, port, backlog } = options;
    server.listen({ host: address, port, backlog }, () => resolve());
  });
}

/** Formats an answer for a connection that has no response object. */
function formatRawResponse(report: Report, requestId: string): string {
  const error = formatError({ outcome: "not_run", report }, requestId);
  return [
    `HTTP/1.1 ${error.status} `,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(error.body)}`,
    "x-outcome: not_run",
    `x-code: ${report.code}`,
    `x-request-id: ${requestId}`,
    "connection: close",
    "",
    error.body,
  ].join("\r\n");
}
