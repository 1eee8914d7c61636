/** Runs the router role: accepts callers' requests and places them. */

import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { createAgentClient } from "../connection/agent_client.ts";
import {
  type CallerRequest,
  createCallerServer,
  createRejection,
} from "../connection/caller_server.ts";
import { createAttemptNumbers } from "../process/attempts/attempt_numbers.ts";
import { loadBodyDigests } from "../process/attempts/body_digest.ts";
import { createClaimLeases } from "../process/attempts/claim_leases.ts";
import {
  createPlacement,
  loadPlacementHost,
} from "../process/placement/placement.ts";
import { createRefusalCache } from "../process/placement/refusal_cache.ts";
import { createRetryBudget } from "../process/limits/retry_budget.ts";
import { createMeasuredReply } from "../request/measured_reply.ts";
import { getDeadlineMs } from "../request/header_check.ts";
import { checkRequest } from "../request/request_check.ts";
import { createEnd } from "../request/request_end.ts";
import type { RequestHost, RequestSummary } from "../request/request_host.ts";
import { runRequest } from "../request/request_run.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { Reply, RequestEnd } from "../types/reply.ts";
import type { Dump, Role, StopResult } from "../types/role.ts";
import type { Work } from "../types/work.ts";
import type { RouterHost } from "./host.ts";
import { watchLoop } from "./loop_watch.ts";

/** Time within which the body of a request must arrive, in milliseconds. */
const bodyTimeoutMs = 30_000;

/** Interval at which a shutdown checks for requests in flight, in ms. */
const shutdownPollIntervalMs = 20;

/**
 * Part of the grace period at its end in which nothing new is sent to targets, and
 * requests that wait at agents are refused.
 */
const closingShare = 1 / 12;

/** Maximum length of that part for any number of requests, in milliseconds. */
const maxClosingMs = 1_000;

/**
 * Time in which one attempt that waits is withdrawn and its caller gets a refusal,
 * beside others, in milliseconds.
 */
const withdrawalMs = 10;

/** Maximum number of requests in flight that a dump lists. */
const maxDumpedRequests = 100;

interface InFlightRequest {
  readonly work: Work;
  readonly startedAt: number;
}

/** Creates the router role of a process. */
export async function createRouterRole(host: RouterHost): Promise<Role> {
  const { settings, fleet, metrics } = host;
  const { log, turns } = watchLoop({ log: host.log, metrics });
  const inFlight = new Map<symbol, InFlightRequest>();
  let isDraining = false;
  const closing = new AbortController();
  // Each request in flight listens.
  setMaxListeners(0, closing.signal);
  const calls = createAgentClient();
  const placementHost = await loadPlacementHost();
  const encoder = new TextEncoder();
  const requestHost: RequestHost = {
    calls,
    members: fleet.members,
    configuration: host.configuration,
    crashes: fleet.crashes,
    limits: fleet.limits,
    placement: createPlacement(placementHost),
    refusals: createRefusalCache(),
    retries: createRetryBudget(),
    attempts: createAttemptNumbers({
      router: settings.id,
      routerIncarnation: fleet.getSelf().incarnation,
    }),
    digests: await loadBodyDigests(),
    closingSignal: closing.signal,
    claims: {
      platform: host.platform,
      leases: createClaimLeases({ platform: host.platform }),
    },
    hashConversation: (key) => placementHost.hash(encoder.encode(key), 0),
  };
  const server = await createCallerServer({
    ...{ log, metrics, turns, getDeadlineMs },
    createRequestId: randomUUID,
    tryAdmit,
    handle,
    recordError,
    recordRejection: (code) =>
      metrics.count("requests_total", { outcome: "not_run", code }),
  }, {
    address: settings.address,
    port: settings.callerPort,
    maxBodyBytes: settings.maxBodyBytes,
    bodyTimeoutMs,
  });
  host.configuration.onChange(() => {
    const { services } = host.configuration.getConfiguration();
    requestHost.retries.retain((service) => services.has(service));
  });
  metrics.gauge("requests_in_flight", () => inFlight.size);

  return { isReady: () => !isDraining, drain, stop, dump };

  function tryAdmit(): Report | undefined {
    if (isDraining) {
      return createReport("router_stopping", {}, { retryAfterMs: 100 });
    }
    if (host.configuration.getConfiguration().version === 0) {
      return createReport("router_starting", {}, { retryAfterMs: 500 });
    }
    if (inFlight.size >= settings.maxInFlight) {
      return createReport("router_busy", {}, { retryAfterMs: 1_000 });
    }
    return undefined;
  }

  async function handle(request: CallerRequest, reply: Reply): Promise<void> {
    const checkResult = checkRequest({
      configuration: host.configuration.getConfiguration(),
      digests: requestHost.digests,
    }, request);
    await checkResult.caseOf({
      Left: (report) =>
        Promise.resolve(
          rejectRequest(createRejection(report, request.headers), reply),
        ),
      Right: (work) => run(work, { reply, arrivedAt: request.arrivedAt }),
    });
  }

  function rejectRequest(end: RequestEnd, reply: Reply): void {
    const { outcome, report } = end;
    metrics.count("requests_total", { outcome, code: report?.code ?? "" });
    reply.end(end);
  }

  async function run(
    work: Work,
    { reply, arrivedAt }: {
      readonly reply: Reply;
      readonly arrivedAt: number;
    },
  ): Promise<void> {
    const id = Symbol(work.requestId);
    const measured = createMeasuredReply(reply, metrics, arrivedAt);
    inFlight.set(id, { work, startedAt: arrivedAt });
    try {
      const summary = await runRequest(requestHost, work, measured.reply);
      recordEnd(work, summary, measured);
    } catch (error) {
      recordError(work.requestId, error);
      reply.end(createEnd(createReport("outcome_unknown")));
    } finally {
      inFlight.delete(id);
    }
  }

  function recordError(requestId: string, error: unknown): void {
    log.error("Unexpected error while running a request", {
      request: requestId,
      error: error instanceof Error ? error.stack : String(error),
    });
  }

  function recordEnd(
    work: Work,
    summary: RequestSummary,
    measured: ReturnType<typeof createMeasuredReply>,
  ): void {
    const { outcome, report } = summary.end;
    const code = report?.code ?? "done";
    const { priority, service } = work;
    const firstByteMs = measured.getFirstByteMs();
    const totalMs = measured.getTotalMs();
    metrics.count("requests_total", { outcome, code });
    metrics.count("tries_total", { service }, summary.tries);
    metrics.record("request_ms", totalMs, { service, priority });
    if (firstByteMs !== undefined) {
      metrics.record("first_byte_ms", firstByteMs, { service, priority });
    }
    log.info("Request ended", {
      request: work.requestId,
      service,
      workspace: work.workspace,
      outcome,
      code,
      target: summary.target,
      tries: summary.tries,
      ...summary.decision,
      firstByteMs: firstByteMs && Math.round(firstByteMs),
      totalMs: Math.round(totalMs),
    });
  }

  function drain(operator: string): void {
    if (isDraining) return;
    isDraining = true;
    log.info("Router is draining", { operator });
    fleet.announceLeaving();
  }

  async function stop(): Promise<StopResult> {
    const startedAt = performance.now();
    drain(settings.id);
    const end = startedAt + settings.shutdownMs;
    while (inFlight.size > 0 && performance.now() < end) {
      if (performance.now() >= end - getClosingMs()) closing.abort();
      await new Promise((resolve) =>
        setTimeout(resolve, shutdownPollIntervalMs)
      );
    }
    const cutOff = inFlight.size;
    // Finished responses may still be in transit to slow callers.
    await server.stop(Math.max(0, end - performance.now()));
    calls.close();
    turns.stop();
    const tookMs = Math.round(performance.now() - startedAt);
    log.info("Router has stopped", { cutOff, tookMs });
    return { cutOff, tookMs };
  }

  /** Returns the length of the part of the grace period in which waits end. */
  function getClosingMs(): number {
    const graceMs = settings.shutdownMs;
    const neededMs = Math.min(inFlight.size * withdrawalMs, graceMs / 2);
    return Math.min(maxClosingMs, Math.max(graceMs * closingShare, neededMs));
  }

  function dump(): Dump {
    const now = performance.now();
    const dumpedRequests = [...inFlight.values()].slice(0, maxDumpedRequests);
    return {
      ready: !isDraining,
      inFlight: {
        count: inFlight.size,
        requests: dumpedRequests.map(({ work, startedAt }) => ({
          request: work.requestId,
          service: work.service,
          workspace: work.workspace,
          ageMs: Math.round(now - startedAt),
        })),
      },
      channels: calls.dump(),
      retryCredits: Object.fromEntries(requestHost.retries.getCredits()),
      refusals: Object.fromEntries(requestHost.refusals.getRemainingMs()),
    };
  }
}
