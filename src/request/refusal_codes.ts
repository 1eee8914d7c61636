/** What the codes of refusals mean for the next attempt. */

import type { DiagnosticCode } from "../types/diagnostics.ts";

/**
 * Refusals that cost a target nothing. The next target is tried at once, and no
 * retry is spent.
 */
export const unbudgetedRefusals: ReadonlySet<DiagnosticCode> = new Set([
  "target_full",
  "context_not_held",
  "queue_wait_too_long",
  "target_leaving",
  "wrong_incarnation",
]);

/** Refusals that hold for every target. */
export const finalRefusals: ReadonlySet<DiagnosticCode> = new Set([
  "request_quarantined",
  "deadline_passed",
]);
