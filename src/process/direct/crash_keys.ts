/** Identifies requests by what they ask for, not by their ids. */

import { createHash } from "node:crypto";
import type { DirectRequest } from "../../types/direct_request.ts";

/** What tells requests apart. */
export type CrashCandidate = Pick<
  DirectRequest,
  "body" | "holder" | "method" | "path" | "prompt"
>;

/** What a crash can be put down to, and what is quarantined then. */
export interface CrashKey {
  readonly kind: "request";
  /** The same at all routers, and of bounded length. */
  readonly id: string;
  /** What operators know it as, in a bounded text. */
  readonly label: string;
}

/** Hexadecimal digits of a fingerprint. */
const fingerprintDigits = 16;

/** Maximum length of a label, in characters. */
const maxLabelLength = 120;

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

/** Returns what a crash during the request can be put down to. */
export function getCrashKeys(request: CrashCandidate): readonly CrashKey[] {
  const label = `${request.method} ${request.path}`.slice(0, maxLabelLength);
  return [{ kind: "request", id: `request:${getFingerprint(request)}`, label }];
}
