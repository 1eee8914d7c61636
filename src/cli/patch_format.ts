/** Formats patches as lines of text. */

import type { PatchOperation } from "../types/configuration.ts";
import { formatTable } from "./output.ts";

/** A patch in the format of the admin listener. */
export interface ListedPatch {
  readonly version: number;
  readonly id: string;
  readonly operator: string;
  readonly acceptedAt: number;
  readonly entries: readonly string[];
  readonly operations?: readonly PatchOperation[];
}

/** Maximum number of entries listed in one row of the history. */
const maxListedEntries = 3;

/** Formats the response of `/config/history`. */
export function formatHistory(body: unknown): readonly string[] {
  const { patches } = body as { readonly patches: readonly ListedPatch[] };
  const header = ["VERSION", "ACCEPTED", "OPERATOR", "ID", "ENTRIES"];
  return formatTable([header, ...patches.map(toRow)]);
}

/** Formats one patch with its operations. */
export function formatPatchDetails(body: unknown): readonly string[] {
  const patch = body as ListedPatch;
  return [
    `Version   ${patch.version}`,
    `Id        ${patch.id}`,
    `Operator  ${patch.operator}`,
    `Accepted  ${formatTime(patch.acceptedAt)}`,
    ...(patch.operations === undefined
      ? patch.entries.map((entry) => `Changed   ${entry}`)
      : patch.operations.map(formatOperation)),
  ];
}

/** Formats an operation as one line. */
export function formatOperation(operation: PatchOperation): string {
  switch (operation.kind) {
    case "put_service":
    case "put_workspace":
      return `+ ${getGroup(operation)} ${operation.name} ${
        JSON.stringify(operation.value)
      }`;
    case "delete_service":
    case "delete_workspace":
      return `- ${getGroup(operation)} ${operation.name}`;
  }
}

function toRow(patch: ListedPatch): readonly string[] {
  const listedEntries = patch.entries.slice(0, maxListedEntries).join(", ");
  const remaining = patch.entries.length - maxListedEntries;
  return [
    String(patch.version),
    formatTime(patch.acceptedAt),
    patch.operator,
    patch.id,
    remaining > 0 ? `${listedEntries} and ${remaining} more` : listedEntries,
  ];
}

function getGroup(operation: PatchOperation): string {
  return operation.kind.endsWith("service") ? "service" : "workspace";
}

function formatTime(time: number): string {
  return new Date(time).toISOString();
}
