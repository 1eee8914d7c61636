/** Describes one attempt of a direct request for the log. */

import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import type { QuarantineRefusal } from "../process/direct/crashes/quarantine.ts";
import { getFingerprint } from "../process/direct/crashes/crash_keys.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { DirectResult } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectChoice } from "./direct_choice.ts";
import type { AttemptEnd, DirectHost } from "./direct_host.ts";

/** Returns the values that the choice was based on, for the log. */
export function describeChoice(
  choice: DirectChoice,
  { prompt }: DirectRequest,
): Readonly<Record<string, string | number>> {
  const { candidates, load, heldTokens, fetchFrom, slot, partPerS } = choice;
  const times = describeExpected(choice.expected);
  if (prompt === undefined) return { candidates, load, ...times };
  const shared = getSharedParts(prompt.parts);
  return {
    candidates,
    load,
    part: shared.at(-1)?.id ?? "",
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0),
    heldTokens,
    ...(fetchFrom === undefined ? {} : { fetchFrom: fetchFrom.id }),
    ...(slot === undefined ? {} : { slot }),
    ...(partPerS === undefined
      ? {}
      : { partPerS: Math.round(partPerS * 10) / 10 }),
    ...times,
  };
}

/** Returns the values that are known, rounded. */
function describeExpected(
  expected: DirectChoice["expected"],
): Readonly<Record<string, number>> {
  const { bound, slowdown, speedAgeMs, expectedMs } = expected ?? {};
  return {
    ...(bound === undefined ? {} : { bound }),
    ...(slowdown === undefined
      ? {}
      : { slowdown: Math.round(slowdown * 100) / 100 }),
    ...(speedAgeMs === undefined ? {} : { speedAgeMs: Math.round(speedAgeMs) }),
    ...(expectedMs === undefined ? {} : { expectedMs: Math.round(expectedMs) }),
  };
}

/** Returns why a request is not sent, for the log. */
export function describeRefusal(
  { key, crashes }: QuarantineRefusal,
): Readonly<Record<string, string | number>> {
  return { quarantined: key.id, label: key.label, crashes };
}

/** Maximum number of limited targets that one line names. */
const maxNamedTargets = 8;

/**
 * Returns the limited targets of a service without room and its evacuated zones,
 * for the log.
 */
export function describeUnavailable(
  host: Pick<DirectHost, "limits" | "targets">,
  service: string,
): Readonly<Record<string, string>> | undefined {
  const ready = host.targets.getReady(service);
  const limited = ready.filter(host.limits.isLimited);
  const evacuated = host.targets.getEvacuated(service);
  if (limited.length + evacuated.length === 0) return undefined;
  const ids = limited.slice(0, maxNamedTargets).map(({ id }) => id).join(" ");
  const zones = [...new Set(evacuated.map(({ zone }) => zone))].join(" ");
  return {
    ...(ids === "" ? {} : { limited: ids }),
    ...(zones === "" ? {} : { evacuatedZones: zones }),
  };
}

/** Returns what a target responded, for the log. */
function describeHead(
  result: DirectResult,
): Readonly<Record<string, number | boolean>> {
  if (result.kind === "refused" || result.kind === "wrong_target") {
    return { status: result.status };
  }
  if (result.kind !== "answer") return {};
  const { status, isEventStream } = result.head;
  return { status, isEventStream };
}

/** Returns the reason of a result or an end that has one. */
function getReason(
  resultOrEnd: { readonly kind: string; readonly reason?: string },
): string | undefined {
  return resultOrEnd.reason;
}

/** Logs a try that ended without an answer or that resumed a stream. */
export function logAttempt(
  log: Pick<Log, "info">,
  { request, choice, result, end, sentBefore, sends, silentMs }: {
    readonly request: DirectRequest;
    readonly choice: DirectChoice;
    readonly result: DirectResult;
    readonly end: AttemptEnd;
    /** What the caller had received when the attempt started. */
    readonly sentBefore: {
      readonly sentBytes: number;
      readonly lastEventId: string | undefined;
    };
    /** Number of attempts of the request so far. */
    readonly sends: number;
    /** Time since the target has last sent anything, in milliseconds. */
    readonly silentMs: number;
  },
): void {
  const message = end.kind === "done"
    ? "Stream was resumed at another target"
    : "Try ended without an answer";
  log.info(message, {
    request: request.requestId,
    kind: request.route.kind,
    service: request.service,
    target: choice.target.id,
    softwareVersion: choice.target.softwareVersion,
    ...describeChoice(choice, request),
    result: result.kind,
    ...describeHead(result),
    ...sentBefore,
    reason: getReason(result) ?? getReason(end),
    ...(end.kind === "not_run" ? { proof: end.proof } : {}),
    ...(end.kind === "lost" ? { fingerprint: getFingerprint(request) } : {}),
    verdict: end.kind,
    silentMs: Math.round(silentMs),
    sends,
    leftMs: Math.round(request.deadlineAt - performance.now()),
  });
}
