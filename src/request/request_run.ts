/**
 * Runs one request: sends attempts to targets, one after the other, until the
 * request has an end that can be reported to the caller. A request that may not
 * run twice moves to another target only when it is proven that its last
 * attempt never runs.
 */

import type { AgentEvent, PlacedAttempt } from "../types/agent_calls.ts";
import { createReport, type DiagnosticCode } from "../types/diagnostics.ts";
import type { Reply, RequestEnd } from "../types/reply.ts";
import type { Work } from "../types/work.ts";
import { createResponseAssembly } from "./response_assembly.ts";
import {
  type AttemptOptions,
  type AttemptVerdict,
  joinAttempt,
  runAttempt,
} from "./attempt_run.ts";
import { createAttemptTrace } from "./attempt_trace.ts";
import { createClaimedRequest } from "./claimed_request.ts";
import { createDelivery } from "./delivery.ts";
import { createEnd } from "./request_end.ts";
import type { RequestHost, RequestSummary } from "./request_host.ts";
import { createHeldAttempt } from "./held_attempt.ts";
import { finalRefusals, unbudgetedRefusals } from "./refusal_codes.ts";
import { createRequestStop } from "./request_stop.ts";
import {
  createRouting,
  getPlacementKey,
  type RoutingChoice,
} from "./routing.ts";
import { waitUnlessAborted, withdrawAttempt } from "./settlement.ts";

/** Number of crashed targets after which a request is not retried. */
const maxCrashes = 2;

/**
 * Time that an attempt of another router may take to arrive, in milliseconds.
 */
const joinGraceMs = 150;

/** Retry-after delay when no target reported one, in milliseconds. */
const defaultRetryAfterMs = 1_000;

/** Runs a request to its end and reports the end to the caller. */
export async function runRequest(
  host: RequestHost,
  work: Work,
  reply: Reply,
): Promise<RequestSummary> {
  const stop = createRequestStop({
    deadlineAt: work.deadlineAt,
    disconnectSignal: reply.disconnectSignal,
  });
  const response = createResponseAssembly(host);
  const delivery = createDelivery(reply);
  const routing = createRouting(host, work);
  const attemptHost = {
    calls: host.calls,
    recordContact: host.members.recordContact,
  };
  const trace = createAttemptTrace();
  const held = createHeldAttempt(host);
  const attemptOptions: AttemptOptions = {
    onEvent: trace.recordEvent,
    response,
    delivery,
    signal: stop.signal,
    tryLeave,
    isGone,
  };
  const usesClaim = !work.repeatable && work.idempotencyKey !== undefined;
  const claimedRequest = usesClaim
    ? createClaimedRequest({ claims: host.claims, join }, work)
    : undefined;
  /**
   * Code of the last failed attempt that may have run; undefined when there is
   * none.
   */
  let lastFailure: DiagnosticCode | undefined;
  let crashes = 0;
  /** True when the retry of the next attempt is spent already. */
  let hasRetry = false;
  let attemptCount = 0;
  let target = "";
  let lastRefusal = createReport("no_target", { service: work.service }, {
    retryAfterMs: defaultRetryAfterMs,
  });

  try {
    const end = await checkLimit() ?? await runOnTargets();
    if (end.outcome === "done") delivery.finish();
    reply.end(end);
    return { end, target, tries: attemptCount, decision: trace.describe() };
  } finally {
    held.release();
    stop.clear();
  }

  async function checkLimit(): Promise<RequestEnd | undefined> {
    const decision = await host.limits.acquire(work.workspace);
    if (decision.kind === "granted") return undefined;
    return await endNotRun("workspace_limited", decision.retryAfterMs);
  }

  async function runOnTargets(): Promise<RequestEnd> {
    host.retries.recordFirstAttempt(work.service, getRetryBudget());
    while (true) {
      if (stop.getReason() !== undefined) return await endBeforeAttempt();
      const end = host.closingSignal.aborted
        ? await resumeOrEnd("router_stopping", defaultRetryAfterMs)
        : await runOnNextTarget();
      if (end !== undefined) return end;
    }
  }

  function runOnNextTarget(): Promise<RequestEnd | undefined> {
    const choice = routing.tryGetNext();
    return choice === undefined ? endRefused() : runOnTarget(choice);
  }

  /**
   * Runs one attempt; returns undefined when the next target should be tried.
   */
  async function runOnTarget(
    { member, delayMs, ...choice }: RoutingChoice,
  ): Promise<RequestEnd | undefined> {
    await waitUnlessAborted(delayMs, stop.signal);
    const attempt = host.attempts.createAttempt();
    const placed = { attempt, target: member };
    target = member.id;
    const claimEnd = await claimedRequest?.claim(placed);
    if (claimEnd !== undefined) return claimEnd;
    if (stop.getReason() !== undefined) return await endBeforeAttempt();
    attemptCount++;
    if (delivery.isPending()) resetResponse();
    trace.recordStart();
    // An attempt that is still queued then would end without a response.
    const withdraw = (): void => void host.calls.settle(placed);
    host.closingSignal.addEventListener("abort", withdraw);
    const verdict = await runAttempt(attemptHost, {
      ...placed,
      work,
      crashes: Math.max(crashes, host.crashes.getCrashes(work.fingerprint)),
      claim: claimedRequest?.key ?? "",
      configurationVersion: host.configuration.getConfiguration().version,
      ...choice,
      conversationHash: work.conversation === ""
        ? 0
        : host.hashConversation(getPlacementKey(work)),
    }, { ...attemptOptions, onEvent, onSent: held.recordSent }).finally(() =>
      host.closingSignal.removeEventListener("abort", withdraw)
    );
    trace.recordEnd(verdict);
    held.recordVerdict(verdict);
    return await handleVerdict(verdict, placed);
  }

  /**
   * An attempt may still run although its agent does not answer. It is left only
   * when a retry is allowed and a target is left to try. No other target can
   * continue a response that the caller has begun to read.
   */
  function tryLeave(placed: PlacedAttempt): boolean {
    if (!work.repeatable || !delivery.isPending()) return false;
    if (isGone(placed)) return true;
    if (!routing.hasNext()) trace.recordObstacle("no_target");
    else if (!host.retries.trySpend(work.service)) {
      trace.recordObstacle("retry_budget");
    } else hasRetry = true;
    return hasRetry;
  }

  function isGone({ target: { id, incarnation } }: PlacedAttempt): boolean {
    const member = host.members.tryGetMember(id);
    return member === undefined || member.state === "dead" ||
      member.incarnation > incarnation;
  }

  function onEvent(event: AgentEvent): void {
    trace.recordEvent();
    held.recordEvent(event);
  }

  function resetResponse(): void {
    delivery.reset();
    response.reset();
  }

  /**
   * Handles a verdict; returns undefined when the next target should be tried.
   */
  async function handleVerdict(
    verdict: AttemptVerdict,
    placed: PlacedAttempt,
  ): Promise<RequestEnd | undefined> {
    switch (verdict.kind) {
      case "done":
        host.refusals.recordAccepted(placed.target.id);
        return { outcome: "done", report: undefined };
      case "not_run":
        return await handleRefusal(verdict, placed);
      case "failed":
        host.refusals.recordUnreachable(placed.target.id);
        return await resumeHeld(handleFailure(verdict.code));
      case "unproved_refusal":
        return await resumeHeld(handleUnprovedRefusal(placed));
      case "unknown":
        return handleUnknownOutcome(placed);
      case "answer_gone":
        return work.repeatable
          ? retryOrEnd("answer_gone")
          : createEnd(createReport("answer_gone"));
      case "cut":
        host.calls.cancel(placed);
        trace.recordObstacle("begun");
        return endFailed("answer_cut");
      case "stopped":
        return await endDuringAttempt(placed);
    }
  }

  async function handleRefusal(
    refusal: Extract<AttemptVerdict, { readonly kind: "not_run" }>,
    placed: PlacedAttempt,
  ): Promise<RequestEnd | undefined> {
    const { code, retryAfterMs, load } = refusal;
    if (finalRefusals.has(code)) return await resumeOrEnd(code, retryAfterMs);
    lastRefusal = createReport(code, { service: work.service }, {
      retryAfterMs: retryAfterMs || defaultRetryAfterMs,
    });
    routing.recordRefusal({ code, load });
    // The target may still accept other requests, so the refusal is not
    // recorded.
    if (code === "context_not_held") return undefined;
    if (host.closingSignal.aborted) return undefined;
    if (unbudgetedRefusals.has(code)) {
      host.refusals.recordRefusal(placed.target.id, retryAfterMs);
      return undefined;
    }
    host.refusals.recordUnreachable(placed.target.id);
    if (host.retries.trySpend(work.service)) return undefined;
    trace.recordObstacle("retry_budget");
    return await resumeOrEnd("retry_budget_spent", defaultRetryAfterMs);
  }

  function handleFailure(code: DiagnosticCode): RequestEnd | undefined {
    if (!work.repeatable) return endUnknown();
    if (code === "target_crashed") crashes++;
    if (code === "deadline_exceeded" || crashes >= maxCrashes) {
      trace.recordObstacle("crashes");
      return endFailed(code);
    }
    return retryOrEnd(code);
  }

  function handleUnprovedRefusal(
    placed: PlacedAttempt,
  ): RequestEnd | undefined {
    if (!work.repeatable) return createEnd(createReport("unproved_refusal"));
    host.calls.cancel(placed);
    return retryOrEnd("unproved_refusal");
  }

  function handleUnknownOutcome(placed: PlacedAttempt): RequestEnd | undefined {
    if (!work.repeatable) return endUnknown();
    host.refusals.recordUnreachable(placed.target.id);
    if (hasRetry) held.hold(placed);
    else host.calls.cancel(placed);
    return retryOrEnd("outcome_unknown");
  }

  /**
   * Spends a retry of work that may run again, or ends the request with `code`.
   */
  function retryOrEnd(code: DiagnosticCode): RequestEnd | undefined {
    lastFailure = code;
    const canRetry = hasRetry || host.retries.trySpend(work.service);
    hasRetry = false;
    if (canRetry) return undefined;
    trace.recordObstacle("retry_budget");
    return endFailed(code);
  }

  /** Ends a request whose last attempt failed and may have run. */
  function endFailed(code: DiagnosticCode): RequestEnd {
    const bytes = response.getReleasedBytes();
    if (!delivery.isPending()) {
      return createEnd(createReport("answer_cut", { bytes }));
    }
    return createEnd(createReport(code, { bytes }, {
      retryAfterMs: defaultRetryAfterMs,
    }));
  }

  function endUnknown(): RequestEnd {
    trace.recordObstacle("not_repeatable");
    return createEnd(createReport("outcome_unknown", {}, {
      retryAfterMs: usesClaim ? defaultRetryAfterMs : 0,
    }));
  }

  /** Ends a request when no target is left to try. */
  function endRefused(): Promise<RequestEnd | undefined> {
    trace.recordObstacle("no_target");
    return resumeOrEnd(lastRefusal.code, lastRefusal.retryAfterMs);
  }

  /**
   * Goes back to the attempt that was left for another target, as none takes the
   * request. Ends the request when there is no such attempt.
   */
  async function resumeOrEnd(
    code: DiagnosticCode,
    retryAfterMs: number,
  ): Promise<RequestEnd | undefined> {
    const placed = held.tryTake();
    return placed === undefined
      ? await endNotRun(code, retryAfterMs)
      : await resume(placed);
  }

  /** Goes back to a held attempt in place of an end without a response. */
  async function resumeHeld(
    end: RequestEnd | undefined,
  ): Promise<RequestEnd | undefined> {
    const placed = end && held.tryTake();
    return placed === undefined ? end : await resume(placed);
  }

  async function resume(
    placed: PlacedAttempt,
  ): Promise<RequestEnd | undefined> {
    target = placed.target.id;
    const verdict = await join(placed);
    trace.recordEnd(verdict);
    return await handleVerdict(verdict, placed);
  }

  /** Ends a request that was stopped while no attempt was in flight. */
  async function endBeforeAttempt(): Promise<RequestEnd> {
    if (stop.getReason() === "caller_gone") {
      await claimedRequest?.release();
      return createEnd(createReport("caller_gone"));
    }
    return await endNotRun("deadline_passed", 0);
  }

  /** Ends a request that was stopped while an attempt was in flight. */
  async function endDuringAttempt(
    placed: PlacedAttempt,
  ): Promise<RequestEnd> {
    const isDisconnected = stop.getReason() === "caller_gone";
    if (work.repeatable) {
      host.calls.cancel(placed);
      return createEnd(
        createReport(isDisconnected ? "caller_gone" : "deadline_exceeded"),
      );
    }
    // Work that may not run twice is withdrawn when it has not started, and
    // otherwise left to run to its end.
    const state = await withdrawAttempt(host, placed, work.deadlineAt);
    if (isDisconnected) return createEnd(createReport("caller_gone"));
    return state === "not_run"
      ? await endNotRun("deadline_passed", 0)
      : endUnknown();
  }

  /** Ends a request whose last attempt is proven not to run. */
  async function endNotRun(
    code: DiagnosticCode,
    retryAfterMs: number,
  ): Promise<RequestEnd> {
    // The proof covers the last attempt only; an earlier one may have run.
    if (lastFailure !== undefined) return endFailed(lastFailure);
    const report = createReport(code, {
      service: work.service,
      workspace: work.workspace,
      crashes: host.crashes.getCrashes(work.fingerprint),
    }, { retryAfterMs });
    if (claimedRequest === undefined) return createEnd(report);
    // An earlier or concurrent request with the key may have run.
    const isProven = claimedRequest.isKnown() && await claimedRequest.release();
    return isProven ? createEnd(report) : { outcome: "unknown", report };
  }

  function join(placed: PlacedAttempt): Promise<AttemptVerdict> {
    resetResponse();
    return joinAttempt(attemptHost, placed, {
      ...attemptOptions,
      settleDelayMs: joinGraceMs,
    });
  }

  function getRetryBudget(): number {
    const { services } = host.configuration.getConfiguration();
    return services.get(work.service)?.retryBudget ?? 0;
  }
}
