/** Commands that read and change the configuration. */

import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { formatHistory, formatPatchDetails } from "../patch_format.ts";
import { formatJson, RouterCommand } from "./base.ts";

const category = "Configuration";

/** Prints the configuration or one entry. */
// Commands of clipanion are classes.
// eslint-disable-next-line no-restricted-syntax
export class GetCommand extends RouterCommand {
  static override readonly paths = [["config", "get"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Print the configuration in force",
    details: "Without --all, lists only the first workspaces.",
    examples: [
      ["Print the configuration", "$0 config get --router 10.0.0.7:7300"],
      ["Print one service", "$0 config get service chat"],
      ["Print one workspace", "$0 config get workspace studio-3"],
    ],
  });
  readonly all = Option.Boolean("--all", false, {
    description: "List all workspaces",
  });
  readonly entry = Option.Rest({ name: "entry" });

  async execute(): Promise<number> {
    const path = getEntryPath(this.entry, this.all);
    if (path === undefined) {
      return this.writeArgumentError(
        "The entry",
        '"service" or "workspace" and a name',
      );
    }
    const address = this.router;
    return await this.callAndWrite(
      { method: "GET", address, path },
      formatJson,
    );
  }
}

/** Submits a patch. */
// eslint-disable-next-line no-restricted-syntax
export class PatchCommand extends RouterCommand {
  static override readonly paths = [["config", "patch"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Submit a patch to the configuration",
    details: `
      The file holds one JSON object with id, operator, baseVersion and
      operations; "-" reads standard input. Each patch id is accepted only
      once: if the response is lost, submit the same file again or run
      "config show". Exit code 1 means that the patch was refused and nothing
      changed, 3 that the outcome is unknown.
    `,
    examples: [
      ["Submit a patch", "$0 config patch change.json"],
      ["Submit a patch from a pipe", "cat change.json | $0 config patch -"],
    ],
  });
  readonly file = Option.String({ name: "patch file" });

  async execute(): Promise<number> {
    const body = await tryReadJson(this.file, this.context.stdin);
    if (body === undefined) {
      return this.writeArgumentError(
        `The patch file ${this.file}`,
        "readable and valid JSON",
      );
    }
    return await this.callAndWrite({
      method: "POST",
      address: this.router,
      path: "/config/patches",
      body,
    }, (response) => {
      const { version, wasKnown } = response as AcceptedPatch;
      return [
        wasKnown
          ? `The patch was already accepted as version ${version}`
          : `The patch was accepted as version ${version}`,
      ];
    });
  }
}

/** Lists the latest patches. */
// eslint-disable-next-line no-restricted-syntax
export class HistoryCommand extends RouterCommand {
  static override readonly paths = [["config", "history"]];
  static override readonly usage = Command.Usage({
    category,
    description: "List the latest patches with their operators",
    examples: [["List 50 patches", "$0 config history --limit 50"]],
  });
  readonly limit = Option.String("--limit", "20", {
    description: "Maximum number of patches",
  });

  async execute(): Promise<number> {
    if (!/^[1-9]\d{0,4}$/.test(this.limit)) {
      return this.writeArgumentError("--limit", "a whole number above 0");
    }
    return await this.callAndWrite({
      method: "GET",
      address: this.router,
      path: `/config/history?limit=${this.limit}`,
    }, formatHistory);
  }
}

/** Shows an accepted patch. */
// eslint-disable-next-line no-restricted-syntax
export class ShowCommand extends RouterCommand {
  static override readonly paths = [["config", "show"]];
  static override readonly usage = Command.Usage({
    category,
    description: "Show an accepted patch by its id",
    examples: [["Show a patch", "$0 config show add-studio-3"]],
  });
  readonly patch = Option.String({ name: "patch id" });

  async execute(): Promise<number> {
    return await this.callAndWrite({
      method: "GET",
      address: this.router,
      path: `/config/patches/${encodeURIComponent(this.patch)}`,
    }, formatPatchDetails);
  }
}

/** Response to a submitted patch. */
interface AcceptedPatch {
  readonly version: number;
  /** True when the same patch had already been accepted. */
  readonly wasKnown: boolean;
}

/** Returns the admin path of an entry; undefined for invalid arguments. */
function getEntryPath(
  entry: readonly string[],
  all: boolean,
): string | undefined {
  const [group, name, ...rest] = entry;
  if (group === undefined) return all ? "/config?all=true" : "/config";
  if (name === undefined || rest.length > 0) return undefined;
  if (group !== "service" && group !== "workspace") return undefined;
  return `/config/${group}s/${encodeURIComponent(name)}`;
}

/** Reads JSON from a file or standard input; undefined when that fails. */
async function tryReadJson(
  file: string,
  stdin: NodeJS.ReadableStream,
): Promise<unknown> {
  try {
    const text = file === "-" ? await readAll(stdin) : await readFile(file);
    return JSON.parse(text.toString());
  } catch {
    return undefined;
  }
}

async function readAll(stream: NodeJS.ReadableStream): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) chunks.push(Buffer.from(chunk));
  return Buffer.concat(chunks).toString();
}
