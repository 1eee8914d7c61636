/** Takes the requests of callers from their arrival to their end. */

import type { RouteMatcher } from "../process/direct/directory/route_match.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import { waitAtMost } from "../request/bounded_wait.ts";
import { createMeasuredReply } from "../request/measured_reply.ts";
import { createEnd } from "../request/request_end.ts";
import type { RequestSummary } from "../request/request_host.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type {
  DirectRequest,
  FrontendRequest,
  RequestArrival,
} from "../types/direct_request.ts";
import type { Reply } from "../types/reply.ts";
import { createDirectRequest, getTimeoutMs } from "./direct_binding.ts";
import type { DirectRecords } from "./direct_records.ts";
import type { DirectRefusals } from "./direct_refusals.ts";
import type { StartWait } from "./start_wait.ts";

/** What requests need from the router. */
export interface DirectRequestsHost {
  readonly metrics: Metrics;
  readonly records: DirectRecords;
  readonly refusals: Pick<DirectRefusals, "createStarting">;
  readonly startWait: Pick<StartWait, "wait">;
  /** Returns the routes in force; undefined before the first configuration. */
  tryGetMatcher(): RouteMatcher | undefined;
  /** Returns true when a service has targets that take requests. */
  hasTargets(service: string): boolean;
  /** Returns true while targets may register again after an outage. */
  isReturning(): boolean;
  waitForCacheRecovery(request: DirectRequest): Promise<void>;
  /** Sends a request to targets and responds to its caller. */
  run(request: DirectRequest, reply: Reply): Promise<RequestSummary>;
}

/** The requests of one router. */
export interface DirectRequests {
  /** Handles a request; resolves when it has ended. */
  handle(
    request: FrontendRequest,
    reply: Reply,
    arrival: RequestArrival,
  ): Promise<void>;
  /** Returns how long a caller may be kept waiting now, in milliseconds. */
  getTimeoutMs(request: FrontendRequest): number;
  /** Returns the number of requests that have a route and have not ended. */
  countInFlight(): number;
}

/** What is handled with a request. */
interface Handling {
  readonly reply: Reply;
  readonly arrival: RequestArrival;
}

/** Creates the requests of a router that has received none. */
export function createDirectRequests(host: DirectRequestsHost): DirectRequests {
  const { records, startWait } = host;
  let inFlight = 0;

  return {
    handle,
    getTimeoutMs: (request) =>
      getTimeoutMs(
        request,
        host.tryGetMatcher()?.tryFindRoute(request.host, request.path),
      ),
    countInFlight: () => inFlight,
  };

  async function handle(
    request: FrontendRequest,
    reply: Reply,
    arrival: RequestArrival,
  ): Promise<void> {
    if (host.tryGetMatcher() === undefined) {
      const deadlineAt = arrival.at + getTimeoutMs(request, undefined);
      await startWait.wait(
        deadlineAt - performance.now(),
        () => host.tryGetMatcher() !== undefined,
      );
    }
    const matcher = host.tryGetMatcher();
    if (matcher === undefined) {
      const report = host.refusals.createStarting();
      return reject(request, { reply, arrival, report });
    }
    const { version: tableVersion } = matcher.table;
    await matcher.match(request).caseOf({
      Left: (report) => {
        reject(request, { reply, arrival, report });
        return Promise.resolve();
      },
      Right: (match) =>
        run(
          createDirectRequest(request, match, {
            ...{ arrivedAt: arrival.at, tableVersion },
          }),
          { reply, arrival },
        ),
    });
  }

  function reject(
    { requestId }: FrontendRequest,
    { reply, arrival, report }: Handling & { readonly report: Report },
  ): void {
    records.recordRejection(requestId, report, arrival);
    reply.end(createEnd(report));
  }

  async function run(
    request: DirectRequest,
    { reply, arrival }: Handling,
  ): Promise<void> {
    const measured = createMeasuredReply(reply, host.metrics, arrival.at);
    inFlight++;
    try {
      if (host.isReturning()) {
        await startWait.wait(
          request.deadlineAt - performance.now(),
          () => host.hasTargets(request.service),
          { isInFlight: true },
        );
      }
      await waitAtMost(
        host.waitForCacheRecovery(request),
        request.deadlineAt - performance.now(),
      );
      const summary = await host.run(request, measured.reply);
      records.recordEnd(request, summary, { measured, arrival });
    } catch (error) {
      records.recordError(request.requestId, error);
      reply.end(createEnd(createReport("outcome_unknown")));
    } finally {
      inFlight--;
    }
  }
}
