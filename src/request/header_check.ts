/** Reads the headers by which callers steer a request. */

import { type Either, Left, Right } from "purify-ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import { priorities, type Priority } from "../types/work.ts";

/** Deadline of a request that names none, in milliseconds. */
const defaultDeadlineMs = 300_000;

/** Longest deadline; claims live longer than this, in milliseconds. */
const maxDeadlineMs = 1_800_000;

/** Longest value of a header that names something, in characters. */
const maxNameLength = 256;

/** The headers of one request, checked. */
export interface CallerHeaders {
  readonly workspace: string;
  readonly conversation: string;
  readonly priority: Priority;
  readonly deadlineMs: number;
  readonly idempotencyKey: string | undefined;
  readonly lastPlace: string | undefined;
}

/** Checks the headers of one request. */
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
    lastPlace: headers["x-last-place"],
  });
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
