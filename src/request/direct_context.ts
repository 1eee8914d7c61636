/** What the attempts of one direct request share. */

import type { TargetQueue } from "../process/direct/limits/admission_estimate.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { Reply } from "../types/reply.ts";
import type { DirectHost } from "./direct_host.ts";
import {
  createDirectPrefillWait,
  type DirectPrefillWait,
} from "./direct_prefill_wait.ts";
import {
  createDirectQuarantine,
  type DirectQuarantine,
} from "./direct_quarantine.ts";
import {
  createDirectQueueWait,
  type DirectQueueWait,
} from "./direct_queue_wait.ts";
import {
  createDirectResponse,
  type DirectResponse,
} from "./direct_response.ts";
import { createDirectRetry, type DirectRetry } from "./direct_retry.ts";
import {
  createDirectStreamVersion,
  type DirectStreamVersion,
} from "./direct_stream_version.ts";
import type { RequestSummary } from "./request_host.ts";
import { createRequestStop, type RequestStop } from "./request_stop.ts";

/** Maximum number of attempts for one request, including refused ones. */
const maxAttempts = 5;

/** Time left below which a retry is not worth its load, in ms. */
const minTimeLeftMs = 30;

/**
 * Why a request is not sent to another target.
 *
 * - `stopping`: a run that begins now would outlast the stop of the router.
 * - `deadline`, `caller_gone`: the request has stopped, or is about to.
 * - `not_repeatable`: it may run only once.
 * - `response_begun`: the caller has a part that no other target continues.
 * - `attempts`: it was sent as often as it may be.
 * - `quarantined`: it may crash its targets.
 * - `busy`: timers fire late, so two attempts would run side by side for too long.
 * - `retry_budget`: no retry is granted.
 * - `queue`: callers compete, and there is no place for it.
 * - `full`: its turn at the chosen target would come after its deadline.
 * - `no_target`: no other target of its version may be used now.
 * - `ejected`: the others are ejected, so they may be as silent as the current one.
 * - `limited`: the chosen target takes no more requests now.
 */
export type AttemptObstacle =
  | "stopping"
  | "deadline"
  | "caller_gone"
  | "not_repeatable"
  | "response_begun"
  | "attempts"
  | "quarantined"
  | "busy"
  | "retry_budget"
  | "queue"
  | "full"
  | "no_target"
  | "ejected"
  | "limited";

/** What is known of the attempts of one request so far. */
export interface AttemptHistory {
  /** A process that gets a request twice may answer the first one late. */
  readonly attempted: Set<string>;
  sends: number;
  /** Number of targets that may have run the request. */
  possibleRuns: number;
  /** Id of the target of the last attempt; empty before the first one. */
  target: string;
  decision: RequestSummary["decision"];
  lastFailure: DiagnosticCode | undefined;
  lastRefusal: DiagnosticCode | undefined;
  /** Queue of the last target that refused or would come too late. */
  lastQueue: TargetQueue | undefined;
  /** Why no other target got the request; undefined if none was needed. */
  obstacle: AttemptObstacle | undefined;
}

/** One request with what its attempts share. */
export interface DirectContext {
  readonly host: DirectHost;
  readonly request: DirectRequest;
  readonly stop: RequestStop;
  readonly response: DirectResponse;
  readonly retry: DirectRetry;
  readonly quarantine: DirectQuarantine;
  readonly prefillWait: DirectPrefillWait;
  readonly queueWait: DirectQueueWait;
  readonly streamVersion: DirectStreamVersion;
  readonly history: AttemptHistory;
  getTimeLeftMs(): number;
  /** Returns true when the request may still be sent to a target. */
  mayUse(target: DirectTarget): boolean;
  hasAttemptsLeft(): boolean;
  /** True when more than one target may run the request. */
  readonly isRepeatable: boolean;
  /** Returns true when a target may have run the request. */
  mayHaveRun(): boolean;
  /**
   * Returns why the request must not be sent again though it may have run that
   * many times; undefined when it may.
   */
  tryGetRepeatObstacle(runs: number): AttemptObstacle | undefined;
  /** Ends what the attempts share. */
  end(): void;
}

/** Creates the context of a request that was not sent yet. */
export function createDirectContext(
  host: DirectHost,
  request: DirectRequest,
  reply: Reply,
): DirectContext {
  const { route } = request;
  const stop = createRequestStop({
    deadlineAt: request.deadlineAt,
    disconnectSignal: reply.disconnectSignal,
    getNow: () => performance.now(),
  });
  const response = createDirectResponse(reply, {
    lastEventId: request.lastEventId,
    isResumable: route.isResumable,
    ...{ method: request.method, readPace: host.readPace },
    memory: reply.memory ?? host.responseMemory.begin(),
  });
  const isRepeatable = route.kind === "safe" ||
    (route.kind === "stream" && route.isResumable);
  const retry = createDirectRetry(host.retries, request.service);
  const quarantine = createDirectQuarantine(host, request);
  const streamVersion = createDirectStreamVersion(host, request);
  const queueWait = createDirectQueueWait(host, request, { stop, mayUse });
  const history: AttemptHistory = {
    ...{ attempted: new Set(), sends: 0, possibleRuns: 0, target: "" },
    ...{ decision: undefined, obstacle: undefined },
    ...{ lastFailure: undefined, lastRefusal: undefined },
    lastQueue: undefined,
  };

  return {
    ...{ host, request, stop, response, retry, quarantine, queueWait },
    ...{ streamVersion, history, isRepeatable },
    prefillWait: createDirectPrefillWait(host, request),
    ...{ getTimeLeftMs, mayUse, hasAttemptsLeft, mayHaveRun },
    tryGetRepeatObstacle,
    end,
  };

  function getTimeLeftMs(): number {
    return request.deadlineAt - performance.now();
  }

  function mayUse(target: DirectTarget): boolean {
    return !history.attempted.has(target.address) &&
      streamVersion.mayUse(target);
  }

  function hasAttemptsLeft(): boolean {
    return history.sends < maxAttempts;
  }

  function mayHaveRun(): boolean {
    return history.possibleRuns > 0 || history.lastFailure !== undefined;
  }

  function tryGetRepeatObstacle(runs: number): AttemptObstacle | undefined {
    // To ask for the reason past the deadline stops the request, but after a pause
    // of the process the rest of its response may be about to be read.
    if (getTimeLeftMs() <= minTimeLeftMs) return "deadline";
    const reason = stop.getReason();
    if (reason !== undefined) return reason;
    if (!isRepeatable) return "not_repeatable";
    if (!response.canContinue()) return "response_begun";
    if (runs >= route.maxTargets || !hasAttemptsLeft()) return "attempts";
    return quarantine.canRepeat() ? undefined : "quarantined";
  }

  function end(): void {
    response.release();
    stop.clear();
    queueWait.releaseNext();
    queueWait.leave();
    retry.end();
    quarantine.end();
  }
}
