/** Identifies requests by what they ask for, not by their ids. */

import { createHash } from "node:crypto";
import type { DirectRequest } from "../../types/direct_request.ts";

/** What tells requests apart. */
export type CrashCandidate = Pick<
  DirectRequest,
  "body" | "holder" | "method" | "path" | "prompt"
>;

/** Hexadecimal digits of a fingerprint. */
const fingerprintDigits = 16;

/** Returns the same fingerprint for a request each time that it comes. */
export function getFingerprint(
  { body, holder, method, path, prompt }: CrashCandidate,
): string {
  const partIds = prompt?.parts.map(({ id }) => id) ?? [];
  return createHash("sha256")
    .update(
      JSON.stringify([
        holder?.workspace,
        method,
        path,
        ...(prompt === undefined ? [] : [prompt.model, partIds]),
      ]),
    )
    .update(body)
    .digest("hex")
    .slice(0, fingerprintDigits);
}
