/** Decodes the headers of responses of targets. */

import type { Header } from "../types/work.ts";

/**
 * Decodes alternating names and values. Bytes are decoded as Latin-1, in which
 * headers are written, so that every byte is forwarded as it arrived.
 */
export function parseRawHeaders(
  rawHeaders: readonly (Buffer | string)[],
): readonly Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push({
      name: decode(rawHeaders[index] ?? ""),
      value: decode(rawHeaders[index + 1] ?? ""),
    });
  }
  return headers;
}

function decode(text: Buffer | string): string {
  return typeof text === "string" ? text : text.toString("latin1");
}
