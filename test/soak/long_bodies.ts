/** Long bodies: how they are compared, and how callers send and read them. */

import { createHash } from "node:crypto";
import type { ClientRequest, IncomingMessage } from "node:http";
import { sleep } from "../harness/wait.ts";

/** Header in which a caller names the digest of its body. */
export const digestHeader = "x-body-digest";

/** Length from which a body is compared by its digest, in characters. */
const longLength = 10_000;

/** Pieces in which a long body is sent. */
const pieceCount = 12;

/** Time for which a slow reader takes nothing after each piece, in ms. */
const readPauseMs = 30;

/** Returns a short text that tells long bodies apart. */
export function shorten(body: string): string {
  return body.length < longLength
    ? body
    : `${body.length} characters, ${getDigest(body)}`;
}

/** Returns the digest of a body. */
export function getDigest(body: string): string {
  return createHash("sha1").update(body).digest("hex");
}

/** Reads the body of a request and compares it with what its caller named. */
export function createBodyRecord(request: IncomingMessage) {
  const named = request.headers[digestHeader]?.toString();
  const hash = createHash("sha1");
  if (named === undefined) request.resume();
  else request.on("data", (chunk: Buffer) => hash.update(chunk));
  return {
    /** True when the caller sends the body in pieces. */
    isLong: named !== undefined,
    /** Returns, at the end of the body, true when it is not the caller's. */
    isOther: () => named !== undefined && named !== hash.digest("hex"),
  };
}

/** Sends a body in pieces over a time. */
export async function sendInPieces(
  message: ClientRequest,
  body: string,
  { lengthMs }: { readonly lengthMs: number },
): Promise<void> {
  const size = Math.ceil(body.length / pieceCount);
  for (let from = 0; from < body.length && !message.destroyed; from += size) {
    message.write(body.slice(from, from + size));
    await sleep(lengthMs / pieceCount);
  }
  message.end();
}

/** Takes nothing for a time after each piece of a response. */
export function readSlowly(response: IncomingMessage): void {
  response.on("data", () => {
    response.pause();
    setTimeout(() => response.resume(), readPauseMs);
  });
}
