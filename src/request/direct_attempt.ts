/**
 * One attempt of a direct request while it runs: counts its load, times its
 * silence and aborts it when the request stops.
 */

import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import type { DirectHead, DirectResult } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import { startAttemptTimes } from "./attempt_times.ts";
import type { DirectChoice } from "./direct_choice.ts";
import type { DirectHost } from "./direct_host.ts";
import {
  getGapTimeoutMs,
  getIdleTimeoutMs,
  getUnresponsiveTimeoutMs,
} from "./direct_timeouts.ts";
import { createSilenceTimer } from "./silence_timer.ts";

/** Results after which a target has not copied the parts of a request. */
const copyFailures: ReadonlySet<DirectResult["kind"]> = new Set([
  "not_sent",
  "wrong_target",
  "lost",
  "spoiled",
]);

/** An attempt at one target. */
export interface DirectAttempt {
  /** Aborted when the request stops or the target is silent for too long. */
  readonly signal: AbortSignal;
  /** Records that the request is written to a connection. */
  recordSent(): void;
  /** Records how the call ended, or that the head has arrived. */
  recordResult(result: DirectResult): void;
  /** Records that the target answered without an error. */
  recordAnswer(head: DirectHead): void;
  /** Records that the target has sent the head of a response to buffer. */
  recordHead(): void;
  /** Records that the target has sent data of an event stream. */
  recordProgress(): void;
  /** Records that the target has sent a comment, which is no progress. */
  recordComment(): void;
  /** Records that the caller has taken the data and more is expected. */
  expectProgress(): void;
  /** Records the duration of a run that did not wait for a slot. */
  recordRun(): void;
  /** Aborts the attempt for the target's silence. */
  giveUp(): void;
  /** Aborts the attempt for another reason. */
  cancel(): void;
  /** Returns true when the attempt was aborted for the target's silence. */
  hasTimedOut(): boolean;
  /** Returns true while the target has sent nothing since it was silent. */
  isSilent(): boolean;
  /** Handles the target's silence anew after a time in milliseconds. */
  watchSilence(durationMs: number): void;
  /**
   * Returns the time since the target has last sent anything that counts, or since
   * the start of the attempt, in milliseconds.
   */
  getSilentMs(): number;
  /** Ends the count of its load and its timeouts. */
  end(): void;
}

/** Starts to count the load of an attempt and starts its timeouts. */
export function startDirectAttempt(
  host: Pick<
    DirectHost,
    | "contention"
    | "health"
    | "loads"
    | "pace"
    | "partDemand"
    | "pauses"
    | "prefills"
    | "runTimes"
    | "speeds"
  >,
  choice: DirectChoice,
  options: {
    readonly request: DirectRequest;
    /** Aborted at the deadline or when the caller disconnects. */
    readonly stopSignal: AbortSignal;
    /** True when the request may move to another target. */
    readonly isRepeatable: boolean;
    /** Called when the target has sent nothing for too long. */
    handleSilence(): void;
    /** Called when the target has sent a part of a response. */
    handleResponding(): void;
    /** Called when the first data of an event stream has arrived. */
    handleFirstEvent(): void;
    getTimeLeftMs(): number;
  },
): DirectAttempt {
  const { request, stopSignal } = options;
  const { target: chosen } = choice;
  const prefill = host.prefills.begin(chosen.id, choice.prefillParts);
  host.health.recordSent(chosen);
  const pausable = host.pauses.begin(chosen);
  const load = host.loads.begin(
    chosen.id,
    Math.max(0, (request.prompt?.promptTokens ?? 0) - choice.heldTokens),
  );
  const copy = choice.fetchFrom && host.partDemand.beginCopy(
    chosen.id,
    getSharedParts(request.prompt?.parts ?? []),
  );
  const times = startAttemptTimes(host, choice, request);
  const startedAt = performance.now();
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  stopSignal.addEventListener("abort", abort, { once: true });
  if (stopSignal.aborted) abort();
  let hasTimedOut = false;
  let hasResponded = false;
  let respondedAt = startedAt;
  const unresponsiveTimer = createSilenceTimer({
    onSilent: () => {
      if (hasResponded) return;
      host.health.recordOutcome(chosen, "silent");
      times.recordSilence();
    },
  });
  let isSent = false;
  /** True while the caller takes a comment, for which no timer runs. */
  let isOnHold = false;
  let isSilent = false;
  const idleTimer = createSilenceTimer({
    onSilent: () => {
      isSilent = true;
      options.handleSilence();
    },
  });
  startIdleTimer();

  return {
    signal: controller.signal,
    recordSent,
    recordResult,
    recordAnswer,
    recordHead: recordResponding,
    recordComment: () => {
      isOnHold = true;
      idleTimer.hold();
    },
    recordProgress: () => {
      if (!hasResponded) options.handleFirstEvent();
      recordResponding();
      times.recordEvents();
    },
    expectProgress,
    recordRun,
    giveUp: () => {
      hasTimedOut = true;
      abort();
    },
    cancel: abort,
    hasTimedOut: () => hasTimedOut,
    isSilent: () => isSilent,
    watchSilence: idleTimer.start,
    getSilentMs: () => performance.now() - respondedAt,
    end,
  };

  /** The target knows nothing of a request that waits for a connection. */
  function recordSent(): void {
    if (isSent) return;
    isSent = true;
    times.recordSent();
    unresponsiveTimer.start(getUnresponsiveTimeoutMs(request.route));
  }

  function recordResult(result: DirectResult): void {
    times.recordResult(result);
    copy?.end({ hasFailed: copyFailures.has(result.kind) });
  }

  function recordAnswer({ load: reported }: DirectHead): void {
    if (reported?.slowdown !== undefined) host.contention.recordSpeed(chosen);
    pausable.recordAnswer();
  }

  /** Records the duration of a run that did not wait for a slot. */
  function recordRun(): void {
    times.recordRun();
    if (choice.load >= chosen.slots) return;
    host.runTimes.record(request.service, performance.now() - startedAt);
  }

  function startIdleTimer(): void {
    if (!options.isRepeatable) return;
    const getTimeoutMs = hasResponded ? getGapTimeoutMs : getIdleTimeoutMs;
    idleTimer.start(getTimeoutMs(request.route, options.getTimeLeftMs()));
  }

  function recordResponding(): void {
    if (!hasResponded) {
      load.finishPrefill();
      prefill.finish();
    }
    hasResponded = true;
    respondedAt = performance.now();
    isOnHold = false;
    idleTimer.stop();
    isSilent = false;
    options.handleResponding();
  }

  /** After a comment, the time that was left goes on. */
  function expectProgress(): void {
    if (!isOnHold) times.recordTaken();
    if (request.route.kind !== "stream") return;
    if (isOnHold) idleTimer.resume();
    else startIdleTimer();
    isOnHold = false;
  }

  function end(): void {
    idleTimer.stop();
    unresponsiveTimer.stop();
    load.end();
    times.end();
    pausable.end();
    prefill.abandon();
    copy?.end({ hasFailed: false });
    stopSignal.removeEventListener("abort", abort);
  }
}
