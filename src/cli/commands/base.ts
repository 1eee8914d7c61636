/** Base classes of the commands. */

import { Command, Option } from "clipanion";
import { createReport, type Report } from "../../types/diagnostics.ts";
import {
  type AdminCallError,
  type AdminRequest,
  callAdmin,
} from "../admin_client.ts";
import { exitCodes } from "../exit_codes.ts";
import {
  type ErrorBody,
  toErrorBody,
  writeErrors,
  writeResult,
} from "../output.ts";

/** Admin address of a router that is called by default. */
export const defaultAdminAddress = "127.0.0.1:7300";

/** A command that prints text or JSON. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export abstract class OutputCommand extends Command {
  readonly json = Option.Boolean("--json", false, {
    description: "Print one JSON object on one line",
  });

  /** Writes the result of the command and returns the exit code. */
  protected writeResult(body: unknown, lines: readonly string[]): number {
    writeResult(this.context, { body, lines }, { isJson: this.json });
    return exitCodes.done;
  }

  /** Writes that an argument is invalid and returns the exit code. */
  protected writeArgumentError(argument: string, expected: string): number {
    return this.writeUsageErrors([
      createReport("usage_invalid", { argument, expected }),
    ]);
  }

  /** Writes errors in settings or arguments and returns the exit code. */
  protected writeUsageErrors(reports: readonly Report[]): number {
    const options = { isJson: this.json };
    writeErrors(this.context, reports.map(toErrorBody), options);
    return exitCodes.usage;
  }

  /** Calls a process, writes the formatted response, returns the exit code. */
  protected async callAndWrite(
    call: AdminRequest,
    format: (body: unknown) => readonly string[],
    describeErrors: (error: AdminCallError) => readonly ErrorBody[] = (
      { errors },
    ) => errors,
  ): Promise<number> {
    if (!/^.+:\d{1,5}$/.test(call.address)) {
      return this.writeArgumentError("The address", "ip:port");
    }
    const response = await callAdmin(call);
    return response.caseOf({
      Left: (error) => {
        const options = { isJson: this.json };
        writeErrors(this.context, describeErrors(error), options);
        return exitCodes[error.kind];
      },
      Right: (body) => this.writeResult(body, format(body)),
    });
  }
}

/** A command that calls a router; any router can serve it. */
// eslint-disable-next-line no-restricted-syntax
export abstract class RouterCommand extends OutputCommand {
  readonly router = Option.String("--router", defaultAdminAddress, {
    description: "Admin address of a router, ip:port",
  });
}

/** Returns indented JSON, for responses without a format of their own. */
export function formatJson(body: unknown): readonly string[] {
  return [JSON.stringify(body, undefined, 2)];
}
