/** Serves the operators' routes of a router or an agent. */

import type {
  AdminCall,
  AdminResponse,
  AdminRoute,
} from "../connection/admin_listener.ts";
import type { PlatformClient } from "../connection/platform_client.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Dump, Fleet, Role } from "../types/role.ts";
import type { Settings } from "../types/settings.ts";
import type { LocalConfigurationStore } from "../version/configuration_store.ts";
import { createConfigurationRoutes } from "./configuration_routes.ts";
import { createOrderRoute, type SendOrder } from "./order_route.ts";

/** Dependencies of the admin routes. */
export interface AdminHost {
  readonly settings: Settings;
  readonly role: Role;
  readonly fleet: Fleet;
  readonly store: LocalConfigurationStore;
  readonly platform: PlatformClient;
  readonly metrics: Metrics;
  readonly sendOrder: SendOrder;
  /** Start of the process, in epoch milliseconds. */
  readonly startedAt: number;
  isReady(): boolean;
}

/** Creates all admin routes of a process. */
export function createAdminRoutes(host: AdminHost): readonly AdminRoute[] {
  const { fleet, metrics, role, settings, store } = host;
  return [
    get("/healthz", () => toText(200, "ok\n")),
    get("/readyz", getReadiness),
    get("/metrics", () => toText(200, metrics.format())),
    get("/dump", () => toJson(dump())),
    get("/status", () => toJson(getStatus())),
    { method: "POST", path: "/drain", handle: drain },
    ...createConfigurationRoutes({ store }),
    createOrderRoute(host),
  ];

  function getReadiness(): AdminResponse {
    return host.isReady() ? toText(200, "ready\n") : toText(503, "not ready\n");
  }

  function getStatus(): Dump {
    const states: Record<string, number> = {};
    for (const member of fleet.members.getMembers()) {
      const name = `${member.role}s_${member.state}`;
      states[name] = (states[name] ?? 0) + 1;
    }
    return {
      id: settings.id,
      role: settings.role,
      zone: settings.zone,
      state: fleet.getSelf().state,
      isReady: host.isReady(),
      startedAt: new Date(host.startedAt).toISOString(),
      configurationVersion: store.getConfiguration().version,
      configurationChecksum: store.getChecksum(),
      members: states,
    };
  }

  function dump(): Dump {
    return {
      status: getStatus(),
      configuration: store.dump(),
      fleet: fleet.dump(),
      role: role.dump(),
      platformCalls: { ...host.platform.getCalls() },
      residentBytes: process.memoryUsage.rss(),
    };
  }

  function drain(call: AdminCall): AdminResponse {
    const body = call.body as { operator?: unknown } | undefined;
    const operator = body?.operator;
    if (typeof operator !== "string" || operator.length === 0) {
      const values = { field: "operator", expected: "the operator's name" };
      return toReports([createReport("bad_field", values)]);
    }
    role.drain(operator);
    return toJson({ id: settings.id, state: "leaving", operator }, 202);
  }
}

function get(
  path: string,
  handle: (call: AdminCall) => AdminResponse,
): AdminRoute {
  return { method: "GET", path, handle };
}

function toText(status: number, body: string): AdminResponse {
  return { kind: "text", status, body };
}

function toJson(body: unknown, status = 200): AdminResponse {
  return { kind: "json", status, body };
}

function toReports(reports: readonly Report[]): AdminResponse {
  return { kind: "reports", reports };
}
