/** Parses and checks the request headers that control routing. */

import { type Either, Left, Right } from "purify-ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import { priorities, type Priority } from "../types/work.ts";

/** Deadline of a request without a deadline header, in milliseconds. */
const defaultDeadlineMs = 300_000;

/** Maximum deadline, in milliseconds; claims must outlive it. */
const maxDeadlineMs = 1_800_000;

/** Maximum length of a name or key in a header, in characters. */
const maxNameLength = 256;

/** The checked headers of one request. */
export interface CallerHeaders {
  readonly workspace: string;
  /** Empty when the caller sent none. */
  readonly conversation: string;
  readonly priority: Priority;
  readonly deadlineMs: number;
  readonly idempotencyKey: string | undefined;
  /** Id of the target that the caller names as a routing hint. */
  readonly hintedTargetId: string | undefined;
}

/** Parses the headers of one request, or reports the first invalid one. */
export function parseHeaders(
  headers: Readonly<Record<string, string | undefined>>,
): Either<Report, CallerHeaders> {
  const workspace = headers["x-workspace"] ?? "";
  const priority = tryParsePriority(headers["x-priority"]);
  const deadlineMs = tryParseDeadline(headers["x-deadline-ms"]);
  if (!isName(workspace)) return reject("x-workspace", "a workspace's name");
  if (priority === undefined) {
    return reject("x-priority", priorities.join(" or "));
  }
  if (deadlineMs === undefined) {
    return reject("x-deadline-ms", `an integer from 1 to ${maxDeadlineMs}`);
  }
  for (const name of ["x-conversation", "x-last-place", "idempotency-key"]) {
    const value = headers[name];
    if (value === undefined || isName(value)) continue;
    return reject(name, `1 to ${maxNameLength} characters`);
  }
  return Right({
    workspace,
    conversation: headers["x-conversation"] ?? "",
    priority,
    deadlineMs,
    idempotencyKey: headers["idempotency-key"],
    hintedTargetId: headers["x-last-place"],
  });
}

/**
 * Returns how long the caller of a request waits, in milliseconds; the longest time
 * when its header is invalid, for which it is rejected later.
 */
export function getDeadlineMs(
  headers: Readonly<Record<string, string | undefined>>,
): number {
  return tryParseDeadline(headers["x-deadline-ms"]) ?? maxDeadlineMs;
}

function isName(value: string): boolean {
  return value.length > 0 && value.length <= maxNameLength;
}

function tryParsePriority(text: string | undefined): Priority | undefined {
  if (text === undefined) return "interactive";
  return priorities.find((priority) => priority === text);
}

function tryParseDeadline(text: string | undefined): number | undefined {
  if (text === undefined) return defaultDeadlineMs;
  const value = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  return value >= 1 && value <= maxDeadlineMs ? value : undefined;
}

function reject(field: string, expected: string): Either<Report, never> {
  return Left(createReport("bad_field", { field, expected }));
}
