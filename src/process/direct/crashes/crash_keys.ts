/** Identifies requests by what they ask for, and the parts of their prompts. */

import { createHash } from "node:crypto";
import type { DirectRequest } from "../../../types/direct_request.ts";
import { getSharedParts } from "../placement/prefix_placement.ts";

/** What tells requests apart. */
export type CrashCandidate = Pick<
  DirectRequest,
  "body" | "holder" | "method" | "path" | "prompt"
>;

/** What a crash can be put down to, and what is quarantined then. */
export interface CrashKey {
  readonly kind: "part" | "request";
  /** The same at all routers, and of bounded length. */
  readonly id: string;
  /** What operators know it as, in a bounded text. */
  readonly label: string;
}

/** Hexadecimal digits of a fingerprint. */
const fingerprintDigits = 16;

/** Prefix of the keys of requests. */
const requestPrefix = "request:";

/** Prefix of the keys of prompt parts. */
const partPrefix = "part:";

/** Maximum number of parts of one request that a crash can be put down to. */
const maxPartKeys = 32;

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

/**
 * Returns what a crash during the request can be put down to: the request, and
 * each prompt part that it shares with others.
 */
export function getCrashKeys(request: CrashCandidate): readonly CrashKey[] {
  const label = `${request.method} ${request.path}`.slice(0, maxLabelLength);
  return [
    { kind: "request", id: getRequestKeyId(getFingerprint(request)), label },
    ...getPartKeys(request),
  ];
}

/** Returns the id of the key of a request with a fingerprint. */
export function getRequestKeyId(fingerprint: string): string {
  return `${requestPrefix}${fingerprint}`;
}

/** Returns the fingerprint of the request whose keys these are. */
export function tryGetKeyFingerprint(
  keys: readonly CrashKey[],
): string | undefined {
  return keys.find(({ kind }) => kind === "request")?.id
    .slice(requestPrefix.length);
}

/** Returns true for the id of a prompt part's key. */
export function isPartKey(id: string): boolean {
  return id.startsWith(partPrefix);
}

/** Returns the keys of the parts that a request shares with others. */
export function getPartKeys(
  { prompt }: Pick<CrashCandidate, "prompt">,
): readonly CrashKey[] {
  const shared = getSharedParts(prompt?.parts ?? []).map(({ id }) => id);
  return [...new Set(shared)].slice(0, maxPartKeys).map((id) => ({
    kind: "part",
    id: `${partPrefix}${id.length <= fingerprintDigits ? id : hash(id)}`,
    label: id.slice(0, maxLabelLength),
  }));
}

function hash(text: string): string {
  return createHash("sha256").update(text).digest("hex")
    .slice(0, fingerprintDigits);
}
