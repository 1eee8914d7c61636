/** Reads the body of a caller's request within its bounds. */

import type { IncomingMessage } from "node:http";
import { createReport, type Report } from "../types/diagnostics.ts";

/** Bounds of a body. */
export interface BodyOptions {
  readonly maxBytes: number;
  /** Time in which the whole body must arrive, in milliseconds. */
  readonly timeoutMs: number;
}

/** A whole body, a reason to refuse it, or a caller that has gone. */
export type BodyResult =
  | { readonly kind: "whole"; readonly data: Uint8Array }
  | { readonly kind: "rejected"; readonly report: Report }
  | { readonly kind: "gone" };

/** Reads a body; what is too large or too late is refused at once. */
export function readBody(
  message: IncomingMessage,
  options: BodyOptions,
): Promise<BodyResult> {
  const announced = Number(message.headers["content-length"] ?? 0);
  if (announced > options.maxBytes) return Promise.resolve(rejectLarge());
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(
      () => finish(reject("body_late", options.timeoutMs)),
      options.timeoutMs,
    );
    message.on("data", takePart);
    message.on("end", finishWhole);
    message.on("error", finishGone);
    message.on("close", finishGone);

    function takePart(part: Buffer): void {
      bytes += part.length;
      if (bytes > options.maxBytes) finish(rejectLarge());
      else parts.push(part);
    }

    function finishWhole(): void {
      finish({ kind: "whole", data: Buffer.concat(parts, bytes) });
    }

    function finishGone(): void {
      finish({ kind: "gone" });
    }

    function finish(result: BodyResult): void {
      clearTimeout(timer);
      message.off("data", takePart);
      message.off("end", finishWhole);
      message.off("close", finishGone);
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
