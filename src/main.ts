/** Entry point of the `mimosatray` binary. */

import { Cli } from "clipanion";
import { runCli } from "./cli/cli.ts";

/** Runs the command line and exits with its exit code. */
async function main(): Promise<void> {
  const argv = process.argv.slice(2);
  const exitCode = await runCli(argv, Cli.defaultContext);
  process.exit(exitCode);
}

void main();
