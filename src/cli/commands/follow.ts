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

/** Time between two looks, in milliseconds. */
const pollMs = 500;

/** Patches asked for in one look. */
const patchesPerLook = 100;

/** Most patches that one comparison covers. */
const maxCompared = 1_000;

interface History {
  readonly version: number;
  readonly patches: readonly ListedPatch[];
}

/** Prints patches as they come into force. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class WatchCommand extends RouterCommand {
  static override readonly paths = [["config", "watch"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Print patches as they come into force at a router",
    details: "Runs until it is interrupted, or until --count patches came.",
    examples: [["Wait for one patch", "$0 config watch --count 1"]],
  });
  readonly count = Option.String("--count", {
    description: "End after this number of patches",
  });

  async execute(): Promise<number> {
    if (this.count !== undefined && !/^[1-9]\d{0,8}$/.test(this.count)) {
      return this.refuseArgument("--count", "a whole number above 0");
    }
    const wanted = Number(this.count ?? Number.POSITIVE_INFINITY);
    let seenVersion: number | undefined;
    for (let printed = 0; printed < wanted;) {
      const read = await readHistory(this.router, patchesPerLook);
      if ("errors" in read) return writeFailure(this, read);
      const after = seenVersion ?? read.version;
      const fresh = read.patches
        .filter((patch) => patch.version > after)
        .reverse()
        .slice(0, wanted - printed);
      fresh.forEach((patch) => this.print(patch));
      printed += fresh.length;
      seenVersion = read.version;
      await sleep(pollMs);
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
      Prints the last operation on each entry after the first version, up to
      the second or the newest one.
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
      return this.refuseArgument("A version", "a whole number");
    }
    const read = await readHistory(this.router, maxCompared);
    if ("errors" in read) return writeFailure(this, read);
    const from = Number(this.from);
    const to = this.to === undefined ? read.version : Number(this.to);
    const between = read.patches
      .filter(({ version }) => version > from && version <= to);
    if (between.length !== Math.max(0, Math.min(to, read.version) - from)) {
      return this.refuseArgument("from version", "within the kept history");
    }
    return await this.writeChanges(between.reverse(), { from, to });
  }

  private async writeChanges(
    patches: readonly ListedPatch[],
    range: { readonly from: number; readonly to: number },
  ): Promise<number> {
    const changes = new Map<string, string>();
    for (const listed of patches) {
      const address = this.router;
      const path = `/config/patches/${encodeURIComponent(listed.id)}`;
      const answer = await callAdmin({ method: "GET", address, path });
      const details = answer.map((body) => body as ListedPatch)
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

async function readHistory(
  address: string,
  limit: number,
): Promise<History | AdminCallError> {
  const path = `/config/history?limit=${limit}`;
  const answer = await callAdmin({ method: "GET", address, path });
  return answer.caseOf<History | AdminCallError>({
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
