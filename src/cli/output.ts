/** Writes the results and errors of a command. */

import type { BaseContext } from "clipanion";
import { formatReport, type Report } from "../types/diagnostics.ts";

/** One error in the format of the admin listener. */
export interface ErrorBody {
  readonly code: string;
  readonly message: string;
  readonly values?: Report["values"];
  readonly retryAfterMs?: number;
}

/** Options of commands that print. */
export interface OutputOptions {
  /** True for one JSON object on one line instead of text. */
  readonly isJson: boolean;
}

/** Converts a report to the format in which errors are sent. */
export function toErrorBody(report: Report): ErrorBody {
  const { code, values, retryAfterMs } = report;
  return { code, message: formatReport(report), values, retryAfterMs };
}

/** Writes errors to standard error, or as JSON to standard output. */
export function writeErrors(
  context: Pick<BaseContext, "stdout" | "stderr">,
  errors: readonly ErrorBody[],
  options: OutputOptions,
): void {
  if (options.isJson) {
    context.stdout.write(`${JSON.stringify({ errors })}\n`);
    return;
  }
  for (const { code, message } of errors) {
    context.stderr.write(`${message} (${code})\n`);
  }
}

/** Writes a result: JSON on one line, or lines of text. */
export function writeResult(
  context: Pick<BaseContext, "stdout">,
  result: { readonly body: unknown; readonly lines: readonly string[] },
  options: OutputOptions,
): void {
  const text = options.isJson
    ? JSON.stringify(result.body)
    : result.lines.join("\n");
  if (text.length > 0) context.stdout.write(`${text}\n`);
}

/** Formats rows as columns that are as wide as their widest cell. */
export function formatTable(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
}
