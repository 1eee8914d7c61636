/** Serves the routes of a direct router for the balancer and operators. */

import {
  type AdminListener,
  type AdminResponse,
  type AdminRoute,
  openAdminListener,
} from "../connection/admin_listener.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Log } from "../process/telemetry/log.ts";
import { answerDryRun, type DryRunHost } from "../request/direct_dry_run.ts";
import type { Report } from "../types/diagnostics.ts";
import { dryRunPath } from "../types/dry_run.ts";
import type { Dump } from "../types/role.ts";
import { parseQuestion } from "./dry_run_question.ts";

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

/** What operators ask of a router. */
export interface OperatorHost {
  readonly metrics: Metrics;
  readonly log: Pick<Log, "error">;
  dump(): Dump;
  readonly dryRun: DryRunHost;
}

/**
 * Opens the listener for metrics, dumps of the process state and dry runs. A
 * failure is logged only, so that callers are served without metrics rather than
 * not at all.
 */
export async function openOperatorListener(
  host: OperatorHost,
  options: { readonly address: string; readonly port: number },
): Promise<AdminListener | undefined> {
  try {
    return await openAdminListener(createOperatorRoutes(host), options);
  } catch (error) {
    host.log.error("Metrics listener could not be opened", {
      reason: String(error),
    });
    return undefined;
  }
}

function createOperatorRoutes(host: OperatorHost): readonly AdminRoute[] {
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
  }, {
    method: "GET",
    path: dryRunPath,
    handle: ({ query }) =>
      parseQuestion(query).caseOf<AdminResponse | Promise<AdminResponse>>({
        Left: createRefusal,
        Right: async (question) => {
          const answer = await answerDryRun(host.dryRun, question);
          return answer.caseOf<AdminResponse>({
            Left: createRefusal,
            Right: (body) => ({ kind: "json", status: 200, body }),
          });
        },
      }),
  }];
}

function createRefusal(report: Report): AdminResponse {
  return { kind: "reports", reports: [report] };
}
