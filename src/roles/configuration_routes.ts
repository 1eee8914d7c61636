/** Serves the routes on which operators read and change the configuration. */

import type {
  AdminCall,
  AdminResponse,
  AdminRoute,
} from "../connection/admin_listener.ts";
import { createReport } from "../types/diagnostics.ts";
import type { LocalConfigurationStore } from "../version/configuration_store.ts";

/** Dependencies of the configuration routes. */
export interface ConfigurationRoutesHost {
  readonly store: LocalConfigurationStore;
}

/** Number of patches that the history lists by default. */
const defaultHistoryLimit = 20;

/** Number of workspaces that are listed by default. */
const defaultWorkspaceLimit = 50;

/** Creates the routes below `/config`. */
export function createConfigurationRoutes(
  host: ConfigurationRoutesHost,
): readonly AdminRoute[] {
  const { store } = host;
  const { operator } = store;
  return [
    { method: "GET", path: "/config", handle: getConfiguration },
    { method: "GET", path: "/config/history", handle: getHistory },
    {
      method: "GET",
      path: "/config/workspaces/:name",
      handle: (call) => getEntry("workspaces", call),
    },
    {
      method: "GET",
      path: "/config/services/:name",
      handle: (call) => getEntry("services", call),
    },
    { method: "GET", path: "/config/patches/:id", handle: findPatch },
    { method: "POST", path: "/config/patches", handle: submit },
  ];

  function getConfiguration(call: AdminCall): AdminResponse {
    const { version, services, workspaces } = store.getConfiguration();
    const includesAll = call.query.get("all") === "true";
    const limit = includesAll ? workspaces.size : defaultWorkspaceLimit;
    const listed = [...workspaces].sort(compareNames).slice(0, limit);
    return toJson({
      version,
      checksum: store.getChecksum(),
      services: Object.fromEntries([...services].sort(compareNames)),
      workspaces: Object.fromEntries(listed),
      workspaceCount: workspaces.size,
    });
  }

  function getHistory(call: AdminCall): AdminResponse {
    const limit = Number(call.query.get("limit") ?? defaultHistoryLimit);
    if (!Number.isInteger(limit) || limit < 1) {
      const values = { field: "limit", expected: "a whole number above 0" };
      return {
        kind: "reports",
        reports: [createReport("bad_field", values)],
      };
    }
    const { version } = store.getConfiguration();
    return toJson({ version, patches: operator.getHistory(limit) });
  }

  function getEntry(
    group: "services" | "workspaces",
    call: AdminCall,
  ): AdminResponse {
    const name = call.params["name"] ?? "";
    const configuration = store.getConfiguration();
    const value = configuration[group].get(name);
    if (value !== undefined) {
      return toJson({ version: configuration.version, name, value });
    }
    const report = group === "services"
      ? createReport("unknown_service", { service: name })
      : createReport("unknown_workspace", { workspace: name });
    return { kind: "reports", reports: [report] };
  }

  async function findPatch(call: AdminCall): Promise<AdminResponse> {
    const found = await operator.findPatch(call.params["id"] ?? "").run();
    return found.caseOf<AdminResponse>({
      Left: (reports) => ({ kind: "reports", reports }),
      Right: ({ record, patch }) =>
        toJson({ ...record, operations: patch?.operations }),
    });
  }

  async function submit(call: AdminCall): Promise<AdminResponse> {
    const submitted = await operator.submit(call.body).run();
    return submitted.caseOf<AdminResponse>({
      Left: (reports) => ({ kind: "reports", reports }),
      Right: ({ version, wasKnown }) =>
        toJson({ version, wasKnown }, wasKnown ? 200 : 201),
    });
  }
}

function toJson(body: unknown, status = 200): AdminResponse {
  return { kind: "json", status, body };
}

function compareNames(
  [left]: readonly [string, unknown],
  [right]: readonly [string, unknown],
): number {
  return left < right ? -1 : 1;
}
