/** Serves the routes of a direct router for the balancer and operators. */

import type { AdminRoute } from "../connection/admin_listener.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Dump } from "../types/role.ts";

/**
 * Creates the route on which the balancer asks whether to send new
 * connections.
 */
export function createReadinessRoute(
  path: string,
  isReady: () => boolean,
): AdminRoute {
  return {
    method: "GET",
    path,
    handle: () =>
      isReady()
        ? { kind: "text", status: 200, body: "ready" }
        : { kind: "text", status: 503, body: "not ready" },
  };
}

/** Creates the routes for metrics and for a dump of the process state. */
export function createOperatorRoutes(
  host: { readonly metrics: Metrics; dump(): Dump },
): readonly AdminRoute[] {
  return [{
    method: "GET",
    path: "/metrics",
    handle: () => ({
      kind: "text",
      status: 200,
      body: host.metrics.format(),
    }),
  }, {
    method: "GET",
    path: "/dump",
    handle: () => ({ kind: "json", status: 200, body: host.dump() }),
  }];
}
