/** Ends of requests, built from the table of diagnostics. */

import { assertInvariant } from "../types/assert.ts";
import { getDiagnostic, type Report } from "../types/diagnostics.ts";
import type { Outcome } from "../types/outcome.ts";
import type { RequestEnd } from "../types/reply.ts";

/** Builds the end that a report stands for. */
export function createEnd(report: Report): RequestEnd {
  return { outcome: getOutcome(report), report };
}

/** The outcome that the table gives to a report. */
export function getOutcome(report: Report): Outcome {
  const { category } = getDiagnostic(report.code);
  assertInvariant(
    category !== "operator" && category !== "settings",
    `${report.code} is no end of a request`,
  );
  return category;
}
