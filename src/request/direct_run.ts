/**
 * Runs one request at targets that are reached directly, without an agent. The
 * request is sent to another target only with proof that it has not run, or
 * where it may run more than once.
 */

import { isBeyondDeadline } from "../process/direct/limits/admission_estimate.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { Reply, RequestEnd } from "../types/reply.ts";
import {
  describeChoice,
  describeRefusal,
  describeUnavailable,
} from "./attempt_description.ts";
import type { DirectChoice } from "./direct_choice.ts";
import { type AttemptObstacle, createDirectContext } from "./direct_context.ts";
import type { AttemptEnd, DirectHost } from "./direct_host.ts";
import {
  createLostEnd,
  createQuarantinedEnd,
  createStoppedEnd,
  createUnservedEnd,
  getTargetQueue,
} from "./direct_end.ts";
import { createDirectHandover } from "./direct_handover.ts";
import { type DirectOffer, startOffer } from "./direct_offer.ts";
import { followOffer, logOffer } from "./direct_verdict.ts";
import { createEnd } from "./request_end.ts";
import type { RequestSummary } from "./request_host.ts";
import { limitToMemory } from "../process/direct/queue/request_times.ts";

/**
 * What came of the begin of an attempt: the attempt, the end of a request that
 * can't be sent, or nothing when it has to be begun anew.
 */
type Beginning = DirectOffer | RequestEnd | undefined;

/** Runs a request to its end and reports the end to the caller. */
export async function runDirect(
  host: DirectHost,
  request: DirectRequest,
  reply: Reply,
): Promise<RequestSummary> {
  const { service } = request;
  const context = createDirectContext(host, request, reply);
  const { stop, response, retry, quarantine, history } = context;
  const { prefillWait, queueWait, streamVersion } = context;

  try {
    host.retries.recordRequest(service);
    recordPromptSize(host, request);
    const refusal = streamVersion.tryRefuse();
    const end = (refusal && await refusal) ?? await runAttempts();
    if (end.outcome === "done") response.finish();
    reply.end(end);
    const { target, sends: tries } = history;
    const decision = queueWait.describe({
      ...{ ...history.decision, ...streamVersion.describe() },
      ...(history.obstacle === undefined ? {} : { heldBy: history.obstacle }),
    });
    return { end, target, tries, decision, stopLateMs: stop.getLateMs() };
  } finally {
    context.end();
  }

  async function runAttempts(): Promise<RequestEnd> {
    while (true) {
      const begun = begin();
      const offer = begun instanceof Promise ? await begun : begun;
      if (offer === undefined) continue;
      if ("outcome" in offer) return offer;
      const end = await runFrom(offer);
      if (end !== undefined) return end;
    }
  }

  /**
   * Begins an attempt, if need be after a wait; undefined when that has to be done
   * anew. Returns the end of a request that can't be sent.
   */
  function begin(): Beginning | Promise<Beginning> {
    if (stop.getReason() !== undefined) return endStopped();
    const excess = host.engineMemory.tryGetRefusal(request);
    if (excess !== undefined && !context.mayHaveRun()) {
      return createEnd(excess);
    }
    const refusal = quarantine.tryRefuse();
    if (refusal !== undefined) {
      history.decision = describeRefusal(refusal);
      return context.mayHaveRun()
        ? endHeld("quarantined")
        : createQuarantinedEnd(refusal);
    }
    const wait = queueWait.tryWait({ hasBegun: response.getSentBytes() > 0 });
    if (wait !== undefined) return wait.then(() => undefined);
    const refused = queueWait.tryGetEnd();
    if (refused !== undefined) {
      if (!context.mayHaveRun()) return refused;
      return endHeld(queueWait.isTooLate() ? "stopping" : "queue");
    }
    const chosen = queueWait.chooseTarget(prefillWait.tryChooseTarget);
    // Without a wait, the attempt begins before another request chooses.
    return chosen instanceof Promise ? chosen.then(beginAt) : beginAt(chosen);
  }

  function beginAt(choice: DirectChoice | undefined): Beginning {
    if (stop.getReason() !== undefined) return endStopped();
    if (choice === undefined || !context.hasAttemptsLeft()) {
      history.decision ??= describeUnavailable(host, service);
      return endHeld(choice === undefined ? "no_target" : "attempts");
    }
    history.lastQueue = getTargetQueue(host, choice);
    if (isBeyondDeadline(history.lastQueue, context.getTimeLeftMs())) {
      history.lastRefusal = "target_full";
      return endHeld("deadline");
    }
    const permit = host.limits.tryTake(choice.target.address);
    // Without one, another request has taken the last permit since the choice.
    return permit && startOffer(context, { choice, permit });
  }

  /**
   * Runs an attempt and those that the request moves to. Returns the end of the
   * request; undefined when it should be sent to another target.
   */
  async function runFrom(first: DirectOffer): Promise<RequestEnd | undefined> {
    let offer = first;
    /** The target that was given up for the current one. */
    let givenUp: DirectOffer | undefined;
    while (true) {
      const { end, next } = await runAttempt(offer);
      if (end.kind === "not_run") {
        history.lastRefusal = end.code;
        // It was silent only, and may serve the request where no other does.
        if (givenUp !== undefined) {
          history.attempted.delete(givenUp.choice.target.address);
        }
      }
      if (end.kind === "lost" || end.kind === "repeat") {
        history.lastFailure = end.code;
      }
      if (next === undefined) return handleAttemptEnd(end);
      givenUp = offer.attempt.hasTimedOut() ? offer : undefined;
      offer = next;
    }
  }

  /**
   * Returns the end of the request after one attempt; undefined when the
   * request should be sent to the next target.
   */
  function handleAttemptEnd(result: AttemptEnd): RequestEnd | undefined {
    switch (result.kind) {
      case "done":
      case "error_answer":
        return { outcome: "done", report: undefined };
      case "stopped":
        return endStopped();
      case "not_run":
        // A request that did not arrive put no load on the target, so its
        // retry is not charged to the budget.
        if (!result.arrived) return undefined;
        if (!host.crashes.canRetry(request)) return endHeld("quarantined");
        return retry.trySpend() ? undefined : endHeld("retry_budget");
      case "repeat":
        return undefined;
      case "lost": {
        const obstacle = context.tryGetRepeatObstacle(history.possibleRuns);
        if (obstacle !== undefined) return endHeld(obstacle);
        return retry.trySpend() ? undefined : endHeld("retry_budget");
      }
    }
  }

  async function runAttempt(
    offer: DirectOffer,
  ): Promise<{
    readonly end: AttemptEnd;
    /** The attempt that the request has moved to, if it has. */
    readonly next: DirectOffer | undefined;
  }> {
    const { choice, sentBefore } = offer;
    history.target = choice.target.id;
    history.decision = {
      ...describeChoice(choice, request),
      ...prefillWait.describe(),
    };
    const handover = createDirectHandover(context, offer);
    let end: AttemptEnd = { kind: "stopped" };
    let next: DirectOffer | undefined;
    try {
      const followed = await followOffer(context, offer);
      ({ end } = followed);
      if (end.kind !== "done" || sentBefore.sentBytes > 0) {
        logOffer(context, offer, followed);
      }
    } finally {
      offer.end();
      next = handover.finish(end);
      queueWait.leave();
    }
    return { end, next };
  }

  function endStopped(): RequestEnd {
    return createStoppedEnd(stop.getReason(), history.possibleRuns > 0);
  }

  /** Ends a request that no target is left for, or that may not be retried. */
  function endHeld(obstacle: AttemptObstacle): RequestEnd {
    history.obstacle = obstacle;
    if (context.mayHaveRun()) {
      return createLostEnd(history.lastFailure, response.getSentBytes());
    }
    const { lastRefusal, lastQueue } = history;
    const timeLeftMs = context.getTimeLeftMs();
    const state = { lastRefusal, lastQueue, timeLeftMs, streamVersion };
    return createUnservedEnd(host, service, state);
  }
}

function recordPromptSize(
  { promptSizes, queue }: Pick<DirectHost, "promptSizes" | "queue">,
  { service, prompt }: DirectRequest,
): void {
  if (prompt === undefined) return;
  const engine = queue.tryGetEngine(service);
  promptSizes.record(service, limitToMemory(prompt.promptTokens, engine));
}
