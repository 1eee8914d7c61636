/** Identifies requests by what they ask for, and the parts of their prompts. */

import { createHash } from "node:crypto";
import type { DirectRequest } from "../../../types/direct_request.ts";
import { getSharedParts } from "../placement/prefix_placement.ts";

/** What tells requests apart. */
export type CrashCandidate = Pick<
  DirectRequest,
  "body" | "holder" | "method" | "path" | "prompt"
>;

/**
 * What a crash can be put down to, and what is quarantined then: a request by
 * caller, path and body; a variant of it, which has the same prompt; or a prompt
 * part that requests share.
 */
export interface CrashKey {
  readonly kind: "part" | "request" | "variant";
  /** The same at all routers, and of bounded length. */
  readonly id: string;
  /** What operators know it as, in a bounded text. */
  readonly label: string;
}

/** Hexadecimal digits of a fingerprint. */
const fingerprintDigits = 16;

/** Hexadecimal digits that a variant adds to the fingerprint of its request. */
const variantDigits = 8;

/** Separates the fingerprint of a request from that of its variant. */
const variantSeparator = ".";

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
  { body, holder, method, path }: CrashCandidate,
): string {
  return createHash("sha256")
    .update(JSON.stringify([holder?.workspace, method, path]))
    .update(body)
    .digest("hex")
    .slice(0, fingerprintDigits);
}

/**
 * Returns the fingerprints of a request and, with a prompt, of its variant.
 * Requests that only share a body differ in the latter.
 */
export function getFingerprints(request: CrashCandidate): readonly string[] {
  const fingerprint = getFingerprint(request);
  const { prompt } = request;
  if (prompt === undefined) return [fingerprint];
  const ids = prompt.parts.map(({ id }) => id);
  const variant = hash(JSON.stringify([prompt.model, ids]), variantDigits);
  return [fingerprint, joinVariant(fingerprint, Number.parseInt(variant, 16))];
}

/** Returns what tells apart requests with a prompt, and those without one. */
export function getVariantFingerprint(request: CrashCandidate): string {
  return getFingerprints(request).at(-1) ?? "";
}

/** Returns the fingerprint, or the id, of a variant by that of its request. */
export function joinVariant(request: string, variant: number): string {
  const digits = variant.toString(16).padStart(variantDigits, "0");
  return `${request}${variantSeparator}${digits}`;
}

/**
 * Returns the fingerprint, or the id, of a request and the number of its variant;
 * undefined for what is no variant.
 */
export function trySplitVariant(
  text: string,
): { readonly request: string; readonly variant: number } | undefined {
  const at = text.length - variantDigits - variantSeparator.length;
  if (isPartKey(text) || text[at] !== variantSeparator) return undefined;
  return {
    request: text.slice(0, at),
    variant: Number.parseInt(text.slice(at + variantSeparator.length), 16),
  };
}

/**
 * Returns what a crash during the request can be put down to: the request, its
 * variant, and each prompt part that it shares with others.
 */
export function getCrashKeys(request: CrashCandidate): readonly CrashKey[] {
  const label = `${request.method} ${request.path}`.slice(0, maxLabelLength);
  return [
    ...getRequestKeys(getFingerprints(request), label),
    ...getPartKeys(request),
  ];
}

function getRequestKeys(
  fingerprints: readonly string[],
  label: string,
): readonly CrashKey[] {
  return fingerprints.map((fingerprint, index) => ({
    kind: index === 0 ? "request" : "variant",
    id: getRequestKeyId(fingerprint),
    label,
  }));
}

/** Returns the id of the key of a request, or a variant, with a fingerprint. */
export function getRequestKeyId(fingerprint: string): string {
  return `${requestPrefix}${fingerprint}`;
}

/** Returns the fingerprints of the request whose keys these are. */
export function getKeyFingerprints(
  keys: readonly CrashKey[],
): readonly string[] {
  return keys.filter(({ kind }) => kind !== "part")
    .map(({ id }) => id.slice(requestPrefix.length));
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
    id: `${partPrefix}${
      id.length <= fingerprintDigits ? id : hash(id, fingerprintDigits)
    }`,
    label: id.slice(0, maxLabelLength),
  }));
}

function hash(text: string, digits: number): string {
  return createHash("sha256").update(text).digest("hex").slice(0, digits);
}
