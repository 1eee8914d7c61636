/** Reads the body of a caller's request within limits on size and time. */

import type { IncomingMessage } from "node:http";
import { createReport, type Report } from "../types/diagnostics.ts";

/** Limits on the size and the arrival time of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time in which the whole body must arrive, in milliseconds. */
  readonly timeoutMs: number;
}

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
      else chunks.push(chunk);
    }

    function finishComplete(): void {
      finish({ kind: "complete", data: Buffer.concat(chunks, bytes) });
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

  function reject(
    code: "body_too_large" | "body_late",
    limit: number,
  ): BodyResult {
    return { kind: "rejected", report: createReport(code, { limit }) };
  }
}
