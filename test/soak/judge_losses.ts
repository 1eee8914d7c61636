/** LOST: requests that were read and whose connections end without an answer. */

import {
  formatArrivals,
  getEndedAt,
  type JudgeContext,
  overlaps,
  type Violation,
} from "./judge_context.ts";
import {
  type Arrival,
  bounds,
  type CallerRequest,
  type CallerResult,
  getTimeoutMs,
  isStream,
  type RouterSpan,
} from "./observations.ts";

/** Time before the deadline in which an end counts as due to it, in ms. */
const deadlineSlackMs = 50;

/**
 * The same without planned work. A router whose loop is busy counts a deadline from
 * the earliest time at which the request can have arrived, which is up to the length
 * of a turn too early. In milliseconds.
 */
const busyDeadlineSlackMs = 250;

/** Share of the grace period after which work may be cut off. */
const servingGraceShare = 5 / 6;

/** Time after SIGTERM until which requests may be cut off so, in ms. */
const earlyRequestMs = 3_000;

/** Time after the grace period in which a stop still counts, in ms. */
const stopSlackMs = 1_000;

/** Requests on kept connections that may lose their answers at other times. */
const maxUnanswered = 3;

/** Status codes from which on a target's run has failed. */
const failureStatus = 400;

/** A request whose connection ended without a whole answer. */
interface Cut {
  readonly request: CallerRequest;
  readonly result: CallerResult;
  /** The run that ended last; undefined if none did. */
  readonly run: Arrival | undefined;
}

/** Judges all requests that ended without a whole answer. */
export function judgeLosses(context: JudgeContext): readonly Violation[] {
  const cuts = context.requests.flatMap((request) => tryGetCut(request) ?? []);
  const unanswered = cuts.filter(isUnanswered);
  return [
    ...cuts.flatMap((cut) => {
      const reason = tryFindLost(cut);
      return reason === undefined ? [] : [describe(cut, reason)];
    }),
    ...(unanswered.length > maxUnanswered
      ? unanswered.map((cut) => describe(cut, "closed unanswered, calm"))
      : []),
  ];

  /** Returns a request that was cut off, unless the rules allow it. */
  function tryGetCut(request: CallerRequest): Cut | undefined {
    const { result } = request;
    if (result === undefined || result.isComplete || result.gaveUp) {
      return undefined;
    }
    if (hasLeft(request, result)) return undefined;
    if (getLeftMs(request, result) <= deadlineSlackMs) return undefined;
    // A target may work on while the next one refuses or fails.
    const arrivals = [...context.arrivalsById.get(request.id) ?? []]
      .sort((left, right) => getEndedAt(left) - getEndedAt(right));
    const last = arrivals.findLast(({ kind, brokeOff }) =>
      kind === "run" || brokeOff
    );
    if (last !== undefined && hasFailed(last)) return undefined;
    return { request, result, run: last };
  }

  function tryFindLost(cut: Cut): string | undefined {
    if (isExcused(cut)) return undefined;
    if (!wasRead(cut)) return undefined;
    const { request, result } = cut;
    const stop = tryGetStop(cut);
    if (stop !== undefined) {
      return isLastOfGrace(cut, stop.from) ? undefined : "cut off by a stop";
    }
    if (isAfterReload(cut)) return "cut off after a SIGHUP";
    const isMidway = isStream(request.kind) && result.status !== undefined &&
      getLeftMs(request, result) > busyDeadlineSlackMs;
    return isMidway && isCalm(cut) ? "stream cut off, calm" : undefined;
  }

  /** Returns the stop of the process that took the request. */
  function tryGetStop({ request, result: { endedAt } }: Cut) {
    const { router, sentAt } = request;
    const stop = context.getSpans(router).findLast(({ kind, from }) =>
      kind === "stop" && from <= endedAt
    );
    return stop !== undefined &&
        endedAt <= stop.from + bounds.graceMs + stopSlackMs &&
        context.getLifeStart(router, sentAt) <= stop.from
      ? stop
      : undefined;
  }

  function isAfterReload({ request, result: { endedAt } }: Cut): boolean {
    const { router, sentAt } = request;
    return context.getReloads(router).some((at) =>
      at <= endedAt && sentAt <= at + bounds.configApplyMs &&
      context.getLifeStart(router, sentAt) <= at
    );
  }

  /** The target was still at work when the grace period was nearly over. */
  function isLastOfGrace({ request, result, run }: Cut, stoppedAt: number) {
    const workedUntil = run === undefined ? result.endedAt : getEndedAt(run);
    return workedUntil >= stoppedAt + bounds.graceMs * servingGraceShare &&
      request.sentAt <= stoppedAt + earlyRequestMs;
  }

  /** The store's disruptions excuse nothing for calls. */
  function isExcused({ request, result }: Cut): boolean {
    const spans = getUnplanned(context.getSpans(request.router));
    const storeSpans = isStream(request.kind) ? context.storeSpans : [];
    return [...spans, ...storeSpans].some((span) =>
      overlaps(span, request.sentAt - bounds.contactMs, result.endedAt)
    );
  }

  /** The router was in touch all the while, and had a processor. */
  function isCalm({ request: { router, sentAt }, result }: Cut): boolean {
    const spans = [
      ...[...context.getSpans(router), ...context.getStarved(router)],
      ...context.storeSpans,
    ];
    return !spans.some((span) =>
      overlaps(span, sentAt - bounds.contactMs, result.endedAt)
    );
  }

  /** A sound target had the request of a kept connection, at a calm router. */
  function isUnanswered(cut: Cut): boolean {
    const { request: { router }, result, run } = cut;
    return run !== undefined && result.status === undefined &&
      result.connection === "kept" && tryGetStop(cut) === undefined &&
      context.isInTouch(router, result.endedAt);
  }

  function describe({ request, result }: Cut, reason: string): Violation {
    const { id, kind, router, sentAt } = request;
    const [sent, ended] = [sentAt, result.endedAt].map(context.formatTime);
    const arrivals = context.arrivalsById.get(id) ?? [];
    return {
      rule: "LOST",
      text: `${reason}: ${id} ${kind} by ${router} sent ${sent} got ` +
        `${result.status ?? "close"} until ${ended}; ` +
        `${formatArrivals(context, arrivals)}`,
    };
  }
}

/** Returns all disruptions but stops and the starts that follow them. */
function getUnplanned(spans: readonly RouterSpan[]): readonly RouterSpan[] {
  let isPlanned = true;
  return spans.filter(({ kind }) => {
    const isPlannedStart = kind === "start" && isPlanned;
    if (kind === "stop") isPlanned = true;
    else if (kind === "kill" || kind === "start") isPlanned = false;
    return kind !== "stop" && kind !== "exit" && !isPlannedStart;
  });
}

/** The router passed it on, or had read it and held it for long. */
function wasRead({ result, run }: Cut): boolean {
  if (run !== undefined) return true;
  const { writtenAt, endedAt, connection } = result;
  return writtenAt !== undefined && connection === "kept" &&
    endedAt > writtenAt + bounds.lossSlackMs;
}

/** The target broke off, or answered with a failure, which can't go on. */
function hasFailed({ brokeOff, status, completedAt }: Arrival): boolean {
  return brokeOff ||
    (completedAt !== undefined && (status ?? 0) >= failureStatus);
}

/** Returns the time to the deadline or timeout at the end, in milliseconds. */
function getLeftMs(
  { deadlineMs, prefix, sentAt }: CallerRequest,
  { endedAt }: CallerResult,
): number {
  return sentAt + Math.min(deadlineMs, getTimeoutMs(prefix)) - endedAt;
}

/** The caller closed the connection itself. */
function hasLeft(
  { leavesAfter = Infinity }: CallerRequest,
  { body }: CallerResult,
): boolean {
  return body.includes(`id: ${leavesAfter}\n`);
}
