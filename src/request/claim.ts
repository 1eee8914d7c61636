/**
 * Reads and writes claims of idempotency keys. A claim names the one attempt
 * that may run a request. It is written by compare-and-swap before the attempt
 * is sent, and changes to another attempt only with proof that the one it names
 * never runs.
 */

import { createHash } from "node:crypto";
import type { ClaimLeases } from "../process/attempts/claim_leases.ts";
import type { PlacedAttempt, Target } from "../types/agent_calls.ts";
import { type Attempt, getAttemptKey } from "../types/attempt.ts";
import type { Entry, Platform, PlatformError } from "../types/platform.ts";
import type { Work } from "../types/work.ts";

/** Delays before a write and its retries, in milliseconds. */
const writeDelaysMs: readonly number[] = [0, 50, 150, 400];

/** Minimum retry-after delay while claims are unavailable, in ms. */
const minRetryAfterMs = 1_000;

/** What claims need from the process. */
export interface ClaimHost {
  readonly platform: Pick<Platform, "get" | "put" | "remove">;
  readonly leases: ClaimLeases;
}

/** The stored value of one claim. */
export interface ClaimRecord {
  readonly attempt: Attempt;
  readonly target: Target;
  /** Hash of the request that first used the key. */
  readonly fingerprint: string;
}

/** A claim with its key and the revision that was last read or written. */
export interface Claim {
  readonly key: string;
  readonly revision: number;
  readonly record: ClaimRecord;
}

/**
 * The result of writing a claim.
 * - `mine`: the claim names the attempt that was to be written.
 * - `theirs`: the claim names another attempt.
 * - `unavailable`: the state of the claim is unknown, so the attempt must not
 *   be sent.
 */
export type ClaimResult =
  | { readonly kind: "mine"; readonly claim: Claim }
  | { readonly kind: "theirs"; readonly claim: Claim }
  | { readonly kind: "unavailable"; readonly retryAfterMs: number };

/** Returns the key of a request's claim. */
export function getClaimKey(work: Work): string {
  const parts = [work.workspace, work.service, work.idempotencyKey];
  const hash = createHash("sha256").update(JSON.stringify(parts));
  return `claim/${hash.digest("hex").slice(0, 40)}`;
}

/**
 * Writes a claim that names an attempt. It replaces `previous`; without
 * `previous` the key must be absent.
 */
export async function writeClaim(
  host: ClaimHost,
  next: { readonly key: string; readonly record: ClaimRecord },
  previous?: Claim,
): Promise<ClaimResult> {
  let retryAfterMs = minRetryAfterMs;
  for (const delayMs of writeDelaysMs) {
    if (delayMs > 0) await sleep(delayMs);
    const writeResult = await writeOnce(host, next, previous);
    if (writeResult.kind !== "unavailable") return writeResult;
    retryAfterMs = Math.max(writeResult.retryAfterMs, retryAfterMs);
    // Nothing was written, and retries would only delay the caller.
    if (writeResult.isFinal) break;
  }
  return { kind: "unavailable", retryAfterMs };
}

type WriteResult =
  | Exclude<ClaimResult, { readonly kind: "unavailable" }>
  | {
    readonly kind: "unavailable";
    readonly retryAfterMs: number;
    readonly isFinal: boolean;
  };

/** Writes once; when the effect is in doubt, reads the key back. */
async function writeOnce(
  host: ClaimHost,
  next: { readonly key: string; readonly record: ClaimRecord },
  previous: Claim | undefined,
): Promise<WriteResult> {
  const leased = await host.leases.getLease();
  if (leased.isLeft()) return toUnavailable(leased.extract() as PlatformError);
  const lease = leased.extract() as string;
  const value = JSON.stringify(next.record);
  const expectedRevision = previous?.revision ?? 0;
  const options = { expectedRevision, lease };
  const written = await host.platform.put(next.key, value, options);
  if (written.isRight()) {
    const revision = written.extract() as number;
    return { kind: "mine", claim: { ...next, revision } };
  }
  const error = written.extract() as PlatformError;
  if (error.kind === "unavailable" || error.kind === "over_budget") {
    return toUnavailable(error);
  }
  const found = await readBack(host, next, previous);
  // A conflict over an absent key can be caused by an expired lease.
  if (found.kind === "unavailable") host.leases.discard(lease);
  return found;
}

/** Reads the claim back after a write whose effect is in doubt. */
async function readBack(
  host: ClaimHost,
  next: { readonly key: string; readonly record: ClaimRecord },
  previous: Claim | undefined,
): Promise<WriteResult> {
  const response = await host.platform.get(next.key);
  if (response.isLeft()) {
    const error = response.extract() as PlatformError;
    return { ...toUnavailable(error), isFinal: false };
  }
  const entry = response.extract() as Entry | undefined;
  if (entry === undefined || entry.revision === previous?.revision) {
    // The write is lost or delayed. Writing again is harmless: only one of
    // both writes can take effect, since they expect the same revision.
    return { kind: "unavailable", retryAfterMs: 0, isFinal: false };
  }
  const claim = {
    key: next.key,
    revision: entry.revision,
    record: JSON.parse(entry.value) as ClaimRecord,
  };
  const isMine = getAttemptKey(claim.record.attempt) ===
    getAttemptKey(next.record.attempt);
  return { kind: isMine ? "mine" : "theirs", claim };
}

/** Converts an error of a platform call that wrote nothing. */
function toUnavailable(
  error: PlatformError,
): Extract<WriteResult, { readonly kind: "unavailable" }> {
  return {
    kind: "unavailable",
    retryAfterMs: error.retryAfterMs,
    isFinal: true,
  };
}

/** Returns the claim record of an attempt. */
export function createClaimRecord(
  placed: PlacedAttempt,
  fingerprint: string,
): ClaimRecord {
  const { id, address, grpcPort, incarnation } = placed.target;
  return {
    attempt: placed.attempt,
    target: { id, address, grpcPort, incarnation },
    fingerprint,
  };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
