/** Commands that show how the configuration changes. */

import { Command, Option } from "clipanion";
import { type AdminCallError, callAdmin } from "../admin_client.ts";
import { exitCodes } from "../exit_codes.ts";
import { writeErrors } from "../output.ts";
import {
  formatHistory,
  formatOperation,
  type ListedPatch,
} from "../patch_format.ts";
import { RouterCommand } from "./base.ts";

const category = "Configuration";

/** Time between two polls of the history, in milliseconds. */
const pollIntervalMs = 500;

/** Number of latest patches that one poll requests. */
const patchesPerPoll = 100;

/** Maximum number of patches that a comparison covers. */
const maxComparedPatches = 1_000;

/** Response of `/config/history`, the latest patch first. */
interface History {
  readonly version: number;
  readonly patches: readonly ListedPatch[];
}

/** Polls the history and prints new patches. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class WatchCommand extends RouterCommand {
  static override readonly paths = [["config", "watch"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Print patches as they come into force at a router",
    details: "Runs until interrupted or until it has printed --count patches.",
    examples: [["Wait for one patch", "$0 config watch --count 1"]],
  });
  readonly count = Option.String("--count", {
    description: "End after this number of patches",
  });

  async execute(): Promise<number> {
    if (this.count !== undefined && !/^[1-9]\d{0,8}$/.test(this.count)) {
      return this.writeArgumentError("--count", "a whole number above 0");
    }
    const maxPrinted = Number(this.count ?? Number.POSITIVE_INFINITY);
    let seenVersion: number | undefined;
    for (let printed = 0; printed < maxPrinted;) {
      const fetched = await fetchHistory(this.router, patchesPerPoll);
      if ("errors" in fetched) return writeFailure(this, fetched);
      const after = seenVersion ?? fetched.version;
      const newPatches = fetched.patches
        .filter((patch) => patch.version > after)
        .reverse()
        .slice(0, maxPrinted - printed);
      newPatches.forEach((patch) => this.print(patch));
      printed += newPatches.length;
      seenVersion = fetched.version;
      await sleep(pollIntervalMs);
    }
    return exitCodes.done;
  }

  private print(patch: ListedPatch): void {
    const lines = formatHistory({ patches: [patch] }).slice(1);
    this.writeResult(patch, lines);
  }
}

/** Shows what changed between two versions. */
// eslint-disable-next-line no-restricted-syntax
export class DiffCommand extends RouterCommand {
  static override readonly paths = [["config", "diff"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Show what changed between two versions",
    details: `
      Prints the last operation on each entry that was changed after the first
      version, up to the second version or, without it, the latest.
    `,
    examples: [
      ["Show the changes after version 120", "$0 config diff 120"],
      ["Show the changes between two versions", "$0 config diff 120 125"],
    ],
  });
  readonly from = Option.String({ name: "from version" });
  readonly to = Option.String({ name: "to version", required: false });

  async execute(): Promise<number> {
    const versions = [this.from, this.to ?? "0"];
    if (!versions.every((version) => /^\d{1,15}$/.test(version))) {
      return this.writeArgumentError("A version", "a whole number");
    }
    const fetched = await fetchHistory(this.router, maxComparedPatches);
    if ("errors" in fetched) return writeFailure(this, fetched);
    const from = Number(this.from);
    const to = this.to === undefined ? fetched.version : Number(this.to);
    const selected = fetched.patches
      .filter(({ version }) => version > from && version <= to);
    if (selected.length !== Math.max(0, Math.min(to, fetched.version) - from)) {
      return this.writeArgumentError(
        "from version",
        "within the retained history",
      );
    }
    return await this.writeChanges(selected.reverse(), { from, to });
  }

  private async writeChanges(
    patches: readonly ListedPatch[],
    range: { readonly from: number; readonly to: number },
  ): Promise<number> {
    const changes = new Map<string, string>();
    for (const listed of patches) {
      const address = this.router;
      const path = `/config/patches/${encodeURIComponent(listed.id)}`;
      const response = await callAdmin({ method: "GET", address, path });
      const details = response.map((body) => body as ListedPatch)
        .orDefault(listed);
      listed.entries.forEach((entry, index) => {
        const operation = details.operations?.[index];
        const line = operation === undefined
          ? `? ${entry}`
          : formatOperation(operation);
        changes.set(entry, `${line} (version ${listed.version})`);
      });
    }
    const body = { ...range, changes: Object.fromEntries(changes) };
    return this.writeResult(body, [...changes.values()]);
  }
}

async function fetchHistory(
  address: string,
  limit: number,
): Promise<History | AdminCallError> {
  const path = `/config/history?limit=${limit}`;
  const response = await callAdmin({ method: "GET", address, path });
  return response.caseOf<History | AdminCallError>({
    Left: (error) => error,
    Right: (body) => body as History,
  });
}

function writeFailure(command: RouterCommand, error: AdminCallError): number {
  writeErrors(command.context, error.errors, { isJson: command.json });
  return exitCodes[error.kind];
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
