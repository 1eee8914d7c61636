/** A trivial referee: what each caller may be told, given what really ran. */

import { type CallerView, isChatKind, type Observation } from "./shapes.ts";

/** Returns what is wrong with one run; empty when every promise was kept. */
export function findBrokenPromises(observation: Observation): string[] {
  const { cell, callers, drafts } = observation;
  const broken = callers.flatMap((caller) => [
    ...findUntold(caller),
    ...findFalseAnswers(caller, drafts),
    ...findFalseNotRun(caller, cell.kind === "call_keyed"),
  ]);
  const mayRepeat = isChatKind(cell.kind) || cell.kind === "call_repeatable";
  if (!mayRepeat && drafts.length > 1) {
    broken.push(`ran ${drafts.length} times`);
  }
  return broken;
}

function findUntold(caller: CallerView): string[] {
  if (caller.outcome !== undefined || caller.hasRouterDied) return [];
  return [`${caller.requestId} was told nothing`];
}

/** A done answer is one whole draft; any other is the beginning of one. */
function findFalseAnswers(
  { requestId, outcome, text }: CallerView,
  drafts: readonly string[],
): string[] {
  if (outcome === "done") {
    return drafts.includes(text) ? [] : [`${requestId} got "${text}" as whole`];
  }
  const isBeginning = drafts.some((draft) => draft.startsWith(text));
  if (text !== "" && !isBeginning) {
    return [`${requestId} got a splice: ${text}`];
  }
  return text.includes("[DONE]") ? [`${requestId} got an end marker`] : [];
}

function findFalseNotRun(caller: CallerView, isKeyed: boolean): string[] {
  if (caller.outcome !== "not_run") return [];
  if (caller.ownRuns > 0) return [`${caller.requestId} ran, told not run`];
  if (isKeyed && caller.runsWhenTold > 0) {
    return [`the key had run when ${caller.requestId} was told not run`];
  }
  return [];
}
