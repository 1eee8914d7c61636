/** Reads the body of a caller's request within limits on size and time. */

import type { IncomingMessage } from "node:http";
import { createReport, type Report } from "../types/diagnostics.ts";

/** Limits on the size and the arrival time of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time in which the whole body must arrive, in milliseconds. */
  readonly timeoutMs: number;
  /** Records the bytes of the body; returns false if there is no memory left. */
  trySetBytes?(bytes: number): boolean;
}

/**
 * Time after which bodies that take memory now have probably been sent on, in
 * milliseconds.
 */
const unheldRetryAfterMs = 1_000;

/** A complete body, the report of its rejection, or a closed connection. */
export type BodyResult =
  | { readonly kind: "complete"; readonly data: Uint8Array }
  | { readonly kind: "rejected"; readonly report: Report }
  | { readonly kind: "closed" };

/** Reads a body; rejects it as soon as it exceeds a limit. */
export function readBody(
  message: IncomingMessage,
  options: BodyLimits,
): Promise<BodyResult> {
  const contentLength = Number(message.headers["content-length"] ?? 0);
  if (contentLength > options.maxBytes) return Promise.resolve(rejectLarge());
  if (!trySetBytes(contentLength)) return Promise.resolve(rejectUnheld());
  // A caller may announce a body and not send it, so only what arrives counts.
  trySetBytes(0);
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(
      () => finish(reject("body_late", options.timeoutMs)),
      options.timeoutMs,
    );
    message.on("data", addChunk);
    message.on("end", finishComplete);
    message.on("error", finishDisconnected);
    message.on("close", finishDisconnected);

    function addChunk(chunk: Buffer): void {
      bytes += chunk.length;
      if (bytes > options.maxBytes) finish(rejectLarge());
      else if (!trySetBytes(bytes)) finish(rejectUnheld());
      else chunks.push(chunk);
    }

    function finishComplete(): void {
      const [only] = chunks;
      const data = only !== undefined && chunks.length === 1
        ? only
        : Buffer.concat(chunks, bytes);
      finish({ kind: "complete", data });
    }

    function finishDisconnected(): void {
      finish({ kind: "closed" });
    }

    function finish(result: BodyResult): void {
      clearTimeout(timer);
      message.off("data", addChunk);
      message.off("end", finishComplete);
      message.off("close", finishDisconnected);
      resolve(result);
    }
  });

  function rejectLarge(): BodyResult {
    return reject("body_too_large", options.maxBytes);
  }

  function trySetBytes(bytes: number): boolean {
    return options.trySetBytes?.(bytes) ?? true;
  }

  function rejectUnheld(): BodyResult {
    const report = createReport("router_overloaded", { resource: "memory" }, {
      retryAfterMs: unheldRetryAfterMs,
    });
    return { kind: "rejected", report };
  }

  function reject(
    code: "body_too_large" | "body_late",
    limit: number,
  ): BodyResult {
    return { kind: "rejected", report: createReport(code, { limit }) };
  }
}
