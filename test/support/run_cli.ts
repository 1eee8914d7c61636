/** Runs commands of the CLI inside the test process. */

import { PassThrough } from "node:stream";
import { Cli } from "clipanion";
import { runCli } from "../../src/cli/cli.ts";

/** Exit code and output of a command. */
export interface CliResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs one command with the given standard input. */
export async function runCommand(
  argv: readonly string[],
  stdin = "",
): Promise<CliResult> {
  const input = new PassThrough();
  const output = new PassThrough();
  const errors = new PassThrough();
  input.end(stdin);
  const exitCode = await runCli(argv, {
    ...Cli.defaultContext,
    stdin: input,
    stdout: output,
    stderr: errors,
    colorDepth: 1,
  });
  return { exitCode, stdout: readAll(output), stderr: readAll(errors) };
}

/** Formats a command and its output as a terminal shows them. */
export function formatTranscript(
  argv: readonly string[],
  result: CliResult,
): string {
  return `$ mimosatray ${argv.join(" ")}\n${result.stdout}${result.stderr}` +
    `exit ${result.exitCode}\n\n`;
}

function readAll(stream: PassThrough): string {
  const data = stream.read() as Buffer | null;
  return data === null ? "" : data.toString();
}
