/** Formats the results of the fault matrix as Markdown. */

import { findViolations } from "./observation_checker.ts";
import {
  type Fault,
  faults,
  type Observation,
  type RequestKind,
  requestKinds,
  type Step,
  steps,
} from "./types.ts";

/** Mark of each outcome in a table cell. */
const outcomeMarks: Readonly<Record<string, string>> = {
  done: "D",
  not_run: "N",
  unknown: "U",
  failed: "F",
};

/** Formats the report: the totals, and a table for each kind of request. */
export function formatMatrixReport(
  observations: readonly Observation[],
  options: { readonly date: string; readonly seeds: string },
): string {
  const runs = observations.filter(({ wasInjected }) => wasInjected);
  const broken = runs.filter((each) => findViolations(each).length > 0);
  return [
    "# Fault matrix",
    "",
    "Written by `npm run matrix`. Each fault is injected at each step of a",
    "request's life, in memory and with fake timers: two routers, three",
    "targets with agents, and the key-value service. A caller with an",
    "idempotency key retries twice, through the other router.",
    "",
    `Date: ${options.date}. Seeds: ${options.seeds}.`,
    `Runs with injected faults: ${runs.length}; broken: ${broken.length}.`,
    "",
    "A cell shows the outcomes of the first caller over all seeds: D done,",
    "N not run, U unknown, F failed, - none because its router crashed. It is",
    "empty when the request ended before the step, or has no such step.",
    "`broken` counts runs in which a guarantee was broken.",
    "Pairs of faults are run for both kinds of calls that must not run twice.",
    "They count in the totals above and have no table of their own.",
    "",
    formatTables(observations),
    "",
  ].join("\n");
}

/** Formats one table for each kind of request. */
function formatTables(observations: readonly Observation[]): string {
  return requestKinds
    .map((kind) => formatTable(kind, observations))
    .join("\n\n");
}

function formatTable(
  kind: RequestKind,
  observations: readonly Observation[],
): string {
  const rows = faults.map((fault) => {
    const cells = steps.map((step) =>
      formatCell(
        observations.filter(({ cell }) =>
          cell.kind === kind && cell.step === step &&
          cell.faults.length === 1 && cell.faults[0] === fault
        ),
      )
    );
    return `| ${fault} | ${cells.join(" | ")} |`;
  });
  return [
    `### ${kind}`,
    "",
    `| fault | ${steps.join(" | ")} |`,
    `| --- |${" --- |".repeat(steps.length)}`,
    ...rows,
  ].join("\n");
}

/** Formats the first caller's outcomes, or the count of broken runs. */
function formatCell(observations: readonly Observation[]): string {
  const runs = observations.filter(({ wasInjected }) => wasInjected);
  if (runs.length === 0) return "";
  const broken = runs.filter((each) => findViolations(each).length > 0);
  if (broken.length > 0) return `**broken ${broken.length}/${runs.length}**`;
  const marks = new Set(
    runs.map(({ callers }) => outcomeMarks[callers[0]?.outcome ?? ""] ?? "-"),
  );
  return [...marks].sort().join(" ");
}

/** Formats the coordinates of a cell for a failure message. */
export function formatCellName(
  kind: RequestKind,
  step: Step,
  cellFaults: readonly Fault[],
): string {
  return `${kind}, ${cellFaults.join(" and ")} at ${step}`;
}
