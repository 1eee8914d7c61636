/**
 * Runs one request at targets that are reached directly. A request moves on to
 * another target only with proof that nothing ran, or where it may run again.
 */

import type { CachedParts } from "../process/direct/cached_parts.ts";
import type { PartPrefills } from "../process/direct/part_prefills.ts";
import type { LoadView } from "../process/direct/load_view.ts";
import { getSharedParts } from "../process/direct/prefix_placement.ts";
import type { RetryShare } from "../process/direct/retry_share.ts";
import type {
  TargetHealth,
  TargetOutcome,
} from "../process/direct/target_health.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { DirectCalls, DirectResult } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import { createReport, type DiagnosticCode } from "../types/diagnostics.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { Reply, RequestEnd } from "../types/reply.ts";
import { createDirectAnswer } from "./direct_answer.ts";
import {
  type ChoiceHost,
  type DirectChoice,
  tryChooseTarget,
} from "./direct_choice.ts";
import {
  getPriorityClass,
  getSilenceMs,
  getSuspicionMs,
} from "./direct_patience.ts";
import { createEnd } from "./request_end.ts";
import type { RequestSummary } from "./request_host.ts";
import { createRequestStop } from "./request_stop.ts";

/** What running a request needs from the process. */
export interface DirectHost extends ChoiceHost {
  readonly calls: DirectCalls;
  readonly health: Pick<
    TargetHealth,
    "getUsable" | "isReachable" | "recordOutcome" | "recordSent"
  >;
  readonly loads: Pick<LoadView, "getLoad" | "begin">;
  readonly held: Pick<CachedParts, "getCachedTokens" | "isCached"> & {
    /** A target is given parts, of which it reads some. */
    note(
      target: string,
      parts: readonly PromptPart[],
      read: readonly PromptPart[],
    ): void;
  };
  readonly reads: Pick<PartPrefills, "begin" | "wait">;
  readonly retries: Pick<RetryShare, "recordRequest" | "trySpend">;
  readonly log: Log;
}

/** Targets that one request is sent to at most, run or not. */
const maxSends = 5;

/**
 * Part of the goal that a request may wait for a part that is being read; the
 * rest is for its own reading.
 */
const readWaitPartOfGoal = 0.3;

/** Time left below which another try is not worth its load, in ms. */
const minTimeLeftMs = 30;

/** Bounds of the time to come back, in milliseconds. */
const retryAfterBoundsMs = { least: 120, spread: 300 } as const;

/** Lowest status of an answer by which a target failed. */
const firstErrorStatus = 500;

/** What one try came to. */
type TryEnd =
  | { readonly kind: "done" }
  | {
    readonly kind: "not_run";
    readonly code: DiagnosticCode;
    readonly arrived: boolean;
  }
  | { readonly kind: "error_answer" }
  | { readonly kind: "repeat"; readonly code: DiagnosticCode }
  | {
    readonly kind: "lost";
    readonly code: DiagnosticCode;
    readonly reason: string;
  }
  | { readonly kind: "stopped" };

/** Runs a request to its end and tells the caller. */
export async function runDirect(
  host: DirectHost,
  request: DirectRequest,
  reply: Reply,
): Promise<RequestSummary> {
  const { route, service } = request;
  const stop = createRequestStop({
    deadlineAt: request.deadlineAt,
    gone: reply.gone,
    getNow: () => performance.now(),
  });
  const answer = createDirectAnswer(reply, request);
  const isRepeatable = route.kind === "safe" ||
    (route.kind === "stream" && route.isResumable);
  const tried = new Set<string>();
  let sends = 0;
  /** Time waited for parts that were being read, in milliseconds. */
  let readWaitMs = 0;
  /** Targets that may have run the request. */
  let runs = 0;
  let target = "";
  let decision: RequestSummary["decision"];
  let lastFailure: DiagnosticCode | undefined;
  let lastRefusal: DiagnosticCode = "no_target";

  try {
    host.retries.recordRequest(service);
    const end = await tryTargets();
    if (end.outcome === "done") answer.finish();
    reply.end(end);
    return { end, target, tries: sends, decision };
  } finally {
    stop.clear();
  }

  async function tryTargets(): Promise<RequestEnd> {
    while (true) {
      if (stop.getReason() !== undefined) return endStopped();
      const choice = await tryChooseReadTarget();
      if (stop.getReason() !== undefined) return endStopped();
      if (choice === undefined || sends >= maxSends) return endUnserved();
      const result = await tryTarget(choice);
      const end = act(result);
      if (end !== undefined) return end;
    }
  }

  /**
   * Waits once while the parts to be used are still being read, then chooses
   * again: the place, or where to copy from, may have changed.
   */
  async function tryChooseReadTarget(): Promise<DirectChoice | undefined> {
    const choice = tryChooseTarget(host, request, tried);
    if (choice === undefined || request.prompt === undefined) return choice;
    const holder = choice.fetchFrom ?? choice.target;
    const waitedMs = await host.reads.wait(
      holder.id,
      getSharedParts(request.prompt.parts),
      { timeoutMs: route.goalMs * readWaitPartOfGoal },
    );
    if (waitedMs === 0) return choice;
    readWaitMs += waitedMs;
    return tryChooseTarget(host, request, tried);
  }

  /** Acts on one try; undefined when the next target should be tried. */
  function act(result: TryEnd): RequestEnd | undefined {
    switch (result.kind) {
      case "done":
      case "error_answer":
        return { outcome: "done", report: undefined };
      case "stopped":
        return endStopped();
      case "not_run":
        lastRefusal = result.code;
        // A request that did not arrive costs the target nothing.
        return !result.arrived || canSpend() ? undefined : endUnserved();
      case "repeat":
        lastFailure = result.code;
        return undefined;
      case "lost":
        lastFailure = result.code;
        return canRepeat() && canSpend() ? undefined : endUnserved();
    }
  }

  async function tryTarget(choice: DirectChoice): Promise<TryEnd> {
    const attempt = createAttempt(choice);
    try {
      const result = await host.calls.send({
        target: choice.target,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        workspace: request.holder?.workspace,
        deadlineMs: request.deadlineAt - performance.now(),
        priorityClass: getPriorityClass(request),
        fetchFrom: choice.fetchFrom?.address,
        lastEventId: answer.getLastEventId(),
        needsFreshConnection: route.kind === "unsafe",
        signal: attempt.signal,
      });
      const end = await judge(result, choice, attempt);
      if (end.kind !== "done") noteTry(choice, result, end);
      return end;
    } finally {
      attempt.end();
    }
  }

  /** Counts the load of one try and watches for silence. */
  function createAttempt(choice: DirectChoice) {
    const { target: taken, heldTokens, readParts } = choice;
    tried.add(taken.id);
    target = taken.id;
    decision = {
      ...describeChoice(choice, request),
      ...(readWaitMs > 0 ? { readWaitMs: Math.round(readWaitMs) } : {}),
    };
    sends++;
    const { prompt } = request;
    if (prompt !== undefined) {
      host.held.note(taken.id, getSharedParts(prompt.parts), readParts);
    }
    const read = host.reads.begin(taken.id, readParts);
    host.health.recordSent(taken);
    const load = host.loads.begin(
      taken.id,
      Math.max(0, (prompt?.promptTokens ?? 0) - heldTokens),
    );
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    stop.signal.addEventListener("abort", abort, { once: true });
    if (stop.signal.aborted) abort();
    let isSilent = false;
    let hasAnswered = false;
    const suspicion = setTimeout(() => {
      if (!hasAnswered) host.health.recordOutcome(taken, "silent");
    }, getSuspicionMs(route));
    let silence = watchSilence();

    return {
      signal: controller.signal,
      noteProgress,
      isSilent: () => isSilent,
      end,
    };

    function watchSilence(): NodeJS.Timeout | undefined {
      if (!canMoveOn()) return undefined;
      return setTimeout(() => {
        isSilent = true;
        abort();
      }, getSilenceMs(route, request.deadlineAt - performance.now()));
    }

    function noteProgress(): void {
      if (!hasAnswered) {
        load.finishPrefill();
        read.finish();
      }
      hasAnswered = true;
      clearTimeout(silence);
      silence = route.kind === "stream" ? watchSilence() : undefined;
    }

    function end(): void {
      clearTimeout(silence);
      clearTimeout(suspicion);
      load.end();
      read.abandon();
      stop.signal.removeEventListener("abort", abort);
    }
  }

  async function judge(
    result: DirectResult,
    { target: taken }: DirectChoice,
    attempt: ReturnType<typeof createAttempt>,
  ): Promise<TryEnd> {
    let isCounted = false;
    switch (result.kind) {
      case "not_sent":
        noteOutcome("unreachable");
        return { kind: "not_run", code: "no_target", arrived: false };
      case "refused":
        return { kind: "not_run", code: "target_full", arrived: true };
      case "wrong_target":
        noteOutcome("unreachable");
        return { kind: "not_run", code: "wrong_incarnation", arrived: true };
      case "aborted":
        return endAborted();
      case "lost":
      case "spoiled":
        return endLost("outcome_unknown", { reason: result.reason });
      case "answer":
        return await takeAnswer(result);
    }

    async function takeAnswer(
      { head, body, drop }: Extract<DirectResult, { kind: "answer" }>,
    ): Promise<TryEnd> {
      countRun();
      const isError = head.status >= firstErrorStatus;
      if (isError) noteOutcome("failed");
      if (isError && canRepeat() && canSpend()) {
        drop();
        return { kind: "repeat", code: "target_error" };
      }
      if (!head.isEventStream) attempt.noteProgress();
      const end = await answer.follow(head, body, attempt);
      if (end.kind === "whole") {
        if (!isError) noteOutcome("served");
        return isError ? { kind: "error_answer" } : { kind: "done" };
      }
      drop();
      return attempt.signal.aborted
        ? endAborted()
        : endLost("answer_cut", { reason: end.reason });
    }

    function endAborted(): TryEnd {
      if (attempt.isSilent()) {
        return endLost("outcome_unknown", {
          outcome: "silent",
          reason: "The target stayed silent",
        });
      }
      countRun();
      return { kind: "stopped" };
    }

    function endLost(
      code: DiagnosticCode,
      { reason, outcome = "failed" }: {
        readonly reason: string;
        readonly outcome?: TargetOutcome;
      },
    ): TryEnd {
      countRun();
      noteOutcome(outcome);
      return { kind: "lost", code, reason };
    }

    /** The target may have run the request, once for this try. */
    function countRun(): void {
      if (!isCounted) runs++;
      isCounted = true;
    }

    function noteOutcome(outcome: TargetOutcome): void {
      host.health.recordOutcome(taken, outcome);
    }
  }

  /** Whether work that may have run here may be sent to another target. */
  function canRepeat(): boolean {
    const left = request.deadlineAt - performance.now();
    return isRepeatable && runs < route.maxTargets && left > minTimeLeftMs &&
      stop.getReason() === undefined && sends < maxSends;
  }

  function canMoveOn(): boolean {
    return isRepeatable && runs + 1 < route.maxTargets && sends < maxSends;
  }

  function canSpend(): boolean {
    return host.retries.trySpend(service);
  }

  function endStopped(): RequestEnd {
    if (stop.getReason() === "caller_gone") {
      return createEnd(createReport("caller_gone"));
    }
    return createEnd(
      createReport(runs > 0 ? "deadline_exceeded" : "deadline_passed"),
    );
  }

  /** No target is left, or the request may not be sent to another one. */
  function endUnserved(): RequestEnd {
    if (runs > 0 || lastFailure !== undefined) {
      return createEnd(createReport(lastFailure ?? "outcome_unknown"));
    }
    const { least, spread } = retryAfterBoundsMs;
    return createEnd(createReport(lastRefusal, { service }, {
      retryAfterMs: least + host.random() * spread,
    }));
  }

  function noteTry(
    choice: DirectChoice,
    result: DirectResult,
    end: TryEnd,
  ): void {
    host.log.info("Try ended without an answer", {
      request: request.requestId,
      service,
      target: choice.target.id,
      ...describeChoice(choice, request),
      result: result.kind,
      reason: getReason(result) ?? getReason(end),
      verdict: end.kind,
      sends,
      leftMs: Math.round(request.deadlineAt - performance.now()),
    });
  }
}

/** The inputs that decided for a target. */
function describeChoice(
  { candidates, load, heldTokens, fetchFrom }: DirectChoice,
  { prompt }: DirectRequest,
): Readonly<Record<string, string | number>> {
  if (prompt === undefined) return { candidates, load };
  const shared = getSharedParts(prompt.parts);
  return {
    candidates,
    load,
    part: shared.at(-1)?.id ?? "",
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0),
    heldTokens,
    ...(fetchFrom === undefined ? {} : { fetchFrom: fetchFrom.id }),
  };
}

function getReason(step: DirectResult | TryEnd): string | undefined {
  return "reason" in step ? step.reason : undefined;
}
