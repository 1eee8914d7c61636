/**
 * Times the responses of one attempt, for what is expected of its target and for
 * the target's pace.
 */

import { judgeResponse } from "../process/direct/targets/pace_steps.ts";
import type { TimedWork } from "../process/direct/targets/usual_times.ts";
import type { DirectResult, ReportedLoad } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import { promisesNotRun } from "../types/promises.ts";
import { type DirectChoice, getTimedWork } from "./direct_choice.ts";
import type { DirectHost } from "./direct_host.ts";

/** Number of times between events that are recorded together. */
const eventsPerRecord = 8;

/** Minimum number of times between events at the end of a stream. */
const minEvents = 2;

/** Lowest response status that counts as a failure of the target. */
const minServerErrorStatus = 500;

/** The times of one attempt. */
export interface AttemptTimes {
  /** Records that the request is written to a connection. */
  recordSent(): void;
  /** Records how the call ended, or that the head has arrived. */
  recordResult(result: DirectResult): void;
  /** Records that the target has not responded when others would have. */
  recordSilence(): void;
  /** Records that data of an event stream has arrived. */
  recordEvents(): void;
  /** Records that the caller has taken the data. */
  recordTaken(): void;
  /** Records that the whole response to a call has arrived. */
  recordRun(): void;
  end(): void;
}

/** Starts to time an attempt. */
export function startAttemptTimes(
  host: Pick<DirectHost, "pace" | "speeds">,
  choice: DirectChoice,
  request: DirectRequest,
): AttemptTimes {
  const { target } = choice;
  const paced = host.pace.begin(target);
  let sentAt = performance.now();
  let load: ReportedLoad | undefined;
  let hasEvents = false;
  /** When the caller had taken the last event. */
  let takenAt: number | undefined;
  let gaps = { count: 0, sumMs: 0 };

  return {
    recordSent: () => {
      sentAt = performance.now();
    },
    recordResult,
    recordSilence: () => paced.recordOutcome("failed"),
    recordEvents,
    recordTaken: () => {
      takenAt = performance.now();
    },
    recordRun: () => {
      if (!hasEvents) recordResponse("call");
    },
    end: () => recordGaps(minEvents),
  };

  function recordResult(result: DirectResult): void {
    switch (result.kind) {
      case "refused":
        return paced.recordOutcome("refused");
      case "not_sent":
      case "wrong_target":
      case "lost":
      case "spoiled":
        return paced.recordOutcome("failed");
      case "answer":
        return recordHead(result.head.status, result.head.load);
      case "withheld":
      case "aborted":
        return;
    }
  }

  function recordHead(
    status: number,
    reported: ReportedLoad | undefined,
  ): void {
    load = reported;
    if (load?.slowdown !== undefined) {
      host.speeds.recordReport(target, load.slowdown);
    }
    if (promisesNotRun(status)) paced.recordOutcome("refused");
    else if (status >= minServerErrorStatus) paced.recordOutcome("failed");
  }

  function recordResponse(kind: "call" | "first_event"): void {
    const relativeTime = recordTime(kind, performance.now() - sentAt);
    paced.recordOutcome(judgeResponse(relativeTime, load));
  }

  function recordEvents(): void {
    if (!hasEvents) recordResponse("first_event");
    hasEvents = true;
    if (takenAt === undefined) return;
    const sumMs = gaps.sumMs + performance.now() - takenAt;
    gaps = { count: gaps.count + 1, sumMs };
    takenAt = undefined;
    recordGaps(eventsPerRecord);
  }

  function recordGaps(minCount: number): void {
    if (gaps.count < minCount) return;
    const relativeTime = recordTime("event", gaps.sumMs / gaps.count);
    gaps = { count: 0, sumMs: 0 };
    if (judgeResponse(relativeTime, undefined) === "slow") {
      paced.recordSlowEvents();
    }
  }

  function recordTime(
    kind: TimedWork["kind"],
    tookMs: number,
  ): number | undefined {
    const work = getTimedWork(request, choice, kind);
    return host.speeds.recordTime(target, work, tookMs);
  }
}
