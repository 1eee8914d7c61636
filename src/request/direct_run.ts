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
  logAttempt,
} from "./attempt_description.ts";
import { type AttemptObstacle, createDirectContext } from "./direct_context.ts";
import type { AttemptEnd, DirectHost } from "./direct_host.ts";
import {
  createLostEnd,
  createQuarantinedEnd,
  createStoppedEnd,
  createUnservedEnd,
  getTargetQueue,
} from "./direct_end.ts";
import { type Reservation, startOffer } from "./direct_offer.ts";
import { followOffer } from "./direct_verdict.ts";
import type { RequestSummary } from "./request_host.ts";

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
    host.promptSizes.record(service, request.prompt?.promptTokens);
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
      if (stop.getReason() !== undefined) return endStopped();
      const refusal = quarantine.tryRefuse();
      if (refusal !== undefined) {
        history.decision = describeRefusal(refusal);
        return context.mayHaveRun()
          ? endHeld("quarantined")
          : createQuarantinedEnd(refusal);
      }
      const wait = queueWait.tryWait({ hasBegun: response.getSentBytes() > 0 });
      if (wait !== undefined) {
        await wait;
        continue;
      }
      const refused = queueWait.tryGetEnd();
      if (refused !== undefined) {
        if (!context.mayHaveRun()) return refused;
        return endHeld(queueWait.isTooLate() ? "stopping" : "queue");
      }
      const chosen = queueWait.chooseTarget(prefillWait.tryChooseTarget);
      const choice = chosen instanceof Promise ? await chosen : chosen;
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
      // Another request has taken the last permit since the choice.
      if (permit === undefined) continue;
      const end = handleAttemptEnd(await runAttempt({ choice, permit }));
      if (end !== undefined) return end;
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
        history.lastRefusal = result.code;
        // A request that did not arrive put no load on the target, so its
        // retry is not charged to the budget.
        if (!result.arrived) return undefined;
        if (!host.crashes.canRetry(request)) return endHeld("quarantined");
        return retry.trySpend() ? undefined : endHeld("retry_budget");
      case "repeat":
        history.lastFailure = result.code;
        return undefined;
      case "lost": {
        history.lastFailure = result.code;
        const obstacle = context.tryGetRepeatObstacle(history.possibleRuns);
        if (obstacle !== undefined) return endHeld(obstacle);
        return retry.trySpend() ? undefined : endHeld("retry_budget");
      }
    }
  }

  async function runAttempt(reservation: Reservation): Promise<AttemptEnd> {
    const { choice } = reservation;
    history.target = choice.target.id;
    history.decision = {
      ...describeChoice(choice, request),
      ...prefillWait.describe(),
    };
    const offer = startOffer(context, reservation);
    const { sentBefore, sends, attempt } = offer;
    try {
      const { end, result } = await followOffer(context, offer);
      if (end.kind !== "done" || sentBefore.sentBytes > 0) {
        const silentMs = attempt.getSilentMs();
        const ends = { choice, result, end, sentBefore, sends, silentMs };
        logAttempt(host.log, { request, ...ends });
      }
      return end;
    } finally {
      offer.end();
      queueWait.leave();
    }
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
