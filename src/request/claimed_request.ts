/**
 * Decides which attempt may run a request with an idempotency key: its own, or
 * the one that an earlier request with the same key has claimed.
 */

import type { PlacedAttempt } from "../types/agent_calls.ts";
import { createReport } from "../types/diagnostics.ts";
import type { RequestEnd } from "../types/reply.ts";
import type { Work } from "../types/work.ts";
import type { AttemptVerdict } from "./attempt_run.ts";
import {
  type Claim,
  type ClaimHost,
  createClaimRecord,
  getClaimKey,
  writeClaim,
} from "./claim.ts";
import { createEnd } from "./request_end.ts";

/** Maximum number of other requests' claims that one request takes over. */
const maxTakeovers = 5;

/** Retry-after delay while an outcome may still become known, in ms. */
const unknownRetryAfterMs = 2_000;

/** What a claimed request needs from the process. */
export interface ClaimedRequestHost {
  readonly claims: ClaimHost;
  /** Joins the attempt that a claim names and forwards it from the start. */
  join(placed: PlacedAttempt): Promise<AttemptVerdict>;
}

/** The claim of one request. */
export interface ClaimedRequest {
  /** Hash of the key, sent with each attempt. */
  readonly key: string;
  /**
   * Writes a claim for an attempt before it is sent. It must be proven that
   * the earlier attempts of this request never run. Returns undefined when the
   * attempt may be sent, else the end of the request.
   */
  claim(placed: PlacedAttempt): Promise<RequestEnd | undefined>;
  /**
   * Removes the claim. It must be proven that no attempt of this request runs.
   * Returns false when another request may have taken it over and run.
   */
  release(): Promise<boolean>;
  /**
   * Returns true once it is known that the key was either unused or claimed
   * for attempts that are proven never to run.
   */
  isKnown(): boolean;
}

/** Creates the claim of a request with an idempotency key. */
export function createClaimedRequest(
  host: ClaimedRequestHost,
  work: Work,
): ClaimedRequest {
  const key = getClaimKey(work);
  let lastClaim: Claim | undefined;

  return { key, claim, release, isKnown: () => lastClaim !== undefined };

  async function claim(
    placed: PlacedAttempt,
  ): Promise<RequestEnd | undefined> {
    const record = createClaimRecord(placed, work.fingerprint);
    for (let takeovers = 0; takeovers <= maxTakeovers; takeovers++) {
      const result = await writeClaim(host.claims, { key, record }, lastClaim);
      if (result.kind === "unavailable") {
        return endUnavailable(result.retryAfterMs);
      }
      if (result.kind === "mine") {
        lastClaim = result.claim;
        return undefined;
      }
      const end = await joinTheirs(result.claim);
      if (end !== undefined) return end;
      // Their attempt is proven never to run, so the claim may be replaced.
      lastClaim = result.claim;
    }
    return endUnavailable(unknownRetryAfterMs);
  }

  /**
   * Joins the attempt of another request's claim. Returns the end of the
   * request, or undefined when that attempt is proven never to run.
   */
  async function joinTheirs(claim: Claim): Promise<RequestEnd | undefined> {
    if (claim.record.fingerprint !== work.fingerprint) {
      return createEnd(createReport("key_reused"));
    }
    const verdict = await host.join(claim.record);
    switch (verdict.kind) {
      case "done":
        return { outcome: "done", report: undefined };
      case "not_run":
        return undefined;
      case "unproved_refusal":
        return createEnd(createReport("unproved_refusal"));
      case "failed":
      case "unknown":
      case "cut":
        return createEnd(createReport("outcome_unknown", {}, {
          retryAfterMs: unknownRetryAfterMs,
        }));
      case "answer_gone":
        return createEnd(createReport("answer_gone"));
      case "stopped":
        return createEnd(createReport("request_running", {}, {
          retryAfterMs: unknownRetryAfterMs,
        }));
    }
  }

  async function release(): Promise<boolean> {
    if (lastClaim === undefined) return false;
    const { platform } = host.claims;
    const removed = await platform.remove(key, lastClaim.revision);
    return removed.isRight();
  }

  /** Ends as unknown, since an earlier request with the key may have run. */
  function endUnavailable(retryAfterMs: number): RequestEnd {
    const report = createReport("claims_unavailable", {}, { retryAfterMs });
    return { outcome: "unknown", report };
  }
}
