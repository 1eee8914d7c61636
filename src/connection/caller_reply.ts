/** Writes one response to a caller's HTTP connection. */

import type { ServerResponse } from "node:http";
import { formatReport, getDiagnostic } from "../types/diagnostics.ts";
import type { Reply, ReplyHead, RequestEnd } from "../types/reply.ts";
import { isEventStream } from "../types/response.ts";

/** Status of a request that ended without a report. */
const doneStatus = 200;

/** End of an event: the break of its last line and an empty line. */
const eventEnd = /\n\r?\n$/;

/** Maximum length of the end of an event, in bytes. */
const maxEventEndBytes = 3;

/** The status and the body of an error response. */
export interface FormattedError {
  readonly status: number;
  /** The body as JSON text. */
  readonly body: string;
}

/** Formats the error of a request whose outcome is not `done`. */
export function formatError(
  end: RequestEnd,
  requestId: string,
): FormattedError {
  if (end.report === undefined) return { status: doneStatus, body: "{}" };
  const { code, retryAfterMs } = end.report;
  const error = {
    code,
    message: formatReport(end.report),
    outcome: end.outcome,
    request_id: requestId,
    ...(retryAfterMs > 0 ? { retry_after_ms: retryAfterMs } : {}),
  };
  return {
    status: getDiagnostic(code).status,
    body: JSON.stringify({ error }),
  };
}

/** Creates a reply that writes to an HTTP response. */
export function createHttpReply(
  response: ServerResponse,
  options: { readonly requestId: string },
): Reply {
  const disconnect = new AbortController();
  let isStream = false;
  let hasKnownLength = false;
  /** Last bytes of the body, of which an event's end can be told. */
  let tail: Uint8Array = new Uint8Array();
  response.on("close", () => {
    if (!response.writableFinished) disconnect.abort();
  });
  response.on("error", () => disconnect.abort());

  return { disconnectSignal: disconnect.signal, start, write, end };

  function start(head: ReplyHead): void {
    for (const { name, value } of head.headers) {
      response.setHeader(name, value);
    }
    isStream = isEventStream(head.headers);
    response.setHeader("x-request-id", options.requestId);
    response.setHeader("x-place", head.targetId);
    hasKnownLength = head.length !== undefined;
    if (head.length === undefined) {
      // The outcome is only known when the body ends.
      response.setHeader("trailer", "x-outcome, x-code");
    } else {
      response.setHeader("content-length", head.length);
      response.setHeader("x-outcome", "done");
    }
    response.writeHead(head.status);
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    if (isStream) {
      tail = Buffer.concat([tail, data.subarray(-maxEventEndBytes)])
        .subarray(-maxEventEndBytes);
    }
    if (disconnect.signal.aborted || response.write(data)) return undefined;
    return waitForDrain(response);
  }

  function end(requestEnd: RequestEnd): void {
    if (disconnect.signal.aborted) response.destroy();
    else if (!response.headersSent) endBeforeHead(requestEnd);
    else endAfterHead(requestEnd);
  }

  function endBeforeHead(requestEnd: RequestEnd): void {
    const { status, body } = formatError(requestEnd, options.requestId);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      "x-request-id": options.requestId,
      ...getEndHeaders(requestEnd),
    });
    response.end(body);
  }

  function endAfterHead(requestEnd: RequestEnd): void {
    if (hasKnownLength) {
      response.end();
      return;
    }
    if (requestEnd.outcome !== "done") {
      // A destroyed connection shows the caller that the body is incomplete. An
      // error that follows a part of an event would be read as its rest.
      if (!isStream || !isBetweenEvents()) return void response.destroy();
      const { body } = formatError(requestEnd, options.requestId);
      response.write(`event: error\ndata: ${body}\n\n`);
    }
    response.addTrailers({
      "x-outcome": requestEnd.outcome,
      "x-code": requestEnd.report?.code ?? "done",
    });
    response.end();
  }

  function isBetweenEvents(): boolean {
    const text = Buffer.from(tail).toString("latin1");
    return text === "" || eventEnd.test(text);
  }
}

/** Waits until more can be written or the caller has disconnected. */
export function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("drain", finish);
    response.once("close", finish);

    function finish(): void {
      response.off("drain", finish);
      response.off("close", finish);
      resolve();
    }
  });
}

/** Returns the headers that report how a request ended. */
function getEndHeaders(end: RequestEnd): Record<string, string> {
  const headers: Record<string, string> = { "x-outcome": end.outcome };
  if (end.report === undefined) return headers;
  headers["x-code"] = end.report.code;
  const { retryAfterMs } = end.report;
  if (retryAfterMs > 0) {
    headers["retry-after"] = String(Math.ceil(retryAfterMs / 1_000));
    headers["retry-after-ms"] = String(Math.ceil(retryAfterMs));
  }
  return headers;
}
