/** Commands that run a role or check its settings. */

import { Command, Option } from "clipanion";
import {
  createLog,
  createStandardErrorHost,
} from "../../process/telemetry/log.ts";
import { startProcess } from "../../roles/process.ts";
import { createReport } from "../../types/diagnostics.ts";
import type { Settings } from "../../types/settings.ts";
import { exitCodes } from "../exit_codes.ts";
import { readSettingsFile } from "../settings_file.ts";
import { waitForSignal } from "../signals.ts";
import { waitForTooManyErrors } from "../unexpected_errors.ts";
import { OutputCommand } from "./base.ts";

/** Never settles: a process that has joined runs until a signal stops it. */
const neverSettles = new Promise<never>(() => undefined);

// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
abstract class RoleCommand extends OutputCommand {
  readonly file = Option.String({ name: "settings file" });
  protected abstract readonly role: Settings["role"];

  async execute(): Promise<number> {
    const parsed = await readSettingsFile(this.file);
    return await parsed.caseOf<number | Promise<number>>({
      Left: (reports) => this.writeUsageErrors(reports),
      Right: (settings) => this.run(settings),
    });
  }

  private async run(settings: Settings): Promise<number> {
    if (settings.role !== this.role) {
      const values = {
        file: this.file,
        line: 1,
        column: 1,
        field: "role",
        expected: JSON.stringify(this.role),
      };
      return this.writeUsageErrors([createReport("settings_invalid", values)]);
    }
    const log = createLog(createStandardErrorHost(), {
      level: settings.logLevel,
      fields: { process: settings.id, role: settings.role },
    });
    try {
      const running = await startProcess(settings, { log });
      const reason = await Promise.race([
        waitForSignal(log),
        waitForTooManyErrors(log),
        running.joined.then(() => neverSettles),
      ]);
      await running.stop(reason);
      return reason === "unexpected_errors" ? exitCodes.failed : exitCodes.done;
    } catch (error) {
      log.error("Process could not start", { reason: String(error) });
      return exitCodes.failed;
    }
  }
}

/** Runs a router. */
// eslint-disable-next-line no-restricted-syntax
export class RunRouterCommand extends RoleCommand {
  static override readonly paths = [["router"]];
  static override readonly usage = Command.Usage({
    category: "Roles",
    description: "Run a router on an entry VM",
    details: `
      Accepts callers' requests and routes them to targets. Shuts down
      gracefully on SIGTERM or SIGINT within the setting shutdownMs; a second
      SIGINT exits immediately. Logs are JSON lines on standard error.
    `,
    examples: [["Run a router", "$0 router /etc/mimosatray/router.jsonc"]],
  });
  protected readonly role = "router";
}

/** Runs an agent. */
// eslint-disable-next-line no-restricted-syntax
export class RunAgentCommand extends RoleCommand {
  static override readonly paths = [["agent"]];
  static override readonly usage = Command.Usage({
    category: "Roles",
    description: "Run an agent beside a target",
    details: `
      Admits, queues and executes the requests to one target. Shuts down
      gracefully on SIGTERM or SIGINT within the setting shutdownMs; a second
      SIGINT exits immediately. Logs are JSON lines on standard error.
    `,
    examples: [["Run an agent", "$0 agent /etc/mimosatray/agent.jsonc"]],
  });
  protected readonly role = "agent";
}

/** Checks a settings file. */
// eslint-disable-next-line no-restricted-syntax
export class CheckCommand extends OutputCommand {
  static override readonly paths = [["check"]];
  static override readonly usage = Command.Usage({
    category: "Roles",
    description: "Check a settings file",
    details: `
      Reports all invalid, missing, repeated and unknown settings with line and
      column. Exits with code 2 if there are any.
    `,
    examples: [["Check a file", "$0 check /etc/mimosatray/router.jsonc"]],
  });
  readonly file = Option.String({ name: "settings file" });

  async execute(): Promise<number> {
    const parsed = await readSettingsFile(this.file);
    return parsed.caseOf({
      Left: (reports) => this.writeUsageErrors(reports),
      Right: (settings) =>
        this.writeResult({ file: this.file, settings }, [
          `${this.file}: settings of ${settings.role} ${settings.id} are valid`,
        ]),
    });
  }
}
