/** Writes one response to a caller's HTTP connection. */

import type { ServerResponse } from "node:http";
import {
  createReport,
  type DiagnosticCode,
  formatReport,
  getDiagnostic,
} from "../types/diagnostics.ts";
import { promisesNotRun } from "../types/promises.ts";
import {
  hasBody,
  type Reply,
  type ReplyHead,
  type RequestEnd,
} from "../types/reply.ts";
import { isEventStream } from "../types/response.ts";
import { createFramedReply } from "./framed_reply.ts";

/** End of an event: the break of its last line and an empty line. */
const eventEnd = /\n\r?\n$/;

/** Maximum length of the end of an event, in bytes. */
const maxEventEndBytes = 3;

/** Status of an error whose own status would be a promise without proof. */
const unknownOutcomeStatus = 502;

/** The end of a request that failed with an unexpected error. */
export const unexpectedEnd: RequestEnd = {
  outcome: "unknown",
  report: createReport("outcome_unknown"),
};

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
  const report = end.report ?? createReport("outcome_unknown");
  const { code, retryAfterMs } = report;
  const error = {
    code,
    message: formatReport(report),
    outcome: end.outcome,
    request_id: requestId,
    ...(retryAfterMs > 0 ? { retry_after_ms: retryAfterMs } : {}),
  };
  return { status: getErrorStatus(end, code), body: JSON.stringify({ error }) };
}

/** Returns the status of an error; none promises "not run" without proof. */
function getErrorStatus({ outcome }: RequestEnd, code: DiagnosticCode): number {
  const { status } = getDiagnostic(code);
  const isUnproved = promisesNotRun(status) && outcome !== "not_run";
  return isUnproved ? unknownOutcomeStatus : status;
}

/** Creates a reply that writes to an HTTP response. */
export function createHttpReply(
  response: ServerResponse,
  options: { readonly requestId: string },
): Reply {
  const disconnect = new AbortController();
  let isStream = false;
  let isEncoded = false;
  /** The last bytes written, as many as the end of an event has. */
  let tail: Buffer = Buffer.alloc(0);
  let hasTrailers = false;
  const handleDisconnect = (): void => disconnect.abort();
  response.on("close", () => {
    if (!response.writableFinished) disconnect.abort();
  });
  response.on("error", handleDisconnect);

  return createFramedReply(
    { disconnectSignal: disconnect.signal, start, write, end },
    { response, stop: handleDisconnect },
  );

  function start(head: ReplyHead): void {
    isStream = isEventStream(head.headers);
    isEncoded = head.headers.some(({ name }) =>
      name.toLowerCase() === "content-encoding"
    );
    hasTrailers = head.length === undefined &&
      hasBody(response.req.method ?? "GET", head.status);
    // Written in one call, so that a header that cannot be sent leaves none.
    response.writeHead(head.status, [
      ...head.headers.flatMap(({ name, value }) => [name, value]),
      ...["x-request-id", options.requestId, "x-place", head.targetId],
      ...(head.length === undefined
        ? []
        : ["content-length", String(head.length)]),
      // The outcome of a body of unknown length is only known when it ends.
      ...(hasTrailers
        ? ["trailer", "x-outcome, x-code"]
        : ["x-outcome", "done"]),
    ]);
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
    if (requestEnd.outcome !== "done") {
      // A destroyed connection shows the caller that the body is incomplete.
      if (!canReportInStream()) return void response.destroy();
      const { body } = formatError(requestEnd, options.requestId);
      response.write(`event: error\ndata: ${body}\n\n`);
    }
    if (!hasTrailers) return void response.end();
    response.addTrailers({
      "x-outcome": requestEnd.outcome,
      "x-code": requestEnd.report?.code ?? "done",
    });
    response.end();
  }

  /**
   * Returns true when the caller would decode an error event here. Within an
   * event it would become a part of that event.
   */
  function canReportInStream(): boolean {
    return hasTrailers && isStream && !isEncoded &&
      (tail.length === 0 || eventEnd.test(tail.toString("latin1")));
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
