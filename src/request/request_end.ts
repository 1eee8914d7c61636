/** Builds the ends of requests from the table of diagnostics. */

import { assertInvariant } from "../types/assert.ts";
import { getDiagnostic, type Report } from "../types/diagnostics.ts";
import type { Outcome } from "../types/outcome.ts";
import type { RequestEnd } from "../types/reply.ts";

/** Returns the end of a request with the outcome of its report. */
export function createEnd(report: Report): RequestEnd {
  return { outcome: getOutcome(report), report };
}

/** Returns the outcome of a report, from the table of diagnostics. */
export function getOutcome(report: Report): Outcome {
  const { category } = getDiagnostic(report.code);
  assertInvariant(
    category !== "operator" && category !== "settings",
    `${report.code} is not the end of a request`,
  );
  return category;
}
