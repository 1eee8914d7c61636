/** Registers all commands and runs the command line. */

import { type BaseContext, Builtins, Cli } from "clipanion";
import {
  GetCommand,
  HistoryCommand,
  PatchCommand,
  ShowCommand,
} from "./commands/configuration.ts";
import { DryRunCommand } from "./commands/dry_run.ts";
import { ExplainCommand } from "./commands/explain.ts";
import { DiffCommand, WatchCommand } from "./commands/configuration_changes.ts";
import {
  DrainCommand,
  DumpCommand,
  OrderCommand,
  StatusCommand,
} from "./commands/operate.ts";
import {
  CheckCommand,
  RunAgentCommand,
  RunRouterCommand,
} from "./commands/run.ts";
import { exitCodes } from "./exit_codes.ts";

/** The version that the command line prints. */
const productVersion = "0.1.0";

const commands = [
  RunRouterCommand,
  RunAgentCommand,
  CheckCommand,
  GetCommand,
  PatchCommand,
  WatchCommand,
  HistoryCommand,
  DiffCommand,
  ShowCommand,
  StatusCommand,
  DumpCommand,
  DrainCommand,
  OrderCommand,
  ExplainCommand,
  DryRunCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

/** Creates the command line with all commands. */
export function createCli(): Cli<BaseContext> {
  const cli = new Cli<BaseContext>({
    binaryLabel: "mimosatray",
    binaryName: "mimosatray",
    binaryVersion: productVersion,
    enableColors: false,
  });
  commands.forEach((command) => cli.register(command));
  return cli;
}

/** Runs one command and returns its exit code; reports usage errors. */
export async function runCli(
  argv: readonly string[],
  context: BaseContext,
): Promise<number> {
  const cli = createCli();
  try {
    const command = cli.process([...argv], context);
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(cli.error(error));
    return exitCodes.usage;
  }
}
