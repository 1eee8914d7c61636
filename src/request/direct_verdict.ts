/**
 * Decides how one attempt of a direct request ended, and forwards the response of
 * its target.
 */

import type { TargetOutcome } from "../process/direct/targets/target_health.ts";
import type { DirectResult } from "../types/direct_calls.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import { isServerError, promisesNotRun } from "../types/promises.ts";
import { logAttempt } from "./attempt_description.ts";
import type { DirectContext } from "./direct_context.ts";
import {
  type AttemptEnd,
  createNotRun,
  holdCodes,
  isOnlySourceEvacuated,
} from "./direct_host.ts";
import type { DirectOffer } from "./direct_offer.ts";

/** A response whose head has arrived. */
type Answer = Extract<DirectResult, { readonly kind: "answer" }>;

/** Waits for the end of an attempt; forwards the response if there is one. */
export async function followOffer(
  context: DirectContext,
  offer: DirectOffer,
): Promise<{ readonly end: AttemptEnd; readonly result: DirectResult }> {
  const result = await offer.result;
  const end = result.kind === "answer"
    ? await forwardResponse(context, offer, result)
    : await judgeFailure(context, offer, result);
  return { end, result };
}

/**
 * Judges an attempt whose request goes on at another target. Its response, if
 * there is one, is not forwarded.
 */
export async function judgeUnused(
  context: DirectContext,
  offer: DirectOffer,
  result: DirectResult,
): Promise<void> {
  const end = result.kind === "answer"
    ? judgeUnusedAnswer(context, offer, result)
    : await judgeFailure(context, offer, result);
  logOffer(context, offer, { end, result });
}

function judgeUnusedAnswer(
  context: DirectContext,
  offer: DirectOffer,
  { head, drop }: Answer,
): AttemptEnd {
  drop();
  if (promisesNotRun(head.status)) {
    return endUnproved(context, offer, head.status);
  }
  const outcome = isServerError(head.status) ? "failed" : "served";
  const reason = "The request goes on at another target";
  return endLost(offer, "answer_cut", { reason, outcome });
}

/** Logs how an attempt ended. */
export function logOffer(
  { host, request }: DirectContext,
  { choice, sentBefore, sends, attempt }: DirectOffer,
  ends: { readonly end: AttemptEnd; readonly result: DirectResult },
): void {
  const silentMs = attempt.getSilentMs();
  logAttempt(host.log, {
    ...{ request, choice, sentBefore, sends, silentMs },
    ...ends,
  });
}

/** Decides how a call without a response ended. */
async function judgeFailure(
  context: DirectContext,
  offer: DirectOffer,
  result: Exclude<DirectResult, Answer>,
): Promise<AttemptEnd> {
  const { host, request, history, queueWait } = context;
  const { target: chosen } = offer.choice;
  switch (result.kind) {
    case "not_sent":
      offer.recordOutcome("unreachable");
      return createNotRun("no_target", result);
    case "withheld":
      if (result.hold === "late" && offer.attempt.hasTimedOut()) {
        return endAborted(offer);
      }
      if (isOnlySourceEvacuated(host, result.hold, chosen)) {
        history.attempted.delete(chosen.address);
      }
      return createNotRun(holdCodes[result.hold], result);
    case "refused":
      queueWait.recordRefused(chosen);
      host.engineMemory.recordRefusal(request);
      return createNotRun("target_full", result);
    case "wrong_target":
      offer.recordOutcome("unreachable");
      return createNotRun("wrong_incarnation", result);
    case "aborted":
      return endAborted(offer);
    case "lost":
    case "spoiled":
      // Another attempt may end meanwhile and ask how often it may have run.
      offer.countPossibleRun();
      if (result.kind === "lost") await offer.quarantine.recordLoss();
      return endLost(offer, "outcome_unknown", { reason: result.reason });
  }
}

async function forwardResponse(
  context: DirectContext,
  offer: DirectOffer,
  { head, body, drop }: Answer,
): Promise<AttemptEnd> {
  const { host, request, response, quarantine } = context;
  const { attempt } = offer;
  const decision = offer.handleData();
  if (decision !== undefined) await decision;
  if (attempt.signal.aborted) {
    drop();
    return endAborted(offer);
  }
  const isError = isServerError(head.status);
  if (promisesNotRun(head.status)) {
    drop();
    return endUnproved(context, offer, head.status);
  }
  offer.countPossibleRun();
  if (isError) offer.recordOutcome("failed");
  else attempt.recordAnswer(head);
  if (!response.accepts(head)) {
    drop();
    return endLost(offer, "answer_cut", {
      reason: "The response is no continuation of what the caller has",
      // The target responded, if not with a stream that it could resume.
      outcome: "served",
    });
  }
  if (isError && (offer.isMoving() || tryRepeat(context))) {
    drop();
    return { kind: "repeat", code: "target_error" };
  }
  if (!head.isEventStream) attempt.recordHead();
  const { handleData } = offer;
  const end = await response.forward(head, body, { ...attempt, handleData });
  if (end.kind === "complete") {
    host.crashes.recordResponse(request);
    if (isError) return { kind: "error_answer" };
    quarantine.recordResponse();
    offer.recordOutcome("served");
    attempt.recordRun();
    return { kind: "done" };
  }
  drop();
  if (attempt.signal.aborted) return endAborted(offer);
  await offer.quarantine.recordLoss();
  return endLost(offer, "answer_cut", { reason: end.reason });
}

/** Returns true when a retry of work that may have run is granted. */
function tryRepeat(
  { history, queueWait, retry, tryGetRepeatObstacle }: DirectContext,
): boolean {
  return tryGetRepeatObstacle(history.possibleRuns) === undefined &&
    !queueWait.isTooLate() && retry.trySpend();
}

/** Ends an attempt that was refused by a target that may have run it. */
function endUnproved(
  { host }: DirectContext,
  offer: DirectOffer,
  status: number,
): AttemptEnd {
  offer.countPossibleRun();
  const isPaused = host.pauses.isPaused(offer.choice.target);
  // A target that asks for a pause is busy, not at fault.
  if (!isPaused) offer.recordOutcome("failed");
  const reason = `Status ${status} does not prove that it has not run`;
  return { kind: "lost", code: "unproved_refusal", reason };
}

function endAborted(offer: DirectOffer): AttemptEnd {
  offer.quarantine.recordAbort();
  offer.countPossibleRun();
  if (!offer.attempt.hasTimedOut()) return { kind: "stopped" };
  const reason = "The target did not respond within its timeout";
  return { kind: "lost", code: "outcome_unknown", reason };
}

function endLost(
  offer: DirectOffer,
  code: DiagnosticCode,
  { reason, outcome = "failed" }: {
    readonly reason: string;
    readonly outcome?: TargetOutcome;
  },
): AttemptEnd {
  offer.countPossibleRun();
  offer.recordOutcome(outcome);
  return { kind: "lost", code, reason };
}
