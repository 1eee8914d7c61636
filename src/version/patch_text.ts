/** Formats and parses the keys and texts of patches in the platform's store. */

import type { Patch, PatchOperation } from "../types/configuration.ts";

/** Prefix of the keys of the patch log. */
export const patchKeyPrefix = "config/patch/";

/** Prefix of the keys of snapshot parts. */
export const snapshotKeyPrefix = "config/snapshot/";

/** Key of the head, which names the newest complete snapshot. */
export const snapshotHeadKey = "config/head";

/** Number of digits of a version in a key, so that keys sort by version. */
const versionDigits = 12;

/** Returns a version in the zero-padded form that keys have. */
export function formatVersion(version: number): string {
  return String(version).padStart(versionDigits, "0");
}

/** Returns the key of the patch that creates a version. */
export function getPatchKey(version: number): string {
  return `${patchKeyPrefix}${formatVersion(version)}`;
}

/** Returns the key of one part of a snapshot. */
export function getPartKey(version: number, part: number): string {
  return `${snapshotKeyPrefix}${formatVersion(version)}/${
    String(part).padStart(4, "0")
  }`;
}

/** Returns the version in the key of a patch or a snapshot part. */
export function getKeyVersion(key: string): number {
  return Number(key.split("/")[2]);
}

/** Returns a patch with its fields in the order in which they are written. */
export function normalizePatch(patch: Patch): Patch {
  return {
    version: patch.version,
    id: patch.id,
    operator: patch.operator,
    baseVersion: patch.baseVersion,
    acceptedAt: patch.acceptedAt,
    operations: patch.operations,
  };
}

/** Returns the text of a patch; equal patches have equal texts. */
export function formatPatch(patch: Patch): string {
  return JSON.stringify(normalizePatch(patch));
}

/** Parses the text of a patch; returns undefined when it is not valid. */
export function tryParsePatch(text: string): Patch | undefined {
  try {
    const value = JSON.parse(text) as Partial<Patch> | null;
    const isPatch = Number.isInteger(value?.version) &&
      typeof value?.id === "string" &&
      typeof value.operator === "string" &&
      Array.isArray(value.operations);
    return isPatch ? value as Patch : undefined;
  } catch {
    return undefined;
  }
}

/** Returns the name of the entry that an operation changes. */
export function getEntryName(operation: PatchOperation): string {
  switch (operation.kind) {
    case "put_service":
    case "delete_service":
      return `service ${operation.name}`;
    case "put_workspace":
    case "delete_workspace":
      return `workspace ${operation.name}`;
  }
}
