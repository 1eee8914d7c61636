/** What all commands that call a running process share. */

import { Command, Option } from "clipanion";
import { createReport, type Report } from "../../types/diagnostics.ts";
import { type AdminRequest, callAdmin } from "../admin_client.ts";
import { exitCodes } from "../exit_codes.ts";
import { toErrorBody, writeErrors, writeResult } from "../output.ts";

/** Address that is called when no other is given. */
export const defaultAdminAddress = "127.0.0.1:7300";

/** A command with the choice between text and JSON. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export abstract class OutputCommand extends Command {
  readonly json = Option.Boolean("--json", false, {
    description: "Print one JSON object on one line",
  });

  /** Writes the result of the command. */
  protected writeResult(body: unknown, lines: readonly string[]): number {
    writeResult(this.context, { body, lines }, { isJson: this.json });
    return exitCodes.done;
  }

  /** Writes that an argument is wrong. */
  protected writeArgumentError(argument: string, expected: string): number {
    return this.writeUsageErrors([
      createReport("usage_invalid", { argument, expected }),
    ]);
  }

  /** Writes faults of settings or arguments. */
  protected writeUsageErrors(reports: readonly Report[]): number {
    const options = { isJson: this.json };
    writeErrors(this.context, reports.map(toErrorBody), options);
    return exitCodes.usage;
  }

  /** Calls a process and writes what `format` makes of its answer. */
  protected async callAndWrite(
    call: AdminRequest,
    format: (body: unknown) => readonly string[],
  ): Promise<number> {
    if (!/^.+:\d{1,5}$/.test(call.address)) {
      return this.writeArgumentError("The address", "ip:port");
    }
    const response = await callAdmin(call);
    return response.caseOf({
      Left: (error) => {
        writeErrors(this.context, error.errors, { isJson: this.json });
        return exitCodes[error.kind];
      },
      Right: (body) => this.writeResult(body, format(body)),
    });
  }
}

/** A command that goes to any router. */
// eslint-disable-next-line no-restricted-syntax
export abstract class RouterCommand extends OutputCommand {
  readonly router = Option.String("--router", defaultAdminAddress, {
    description: "Admin address of a router, ip:port",
  });
}

/** Returns indented JSON, for answers that have no other form. */
export function formatJson(body: unknown): readonly string[] {
  return [JSON.stringify(body, undefined, 2)];
}
