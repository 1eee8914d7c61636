/**
 * Takes callers' requests on any path and passes answers back as targets gave
 * them. Limits follow the configuration while the server runs.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import polka from "polka";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { FrontRequest } from "../types/direct_request.ts";
import type { SocketAddress } from "../types/direct_settings.ts";
import type { Reply } from "../types/reply.ts";
import type { CallerLimits } from "../types/route_table.ts";
import { readBody } from "./caller_body.ts";
import { listen } from "./caller_server.ts";
import { createFrontendReply } from "./frontend_reply.ts";
import { createRequestPacer } from "./request_pacer.ts";

/** What the server needs from outside. */
export interface FrontendServerHost {
  decode(
    message: IncomingMessage,
    options: { readonly requestId: string; readonly body: Uint8Array },
  ): FrontRequest;
  createRequestId(): string;
  getLimits(): CallerLimits;
  /** Checked before the body is read; undefined when there is room. */
  tryAdmit(): Report | undefined;
  /** Takes a whole request; the promise ends with the request. */
  handle(request: FrontRequest, reply: Reply): Promise<void>;
  /** Tells of a request that was turned away before it was whole. */
  recordRejection(requestId: string, report: Report): void;
}

/** A server that listens. */
export interface FrontendServer {
  /** Ends each connection with its next answer; new ones are still taken. */
  drain(): void;
  closeIdle(): void;
  /** Closes the listener and all connections. */
  stop(): void;
}

/**
 * Largest size of all headers of a request, in bytes; above any limit that an
 * operator is likely to set, as the parser's bound cannot change later.
 */
const maxHeaderBytes = 64 * 1024;

/** Connections that may wait to be accepted. */
const backlog = 1_024;

/** Starts to listen for callers. */
export async function createFrontendServer(
  host: FrontendServerHost,
  address: SocketAddress,
): Promise<FrontendServer> {
  const limits = host.getLimits();
  const pacer = createRequestPacer();
  let isDraining = false;
  const server = createServer({
    maxHeaderSize: maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    keepAliveTimeout: limits.idleTimeoutMs,
    requestTimeout: 0,
    noDelay: true,
  });
  const app = polka({ server, onNoMatch: accept });
  server.on("clientError", rejectMalformed);
  server.on("request", app.handler as never);
  await listen(server, { ...address, backlog });

  return {
    drain: () => {
      isDraining = true;
    },
    closeIdle: () => server.closeIdleConnections(),
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };

  function accept(message: IncomingMessage, response: ServerResponse): void {
    const { headerTimeoutMs, idleTimeoutMs } = host.getLimits();
    server.headersTimeout = headerTimeoutMs;
    server.keepAliveTimeout = idleTimeoutMs;
    void serve(message, response);
  }

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = getRequestId(message);
    const reply = createFrontendReply({ message, response }, {
      requestId,
      isClosing: () => isDraining,
    });
    const admissionError = host.tryAdmit();
    if (admissionError !== undefined) {
      message.resume();
      return reject(requestId, admissionError);
    }
    const { maxBodyBytes, headerTimeoutMs } = host.getLimits();
    const body = await readBody(message, {
      maxBytes: maxBodyBytes,
      timeoutMs: headerTimeoutMs * bodyTimeoutFactor,
    });
    if (body.kind === "gone") {
      return host.recordRejection(requestId, createReport("caller_gone"));
    }
    if (body.kind === "rejected") {
      response.setHeader("connection", "close");
      message.resume();
      return reject(requestId, body.report);
    }
    // Callers that have left in the meantime are seen before their turn.
    await pacer.waitForTurn();
    if (reply.gone.aborted) {
      response.destroy();
      return host.recordRejection(requestId, createReport("caller_gone"));
    }
    const request = host.decode(message, { requestId, body: body.data });
    await host.handle(request, reply);

    function reject(id: string, report: Report): void {
      host.recordRejection(id, report);
      reply.end({ outcome: "not_run", report });
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
    if (socket.writable && error.code !== "ECONNRESET") {
      host.recordRejection(
        "",
        createReport("bad_http", { reason: error.message }),
      );
      socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
      return;
    }
    socket.destroy();
  }
}

/** A body may take this many times the time of the headers. */
const bodyTimeoutFactor = 5;
