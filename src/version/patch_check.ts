/** Checks the shape of a patch and reports all invalid fields at once. */

import { type Either, Left, Right } from "purify-ts";
import type { PatchDraft, PatchOperation } from "../types/configuration.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import {
  draftFields,
  type EntryField,
  type EntryFields,
  nameField,
  serviceFields,
  workspaceFields,
} from "./patch_fields.ts";

type JsonObject = Readonly<Record<string, unknown>>;

/** Maximum number of operations in one patch. */
export const maxOperations = 2_000;

/** Maximum length of a patch's text in characters; it must fit one value. */
export const maxPatchLength = 500_000;

/** Fields of the value of each kind of operation; deletions have none. */
const valueFields: Readonly<
  Record<PatchOperation["kind"], EntryFields | undefined>
> = {
  put_service: serviceFields,
  delete_service: undefined,
  put_workspace: workspaceFields,
  delete_workspace: undefined,
};

/**
 * Returns the patch with its fields in a fixed order, so that equal patches
 * have equal texts, or one report for each invalid field.
 */
export function checkDraft(
  value: unknown,
): Either<readonly Report[], PatchDraft> {
  const reports: Report[] = [];
  if (!isJsonObject(value)) {
    addReport("patch", "an object");
    return Left(reports);
  }
  const draft = parseFields(value, draftFields, "", ["operations"]);
  const operations = parseOperations(value["operations"]);
  if (reports.length > 0) return Left(reports);
  const checked = { ...draft, operations } as unknown as PatchDraft;
  if (JSON.stringify(checked).length > maxPatchLength) {
    addReport("operations", `under ${maxPatchLength} characters in all`);
    return Left(reports);
  }
  return Right(checked);

  function addReport(field: string, expected: string): void {
    reports.push(createReport("patch_invalid", { field, expected }));
  }

  function parseOperations(list: unknown): unknown[] {
    if (
      !Array.isArray(list) || list.length === 0 || list.length > maxOperations
    ) {
      addReport("operations", `a list of 1 to ${maxOperations} operations`);
      return [];
    }
    return list.map((operation, index) =>
      parseOperation(operation, `operations[${index}]`)
    );
  }

  function parseOperation(operation: unknown, path: string): unknown {
    if (!isJsonObject(operation)) {
      addReport(path, "an object");
      return undefined;
    }
    const kind = operation["kind"];
    if (typeof kind !== "string" || !Object.hasOwn(valueFields, kind)) {
      const kinds = Object.keys(valueFields).join(", ");
      addReport(`${path}.kind`, `one of ${kinds}`);
      return undefined;
    }
    const fields = valueFields[kind as PatchOperation["kind"]];
    const otherFields = fields === undefined ? ["kind"] : ["kind", "value"];
    const { name } = parseFields(
      operation,
      { name: nameField },
      `${path}.`,
      otherFields,
    );
    if (fields === undefined) return { kind, name };
    const entry = operation["value"];
    if (!isJsonObject(entry)) {
      addReport(`${path}.value`, "an object");
      return undefined;
    }
    return { kind, name, value: parseFields(entry, fields, `${path}.value.`) };
  }

  function parseFields(
    source: JsonObject,
    fields: EntryFields,
    prefix: string,
    otherFields: readonly string[] = [],
  ): JsonObject {
    const result: Record<string, unknown> = {};
    for (const [path, field] of Object.entries(fields)) {
      parseField(source, path, field);
    }
    reportUnknown(source, "");
    return result;

    function parseField(
      from: JsonObject,
      path: string,
      field: EntryField,
    ): void {
      const [group, name] = path.split(".");
      const parent = name === undefined ? from : from[group ?? ""];
      const key = name ?? path;
      const fieldValue = isJsonObject(parent) ? parent[key] : undefined;
      if (!field.accepts(fieldValue)) {
        addReport(`${prefix}${path}`, field.expected);
        return;
      }
      if (fieldValue === undefined) return;
      if (name === undefined) result[key] = fieldValue;
      else {
        const nested = (result[group ?? ""] ??= {}) as Record<string, unknown>;
        nested[key] = fieldValue;
      }
    }

    function reportUnknown(parent: JsonObject, group: string): void {
      for (const key of Object.keys(parent)) {
        const path = `${group}${key}`;
        if (Object.hasOwn(fields, path)) continue;
        if (group === "" && otherFields.includes(key)) continue;
        const isGroup = Object.keys(fields).some((field) =>
          field.startsWith(`${path}.`)
        );
        const child = parent[key];
        if (isGroup && isJsonObject(child)) reportUnknown(child, `${path}.`);
        else if (!isGroup) addReport(`${prefix}${path}`, "left out");
      }
    }
  }
}

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
