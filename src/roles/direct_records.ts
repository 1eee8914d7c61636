/** Records how requests ended, in the log and in the metrics. */

import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { MeasuredReply } from "../request/measured_reply.ts";
import type { RequestSummary } from "../request/request_host.ts";
import {
  type DiagnosticCode,
  getDiagnostic,
  type Report,
} from "../types/diagnostics.ts";
import type { DirectRequest, RequestArrival } from "../types/direct_request.ts";
import type { RequestEnd } from "../types/reply.ts";

/** What the records need from the process. */
export interface DirectRecordsHost {
  readonly metrics: Pick<Metrics, "count" | "record">;
  readonly log: Log;
  /** Returns the version of the active configuration, if there is one. */
  getVersion(): number | undefined;
  /** Returns the time since the directory was last read, in milliseconds. */
  getDirectoryAgeMs(): number;
}

/** The records of one router's requests. */
export interface DirectRecords {
  /** Records a request that was refused before it had a route. */
  recordRejection(
    requestId: string,
    report: Report,
    arrival?: RequestArrival,
  ): void;
  /** Records an error that nothing expected while a request ran. */
  recordError(requestId: string, error: unknown): void;
  /** Records the end of a request that had a route. */
  recordEnd(
    request: DirectRequest,
    summary: RequestSummary,
    options: {
      readonly measured: MeasuredReply;
      readonly arrival: RequestArrival;
    },
  ): void;
}

/** Rejections of which many come at once; the log gets some of them. */
const frequentCodes: ReadonlySet<DiagnosticCode> = new Set([
  "router_overloaded",
  "caller_gone",
]);

/** Minimum time between two log lines of such rejections, in milliseconds. */
const frequentIntervalMs = 50;

/** Creates the records. */
export function createDirectRecords(host: DirectRecordsHost): DirectRecords {
  const { metrics, log } = host;
  /** When a frequent rejection was last logged, and those since, by code. */
  const unlogged = new Map<DiagnosticCode, { at: number; count: number }>();

  return { recordRejection, recordError, recordEnd };

  function recordError(requestId: string, error: unknown): void {
    log.error("Unexpected error while running a request", {
      request: requestId,
      error: error instanceof Error ? error.stack : String(error),
    });
  }

  function recordRejection(
    requestId: string,
    report: Report,
    arrival?: RequestArrival,
  ): void {
    metrics.count("requests_total", { outcome: "not_run", code: report.code });
    if (arrival !== undefined) recordArrival(arrival);
    const unloggedCount = tryTakeUnlogged(report.code);
    if (unloggedCount === undefined) return;
    log.info("Request rejected", {
      request: requestId,
      code: report.code,
      version: host.getVersion(),
      directoryAgeMs: Math.round(host.getDirectoryAgeMs()),
      ...describeArrival(arrival),
      unlogged: unloggedCount || undefined,
    });
  }

  /**
   * Returns the number of rejections with this code that were not logged since the
   * last line; undefined when this one is not logged either.
   */
  function tryTakeUnlogged(code: DiagnosticCode): number | undefined {
    if (!frequentCodes.has(code)) return 0;
    const now = performance.now();
    const { at, count } = unlogged.get(code) ?? { at: -Infinity, count: 0 };
    const isSkipped = now - at < frequentIntervalMs;
    unlogged.set(
      code,
      isSkipped ? { at, count: count + 1 } : { at: now, count: 0 },
    );
    return isSkipped ? undefined : count;
  }

  function recordArrival({ unreadMs, bodyMs, turnMs }: RequestArrival): void {
    metrics.record("request_wait_ms", unreadMs, { step: "unread" });
    metrics.record("request_wait_ms", bodyMs, { step: "body" });
    metrics.record("request_wait_ms", turnMs, { step: "turn" });
  }

  function recordEnd(
    request: DirectRequest,
    { end, target, tries, decision, stopLateMs }: RequestSummary,
    { measured, arrival }: {
      readonly measured: MeasuredReply;
      readonly arrival: RequestArrival;
    },
  ): void {
    const code = end.report?.code ?? "done";
    const firstByteMs = measured.getFirstByteMs();
    const { service, route } = request;
    const totalMs = measured.getTotalMs();
    metrics.count("requests_total", { outcome: end.outcome, code });
    metrics.record("request_ms", totalMs, { service });
    recordArrival(arrival);
    if (stopLateMs !== undefined) {
      metrics.record("deadline_late_ms", stopLateMs);
    }
    if (firstByteMs !== undefined) {
      metrics.record("first_byte_ms", firstByteMs, { service });
    }
    log.info("Request ended", {
      request: request.requestId,
      route: route.name,
      kind: route.kind,
      service,
      workspace: request.holder?.workspace,
      outcome: end.outcome,
      code,
      ...describeStatus(end, measured.getTargetStatus()),
      target,
      tries,
      resumes: request.resumes,
      afterEvent: request.lastEventId,
      ...decision,
      version: request.tableVersion,
      directoryAgeMs: Math.round(host.getDirectoryAgeMs()),
      firstByteMs: firstByteMs && Math.round(firstByteMs),
      ...describeArrival(arrival),
      stopLateMs: stopLateMs && Math.round(stopLateMs),
      totalMs: Math.round(totalMs),
      retryAfterMs: end.report?.retryAfterMs || undefined,
    });
  }
}

/** Returns the waits before the request was handled that took any time. */
function describeArrival(
  arrival: RequestArrival | undefined,
): Readonly<Record<string, number>> {
  if (arrival === undefined) return {};
  const waits = Object.entries(arrival)
    .filter(([name]) => name !== "at")
    .map(([name, ms]) => [name, Math.round(ms)] as const);
  return Object.fromEntries(waits.filter(([, ms]) => ms > 0));
}

/**
 * Returns the status that the caller received, and whether the target or this
 * router sent it, for the log.
 */
function describeStatus(
  { report }: RequestEnd,
  targetStatus: number | undefined,
): Readonly<Record<string, string | number>> {
  return targetStatus === undefined
    ? { status: getDiagnostic(report?.code ?? "outcome_unknown").status }
    : { status: targetStatus, statusOf: "target" };
}
