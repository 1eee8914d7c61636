/**
 * Claims of idempotency keys. A claim names the one attempt that may run a
 * request; it is written by compare-and-swap before the attempt is sent and
 * moved only with proof that the attempt it names never runs.
 */

import { createHash } from "node:crypto";
import type { ClaimLeases } from "../process/attempts/claim_leases.ts";
import type { PlacedAttempt, Target } from "../types/agent_calls.ts";
import { type Attempt, getAttemptKey } from "../types/attempt.ts";
import type { Entry, Platform, PlatformError } from "../types/platform.ts";
import type { Work } from "../types/work.ts";

/** Waits before the tries of one write, in milliseconds. */
const writeDelaysMs: readonly number[] = [0, 50, 150, 400];

/** Time to come back that is told when the platform gives none, in ms. */
const defaultRetryAfterMs = 1_000;

/** What claims need from outside. */
export interface ClaimHost {
  readonly platform: Pick<Platform, "get" | "put" | "remove">;
  readonly leases: ClaimLeases;
}

/** The value of one claim. */
export interface ClaimRecord {
  readonly attempt: Attempt;
  readonly target: Target;
  /** Hash of the request that the key was first used with. */
  readonly fingerprint: string;
}

/** A claim as it was last read or written. */
export interface Claim {
  readonly key: string;
  readonly revision: number;
  readonly record: ClaimRecord;
}

/**
 * - `mine`: the claim names the attempt that was to be written.
 * - `theirs`: it names another one.
 * - `unavailable`: nothing is known; the attempt must not be sent.
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
 * Makes the claim name an attempt. `before` is the claim that is replaced;
 * without it the key must be absent.
 */
export async function writeClaim(
  host: ClaimHost,
  next: { readonly key: string; readonly record: ClaimRecord },
  previous?: Claim,
): Promise<ClaimResult> {
  let retryAfterMs = defaultRetryAfterMs;
  for (const delayMs of writeDelaysMs) {
    if (delayMs > 0) await sleep(delayMs);
    const writeResult = await writeOnce(host, next, previous);
    if (writeResult.kind !== "unavailable") return writeResult;
    retryAfterMs = Math.max(writeResult.retryAfterMs, retryAfterMs);
    // Nothing was written, and a caller is better told at once.
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

/** Writes once; after any doubt the key is read back and compared. */
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
  // A conflict over an absent key can come from a lease that has ended.
  if (found.kind === "unavailable") host.leases.discard(lease);
  return found;
}

/** Reads the claim after a write whose effect is in doubt. */
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
    // The write is lost or late. The same one again is harmless: only one
    // of both can take effect.
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

/** Turns an error of the platform, which wrote nothing, into an answer. */
function toUnavailable(
  error: PlatformError,
): Extract<WriteResult, { readonly kind: "unavailable" }> {
  return {
    kind: "unavailable",
    retryAfterMs: error.retryAfterMs,
    isFinal: true,
  };
}

/** Builds the record of an attempt. */
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

/** Waits a time in milliseconds. */
function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
