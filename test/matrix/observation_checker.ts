/** A trivial referee: what each caller may be told, given what really ran. */

import { type CallerResult, isChatKind, type Observation } from "./types.ts";

/** Returns what is wrong with one run; empty when every promise was kept. */
export function findViolations(observation: Observation): string[] {
  const { cell, callers, drafts } = observation;
  const violations = callers.flatMap((caller) => [
    ...findMissingEnd(caller),
    ...findResponseViolations(caller, drafts),
    ...findNotRunViolations(caller, cell.kind === "call_keyed"),
  ]);
  const isRetryable = isChatKind(cell.kind) || cell.kind === "call_repeatable";
  if (!isRetryable && drafts.length > 1) {
    violations.push(`ran ${drafts.length} times`);
  }
  return violations;
}

function findMissingEnd(caller: CallerResult): string[] {
  if (caller.outcome !== undefined || caller.hasRouterCrashed) return [];
  return [`${caller.requestId} was told nothing`];
}

/** A done answer is one whole draft; any other is the beginning of one. */
function findResponseViolations(
  { requestId, outcome, text }: CallerResult,
  drafts: readonly string[],
): string[] {
  if (outcome === "done") {
    return drafts.includes(text) ? [] : [`${requestId} got "${text}" as whole`];
  }
  const isPrefix = drafts.some((draft) => draft.startsWith(text));
  if (text !== "" && !isPrefix) {
    return [`${requestId} got a splice: ${text}`];
  }
  return text.includes("[DONE]") ? [`${requestId} got an end marker`] : [];
}

function findNotRunViolations(
  caller: CallerResult,
  isKeyed: boolean,
): string[] {
  if (caller.outcome !== "not_run") return [];
  if (caller.ownRuns > 0) return [`${caller.requestId} ran, told not run`];
  if (isKeyed && caller.runsAtEnd > 0) {
    return [`the key had run when ${caller.requestId} was told not run`];
  }
  return [];
}
