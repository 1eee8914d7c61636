/** What a direct router answers to the balancer and to operators. */

import type { AdminRoute } from "../connection/admin_listener.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Dump } from "../types/role.ts";

/** The balancer's question whether to send new connections. */
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

/** Metrics and the state of the process. */
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
