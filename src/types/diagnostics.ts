/** All messages that users see. */

import type { Outcome } from "./outcome.ts";

/** The category, HTTP status and text of one diagnostic. */
export interface Diagnostic {
  readonly category: Outcome | "operator" | "settings";
  /** HTTP status of a response with this diagnostic; 0 if it has none. */
  readonly status: number;
  /** Text with placeholders such as `{service}`. */
  readonly text: string;
}

/** All diagnostics by code. The meaning of a code never changes. */
export const diagnostics = {
  target_full: {
    category: "not_run",
    status: 503,
    text: "All targets of {service} are at their load limit",
  },
  context_not_held: {
    category: "not_run",
    status: 503,
    text: "The target of {service} does not hold the chat's context",
  },
  queue_wait_too_long: {
    category: "not_run",
    status: 503,
    text: "The wait at {service} would pass the deadline",
  },
  request_too_large: {
    category: "not_run",
    status: 503,
    text: "The request has {tokens} tokens, engines of {service} hold {memory}",
  },
  no_target: {
    category: "not_run",
    status: 503,
    text: "No target of {service} is available",
  },
  target_limited: {
    category: "not_run",
    status: 503,
    text: "All targets of {service} are at the rates that they take",
  },
  target_leaving: {
    category: "not_run",
    status: 503,
    text: "The target of {service} is leaving",
  },
  zone_evacuated: {
    category: "not_run",
    status: 503,
    text: "All targets of {service} that are left are in evacuated zones",
  },
  wrong_incarnation: {
    category: "not_run",
    status: 503,
    text: "The target of {service} was replaced before the request reached it",
  },
  attempt_settled: {
    category: "not_run",
    status: 503,
    text: "The attempt was withdrawn before it started",
  },
  attempt_repeated: {
    category: "not_run",
    status: 409,
    text: "The attempt has already been received",
  },
  request_quarantined: {
    category: "not_run",
    status: 422,
    text: "The request was in flight at {crashes} crashes and is held back",
  },
  request_crashes_targets: {
    category: "not_run",
    status: 503,
    text: "The request was at {crashes} targets when they crashed",
  },
  prompt_part_crashes_targets: {
    category: "not_run",
    status: 503,
    text:
      "Part {part} of the prompt was at {crashes} targets when they crashed",
  },
  stream_version_unanswered: {
    category: "not_run",
    status: 503,
    text: "Routers that know the stream's software version do not answer",
  },
  stream_version_unavailable: {
    category: "not_run",
    status: 503,
    text: "No target of {service} with the stream's version takes requests now",
  },
  retry_budget_spent: {
    category: "not_run",
    status: 503,
    text: "The budget for retries is spent",
  },
  workspace_limited: {
    category: "not_run",
    status: 429,
    text: "Workspace {workspace} is over its limit of requests per second",
  },
  router_busy: {
    category: "not_run",
    status: 503,
    text: "The router has too many requests in flight",
  },
  router_overloaded: {
    category: "not_run",
    status: 503,
    text: "The router is at the limit of its {resource}",
  },
  router_starting: {
    category: "not_run",
    status: 503,
    text: "The router has no configuration yet",
  },
  router_stopping: {
    category: "not_run",
    status: 503,
    text: "The router is shutting down",
  },
  claims_unavailable: {
    category: "not_run",
    status: 503,
    text: "The idempotency key cannot be recorded now",
  },
  deadline_passed: {
    category: "not_run",
    status: 504,
    text: "The deadline passed before the request started",
  },
  key_reused: {
    category: "not_run",
    status: 422,
    text: "The idempotency key was used with another request",
  },
  request_running: {
    category: "unknown",
    status: 409,
    text: "The first request with this idempotency key is still running",
  },
  outcome_unknown: {
    category: "unknown",
    status: 502,
    text: "The target may have run the request, its answer is lost",
  },
  unproved_refusal: {
    category: "unknown",
    status: 502,
    text: "The target refused the request, but may have run it",
  },
  answer_gone: {
    category: "unknown",
    status: 410,
    text: "The request has run, its answer is no longer kept",
  },
  stream_version_unknown: {
    category: "failed",
    status: 502,
    text: "The software version that began the stream is not known any more",
  },
  stream_version_gone: {
    category: "failed",
    status: 502,
    text: "No target of {service} has the software version of the stream",
  },
  answer_cut: {
    category: "failed",
    status: 502,
    text: "The answer ended early after {bytes} bytes",
  },
  answer_too_large: {
    category: "failed",
    status: 502,
    text: "The answer is larger than {limit} bytes, which needs HTTP/1.1",
  },
  target_crashed: {
    category: "failed",
    status: 502,
    text: "The target stopped while it ran the request",
  },
  target_error: {
    category: "failed",
    status: 502,
    text: "The target could not be reached or answered badly",
  },
  deadline_exceeded: {
    category: "failed",
    status: 504,
    text: "The deadline passed while the request ran",
  },
  caller_gone: {
    category: "failed",
    status: 499,
    text: "The caller closed the connection",
  },
  unknown_service: {
    category: "not_run",
    status: 404,
    text: "There is no service {service}",
  },
  unknown_workspace: {
    category: "not_run",
    status: 404,
    text: "There is no workspace {workspace}",
  },
  unknown_key: {
    category: "not_run",
    status: 401,
    text: "The key belongs to no workspace",
  },
  service_not_allowed: {
    category: "not_run",
    status: 403,
    text: "Workspace {workspace} may not use service {service}",
  },
  bad_json: {
    category: "not_run",
    status: 400,
    text: "The body is not JSON: {reason}",
  },
  bad_field: {
    category: "not_run",
    status: 400,
    text: "Field {field} must be {expected}",
  },
  body_too_large: {
    category: "not_run",
    status: 413,
    text: "The body is larger than {limit} bytes",
  },
  body_cut: {
    category: "not_run",
    status: 400,
    text: "The body ended before its announced length",
  },
  body_late: {
    category: "not_run",
    status: 408,
    text: "The body did not arrive within {limit} ms",
  },
  headers_too_large: {
    category: "not_run",
    status: 431,
    text: "The headers are larger than {limit} bytes",
  },
  bad_http: {
    category: "not_run",
    status: 400,
    text: "The request is not valid HTTP: {reason}",
  },
  not_found: {
    category: "not_run",
    status: 404,
    text: "There is nothing at {path}",
  },
  patch_conflict: {
    category: "operator",
    status: 409,
    text: "Version {version} by {operator} already changed {entry}",
  },
  patch_base_ahead: {
    category: "operator",
    status: 409,
    text: "Base version {base} is ahead of version {version}",
  },
  patch_invalid: {
    category: "operator",
    status: 422,
    text: "Patch field {field} must be {expected}",
  },
  patch_unknown: {
    category: "operator",
    status: 404,
    text: "No patch with id {id} has been accepted",
  },
  patch_outcome_unknown: {
    category: "operator",
    status: 503,
    text: "The platform gave no answer, ask for patch {id} again",
  },
  platform_unavailable: {
    category: "operator",
    status: 503,
    text: "The platform's service does not answer, nothing was changed",
  },
  patch_id_reused: {
    category: "operator",
    status: 409,
    text: "Patch id {id} was used for version {version} with other content",
  },
  patch_base_old: {
    category: "operator",
    status: 409,
    text: "Base version {base} is older than version {oldest}, read it again",
  },
  patch_contended: {
    category: "operator",
    status: 503,
    text: "Other operators were faster {tries} times, nothing was changed",
  },
  admin_unreachable: {
    category: "operator",
    status: 0,
    text: "{address} does not answer: {reason}",
  },
  dry_run_unknown: {
    category: "operator",
    status: 404,
    text: "The configuration has no {kind} {name}",
  },
  dry_run_unsupported: {
    category: "operator",
    status: 0,
    text: "{address} has no route for dry runs; it may run an earlier version",
  },
  usage_invalid: {
    category: "settings",
    status: 0,
    text: "{argument} must be {expected}",
  },
  order_fenced: {
    category: "operator",
    status: 409,
    text: "A newer order quarantine the target",
  },
  settings_invalid: {
    category: "settings",
    status: 0,
    text: "{file}:{line}:{column}: {field} must be {expected}",
  },
  settings_unknown: {
    category: "settings",
    status: 0,
    text: "{file}:{line}:{column}: {field} is not a setting",
  },
  settings_missing: {
    category: "settings",
    status: 0,
    text: "{file}:{line}:{column}: {field} is missing, it must be {expected}",
  },
  settings_repeated: {
    category: "settings",
    status: 0,
    text: "{file}:{line}:{column}: {field} is given twice",
  },
  settings_syntax: {
    category: "settings",
    status: 0,
    text: "{file}:{line}:{column}: the text is not JSON: {reason}",
  },
  settings_unreadable: {
    category: "settings",
    status: 0,
    text: "{file}: the file cannot be read: {reason}",
  },
} as const satisfies Record<string, Diagnostic>;

/** The stable code of a diagnostic. */
export type DiagnosticCode = keyof typeof diagnostics;

/** A diagnostic code with the values of its placeholders. */
export interface Report {
  readonly code: DiagnosticCode;
  /** Values by placeholder name. */
  readonly values: Readonly<Record<string, string | number>>;
  /** Retry-after delay for the caller; 0 when a retry cannot help. */
  readonly retryAfterMs: number;
}

/** Returns true when the text is a diagnostic code. */
export function isDiagnosticCode(code: string): code is DiagnosticCode {
  return Object.hasOwn(diagnostics, code);
}

/** Returns the diagnostic of a code. */
export function getDiagnostic(code: DiagnosticCode): Diagnostic {
  return diagnostics[code];
}

/** Formats a report by replacing the placeholders in the diagnostic's text. */
export function formatReport({ code, values }: Report): string {
  return getDiagnostic(code).text.replace(
    /\{(\w+)\}/g,
    (_match, name: string) => String(values[name] ?? `{${name}}`),
  );
}

export function createReport(
  code: DiagnosticCode,
  values: Report["values"] = {},
  options: { readonly retryAfterMs?: number } = {},
): Report {
  return { code, values, retryAfterMs: options.retryAfterMs ?? 0 };
}
