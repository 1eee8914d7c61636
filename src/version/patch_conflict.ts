/** Decides whether a well-formed patch can follow the newest version. */

import type { PatchDraft, PatchOperation } from "../types/configuration.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { getEntryName } from "./patch_text.ts";

/**
 * Returns the reasons why the patch cannot follow the state; empty when it
 * can. The patch may have an older base version as long as no later patch
 * changed the same entries.
 */
export function checkAgainstState(
  draft: PatchDraft,
  state: ConfigurationState,
): readonly Report[] {
  const { version } = state.configuration;
  const base = draft.baseVersion;
  if (base > version) {
    return [createReport("patch_base_ahead", { base, version })];
  }
  const oldest = (state.records[0]?.version ?? version + 1) - 1;
  if (base < oldest) return [createReport("patch_base_old", { base, oldest })];
  const conflicts = findConflicts(draft, state);
  return conflicts.length > 0 ? conflicts : checkNamesExist(draft, state);
}

function findConflicts(
  draft: PatchDraft,
  state: ConfigurationState,
): readonly Report[] {
  const entries = new Set(draft.operations.map(getEntryName));
  const laterRecords = state.records.filter((record) =>
    record.version > draft.baseVersion
  );
  return laterRecords.flatMap((record) =>
    record.entries
      .filter((entry) => entries.has(entry))
      .map((entry) =>
        createReport("patch_conflict", {
          version: record.version,
          operator: record.operator,
          entry,
        })
      )
  );
}

/** Checks that the services and workspaces used by the patch exist. */
function checkNamesExist(
  draft: PatchDraft,
  state: ConfigurationState,
): readonly Report[] {
  const { services, workspaces } = state.configuration;
  const reports: Report[] = [];
  const added = new Set<string>();
  const removed = new Set<string>();
  draft.operations.forEach(checkOperation);
  return reports;

  function checkOperation(operation: PatchOperation, index: number): void {
    const entry = getEntryName(operation);
    switch (operation.kind) {
      case "put_service":
        break;
      case "put_workspace":
        operation.value.services.forEach((service, position) => {
          if (hasEntry(`service ${service}`, services.has(service))) return;
          const field = `operations[${index}].value.services[${position}]`;
          addReport(field, "the name of a service");
        });
        break;
      case "delete_service":
      case "delete_workspace": {
        const group = operation.kind === "delete_service"
          ? services
          : workspaces;
        if (!hasEntry(entry, group.has(operation.name))) {
          addReport(`operations[${index}].name`, "the name of an entry");
        }
        added.delete(entry);
        removed.add(entry);
        return;
      }
    }
    added.add(entry);
    removed.delete(entry);
  }

  function hasEntry(entry: string, isInState: boolean): boolean {
    return added.has(entry) || (isInState && !removed.has(entry));
  }

  function addReport(field: string, expected: string): void {
    reports.push(createReport("patch_invalid", { field, expected }));
  }
}
