/** Prints the fault matrix as Markdown. */

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

/** Marks in the order in which a cell shows them. */
const outcomeMarks: Readonly<Record<string, string>> = {
  done: "D",
  not_run: "N",
  unknown: "U",
  failed: "F",
};

/** Formats the page that the matrix writes. */
export function formatMatrixReport(
  observations: readonly Observation[],
  options: { readonly date: string; readonly seeds: string },
): string {
  const runs = observations.filter(({ wasInjected: hasStruck }) => hasStruck);
  const broken = runs.filter((each) => findViolations(each).length > 0);
  return [
    "# Fault matrix",
    "",
    "Written by `npm run matrix`. Each fault strikes at each step of a",
    "request's life, in memory and under paused time: two routers, three",
    "targets with agents, and the key-value service. A caller with an",
    "idempotency key asks again twice, through the other router.",
    "",
    `Date: ${options.date}. Seeds: ${options.seeds}.`,
    `Runs that were struck: ${runs.length}; broken: ${broken.length}.`,
    "",
    "A cell shows what the first caller was told over all seeds: D done, N not",
    "run, U unknown, F failed, - nothing because its router died. An empty cell",
    "was never reached: the request ended before its step, or has no such step.",
    "`broken` counts runs in which the referee found a promise broken.",
    "Pairs of faults are run for both kinds of calls that may not repeat and",
    "count in the runs above; they have no table of their own.",
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

/** Formats the runs of one cell: what the first caller was told. */
function formatCell(observations: readonly Observation[]): string {
  const runs = observations.filter(({ wasInjected: hasStruck }) => hasStruck);
  if (runs.length === 0) return "";
  const broken = runs.filter((each) => findViolations(each).length > 0);
  if (broken.length > 0) return `**broken ${broken.length}/${runs.length}**`;
  const marks = new Set(
    runs.map(({ callers }) => outcomeMarks[callers[0]?.outcome ?? ""] ?? "-"),
  );
  return [...marks].sort().join(" ");
}

/** Names a cell for a person. */
export function formatCellName(
  kind: RequestKind,
  step: Step,
  cellFaults: readonly Fault[],
): string {
  return `${kind}, ${cellFaults.join(" and ")} at ${step}`;
}
