/**
 * What proves that a request has not run and never will. Both pipelines decide by
 * this list whether a request may be sent again or refused with a promise. Nothing
 * else is a proof: after a reset, a closed connection or no response, a request
 * that was written may have run.
 */

import type { DirectResult } from "./direct_calls.ts";

/**
 * A proof that a request has not run:
 *
 * - `unsent`: no connection was established, so nothing was written.
 * - `withheld`: a hold kept the request from being written.
 * - `stated`: the response that bears the request's id states it, with a status
 *   that fits.
 * - `settled`: an agent keeps a record by which the attempt never starts.
 */
export type NotRunProof = "unsent" | "withheld" | "stated" | "settled";

/** A result of a call that proves that its request has not run. */
export type ProvenResult = Extract<
  DirectResult,
  {
    readonly kind: "not_sent" | "refused" | "withheld" | "wrong_target";
  }
>;

/** The proofs that the ends of calls to targets are. */
const proofs = {
  not_sent: "unsent",
  withheld: "withheld",
  refused: "stated",
  wrong_target: "stated",
  answer: undefined,
  lost: undefined,
  spoiled: undefined,
  aborted: undefined,
} as const satisfies Readonly<
  & Record<ProvenResult["kind"], NotRunProof>
  & Record<Exclude<DirectResult["kind"], ProvenResult["kind"]>, undefined>
>;

/** Statuses of responses which can state that a request has not run. */
const statedStatuses: ReadonlySet<number> = new Set([400, 421, 429, 503]);

/** Returns what the end of a call proves; undefined if the request may have run. */
export function tryGetProof(
  kind: DirectResult["kind"],
): NotRunProof | undefined {
  return proofs[kind];
}

/** Returns the proof that the end of a call is. */
export function getProof(kind: ProvenResult["kind"]): NotRunProof {
  return proofs[kind];
}

/**
 * Returns true when a response with this status and the request's id may state
 * that the request has not run.
 */
export function canStateNotRun(status: number): boolean {
  return statedStatuses.has(status);
}
