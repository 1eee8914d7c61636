/** Parses settings from JSON with comments and reports all errors at once. */

import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";
import {
  createReport,
  type DiagnosticCode,
  type Report,
} from "../../types/diagnostics.ts";
import type { Settings } from "../../types/settings.ts";
import {
  type SettingFields,
  settingFields,
  sharedSettingFields,
} from "./settings_fields.ts";

/** A position in a file; line and column are counted from 1. */
interface Position {
  readonly line: number;
  readonly column: number;
}

/**
 * Parses the text of a settings file. Returns the settings, or reports of all
 * errors in order of their position.
 */
export function parseSettings(
  text: string,
  options: { readonly file: string },
): Either<readonly Report[], Settings> {
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  const reports: { readonly offset: number; readonly report: Report }[] = [];

  for (const error of syntaxErrors) {
    const reason = printParseErrorCode(error.error);
    addReport("settings_syntax", error.offset, { reason });
  }
  if (syntaxErrors.length > 0) return Left(getReports());
  if (root?.type !== "object") {
    addReport("settings_invalid", root?.offset ?? 0, {
      field: "the file",
      expected: "an object of settings",
    });
    return Left(getReports());
  }

  const fields = getRoleFields(root);
  checkNames(root, "");
  const values: Record<string, unknown> = {};
  for (const path of Object.keys(fields)) readField(root, path);
  return reports.length > 0
    ? Left(getReports())
    : Right(values as unknown as Settings);

  function addReport(
    code: DiagnosticCode,
    offset: number,
    detail: Readonly<Record<string, string>>,
  ): void {
    const position = getPosition(text, offset);
    const report = createReport(code, {
      file: options.file,
      ...position,
      ...detail,
    });
    reports.push({ offset, report });
  }

  function getReports(): readonly Report[] {
    return reports
      .sort((left, right) => left.offset - right.offset)
      .map((entry) => entry.report);
  }

  /** Reports names that are not settings or that are given twice. */
  function checkNames(node: Node, prefix: string): void {
    const seen = new Set<string>();
    for (const property of node.children ?? []) {
      const [nameNode, valueNode] = property.children ?? [];
      const path = `${prefix}${String(nameNode?.value)}`;
      if (seen.has(path)) {
        addReport("settings_repeated", property.offset, { field: path });
      }
      seen.add(path);
      if (Object.hasOwn(fields, path)) continue;
      const isGroup = hasGroup(fields, path);
      if (isGroup && valueNode?.type === "object") {
        checkNames(valueNode, `${path}.`);
      } else if (!isGroup) {
        addReport("settings_unknown", property.offset, { field: path });
      }
    }
  }

  function readField(parent: Node, path: string): void {
    const field = fields[path];
    if (field === undefined) return;
    const node = findNodeAtLocation(parent, path.split("."));
    if (node === undefined) {
      if (Object.hasOwn(field, "fallback")) setValue(path, field.fallback);
      else {
        addReport("settings_missing", findParentObject(parent, path).offset, {
          field: path,
          expected: field.expected,
        });
      }
      return;
    }
    const value: unknown = getNodeValue(node);
    if (!field.accepts(value)) {
      addReport("settings_invalid", node.offset, {
        field: path,
        expected: field.expected,
      });
      return;
    }
    setValue(path, value);
  }

  function setValue(path: string, value: unknown): void {
    const names = path.split(".");
    const last = names.pop() ?? path;
    let target = values;
    for (const name of names) {
      target = (target[name] ??= {}) as Record<string, unknown>;
    }
    target[last] = value;
  }
}

/** Returns the setting fields of the role that the file names. */
function getRoleFields(root: Node): SettingFields {
  const node = findNodeAtLocation(root, ["role"]);
  const role: unknown = node === undefined ? undefined : getNodeValue(node);
  if (role === "router" || role === "agent") return settingFields[role];
  return sharedSettingFields;
}

/** Returns true when the path is an object that contains settings. */
function hasGroup(fields: SettingFields, path: string): boolean {
  return Object.keys(fields).some((name) => name.startsWith(`${path}.`));
}

/** Returns the innermost object that should hold a missing setting. */
function findParentObject(root: Node, path: string): Node {
  const names = path.split(".").slice(0, -1);
  return names.length === 0 ? root : findNodeAtLocation(root, names) ?? root;
}

/** Returns the line and column of an offset. */
function getPosition(text: string, offset: number): Position {
  const before = text.slice(0, offset).split("\n");
  const lastLine = before[before.length - 1] ?? "";
  return { line: before.length, column: lastLine.length + 1 };
}
