/** The router role for targets that are reached without agents. */

import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import {
  type AdminListener,
  openAdminListener,
} from "../connection/admin_listener.ts";
import {
  createDirectClient,
  type TargetCodec,
} from "../connection/direct_client.ts";
import { createFrontendServer } from "../connection/frontend_server.ts";
import { createCachedParts } from "../process/direct/cached_parts.ts";
import { createPartPrefills } from "../process/direct/part_prefills.ts";
import { createLoadView } from "../process/direct/load_view.ts";
import { createRetryShare } from "../process/direct/retry_share.ts";
import {
  createRouteMatcher,
  drawService,
  type RouteMatch,
  type RouteMatcher,
} from "../process/direct/route_match.ts";
import { createTargetHealth } from "../process/direct/target_health.ts";
import { createTargetTable } from "../process/direct/target_table.ts";
import type { Log } from "../process/telemetry/log.ts";
import { createMetrics } from "../process/telemetry/metrics.ts";
import {
  createPlacement,
  loadPlacementHost,
} from "../process/placement/placement.ts";
import { runDirect } from "../request/direct_run.ts";
import { createMeasuredReply } from "../request/measured_reply.ts";
import { createEnd } from "../request/request_end.ts";
import type { RequestSummary } from "../request/request_host.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type {
  DirectRequest,
  FrontendRequest,
} from "../types/direct_request.ts";
import type { DirectSettings } from "../types/direct_settings.ts";
import type { DirectoryStore } from "../types/directory.ts";
import type { Reply } from "../types/reply.ts";
import type { Dump, StopResult } from "../types/role.ts";
import type { CallerLimits } from "../types/route_table.ts";
import { createOperatorRoutes, createReadinessRoute } from "./direct_routes.ts";
import { createDirectory } from "./directory.ts";

/** Requests in flight at one time; bounds memory, far above usual loads. */
const maxInFlight = 3_000;

/** Time to come back for a caller that a router cannot serve now, in ms. */
const comeBackMs = {
  /** The first listing takes a few round trips. */
  starting: 150,
  /** The store is away; callers cap it by their own deadlines. */
  storeAway: { least: 500, spread: 1_500 },
  busy: 800,
  stopping: 50,
} as const;

/**
 * Bounds on the wait of a request for the first configuration. A restarted
 * router mostly has it within a few round trips, and a caller that is refused
 * may have no try left.
 */
const firstTableWait = { partOfDeadline: 0.2, mostMs: 1_000 } as const;

/**
 * Part of the grace in which requests on open connections are still served;
 * what follows is the time of the longest usual answer.
 */
const servedPartOfGrace = 0.36;

/** Part of the grace after which the process ends whatever still runs. */
const lastPartOfGrace = 0.95;

/** Time after which the balancer sends no new connections, in ms. */
const balancerMs = 2_500;

/** Interval at which a stop looks for work in flight, in milliseconds. */
const stopPollMs = 50;

/** Time a caller waits when it tells none, in milliseconds. */
const usualDeadlineMs = 15_000;

/** Limits until the first configuration is known. */
const firstLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};

/** What the role needs from outside. */
export interface DirectRouterHost {
  readonly settings: DirectSettings;
  readonly store: DirectoryStore;
  readonly wire: TargetCodec;
  readonly log: Log;
  /** Path of the balancer's readiness check. */
  readonly readinessPath: string;
  decodeRequest(
    message: IncomingMessage,
    options: { readonly requestId: string; readonly body: Uint8Array },
  ): FrontendRequest;
}

/** A router that runs. */
export interface DirectRouter {
  /** Stops gracefully within the grace; a second call changes nothing. */
  stop(reason: string): Promise<StopResult>;
}

/** Starts a router; rejects when an address cannot be taken. */
export async function startDirectRouter(
  host: DirectRouterHost,
): Promise<DirectRouter> {
  const { settings, log } = host;
  const startedAt = performance.now();
  const metrics = createMetrics();
  const targets = createTargetTable();
  const health = createTargetHealth({ log });
  const held = createCachedParts();
  const reads = createPartPrefills();
  const loads = createLoadView();
  let matcher: RouteMatcher | undefined;
  let stopping: Promise<StopResult> | undefined;
  let isRefusing = false;
  let inFlight = 0;
  /** Requests that wait for the first configuration. */
  const waiting = new Set<() => void>();

  const calls = createDirectClient({
    codec: host.wire,
    log,
    getMaxConnections: (service) => {
      const limit = matcher?.table.services.get(service)?.maxConnections ?? 1;
      return Math.max(1, Math.floor(limit / directory.getRouters()));
    },
  });
  const placement = createPlacement(await loadPlacementHost());
  const directory = await createDirectory({
    ...{ settings, store: host.store, log, metrics },
    ...{ targets, health, held, reads, loads, placement, calls },
    noteTable: (table) => {
      const isFirst = matcher === undefined;
      matcher = createRouteMatcher(table);
      waiting.forEach((finish) => finish());
      if (isFirst) {
        log.info("Router is ready", {
          version: table.version,
          tookMs: Math.round(performance.now() - startedAt),
        });
      }
    },
    noteTargets: () => calls.retain(targets.getAddresses()),
  });
  const requestHost = {
    ...{ calls, targets, health, loads, reads, placement, log },
    held: { ...held, note: directory.noteParts },
    retries: createRetryShare(directory, settings.retries),
    zone: settings.zone,
    loadMultiple: settings.loadMultiple,
    random: Math.random,
  };
  registerGauges();
  const front = await createFrontendServer({
    decode: host.decodeRequest,
    createRequestId: randomUUID,
    getLimits: () => matcher?.table.limits ?? firstLimits,
    tryAdmit,
    handle,
    recordRejection: noteRejected,
  }, settings.frontend);
  const readiness = await openAdminListener([
    createReadinessRoute(host.readinessPath, isReady),
  ], settings.readiness);
  const admin = await openMetrics();
  directory.start();

  return { stop };

  function tryAdmit(): Report | undefined {
    if (isRefusing) {
      return createReport("router_stopping", {}, {
        retryAfterMs: comeBackMs.stopping,
      });
    }
    if (inFlight + waiting.size >= maxInFlight) {
      return createReport("router_busy", {}, { retryAfterMs: comeBackMs.busy });
    }
    return undefined;
  }

  /** Undefined when no configuration has come in the request's time. */
  function waitForTable(
    { deadlineMs = usualDeadlineMs }: FrontendRequest,
  ): Promise<RouteMatcher | undefined> {
    const { partOfDeadline, mostMs } = firstTableWait;
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        waiting.delete(finish);
        resolve(matcher);
      };
      const timer = setTimeout(
        finish,
        Math.min(mostMs, deadlineMs * partOfDeadline),
      );
      waiting.add(finish);
    });
  }

  /** Callers come back spread over the time that an outage may last. */
  function createStartingReport(): Report {
    const { least, spread } = comeBackMs.storeAway;
    return createReport("router_starting", {}, {
      retryAfterMs: directory.isStoreAway()
        ? least + Math.random() * spread
        : comeBackMs.starting,
    });
  }

  async function handle(request: FrontendRequest, reply: Reply): Promise<void> {
    const arrivedAt = performance.now();
    const current = matcher ?? await waitForTable(request);
    if (current === undefined) {
      return rejectRequest(request, { report: createStartingReport(), reply });
    }
    if (request.prompt !== undefined) await directory.waitForCaches();
    const { version } = current.table;
    await current.match(request).caseOf({
      Left: (report) => {
        rejectRequest(request, { report, reply });
        return Promise.resolve();
      },
      Right: (match) =>
        run(
          bindRequest(request, match, { arrivedAt, tableVersion: version }),
          reply,
        ),
    });
  }

  function rejectRequest(
    request: FrontendRequest,
    { report, reply }: { readonly report: Report; readonly reply: Reply },
  ): void {
    noteRejected(request.requestId, report);
    reply.end(createEnd(report));
  }

  function noteRejected(requestId: string, report: Report): void {
    metrics.count("requests_total", { outcome: "not_run", code: report.code });
    log.info("Request rejected", {
      request: requestId,
      code: report.code,
      version: matcher?.table.version,
      directoryAgeMs: Math.round(directory.getAgeMs()),
    });
  }

  async function run(request: DirectRequest, reply: Reply): Promise<void> {
    const measured = createMeasuredReply(reply, metrics);
    inFlight++;
    try {
      const summary = await runDirect(requestHost, request, measured.reply);
      noteEnd(request, summary, measured);
    } catch (error) {
      log.error("The request broke an invariant", {
        request: request.requestId,
        error: error instanceof Error ? error.stack : String(error),
      });
      reply.end(createEnd(createReport("outcome_unknown")));
    } finally {
      inFlight--;
    }
  }

  function noteEnd(
    request: DirectRequest,
    { end, target, tries, decision }: RequestSummary,
    measured: ReturnType<typeof createMeasuredReply>,
  ): void {
    const code = end.report?.code ?? "done";
    const firstByteMs = measured.getFirstByteMs();
    const { service, route } = request;
    const totalMs = measured.getTotalMs();
    metrics.count("requests_total", { outcome: end.outcome, code });
    metrics.record("request_ms", totalMs, { service });
    if (firstByteMs !== undefined) {
      metrics.record("first_byte_ms", firstByteMs, { service });
    }
    log.info("Request ended", {
      request: request.requestId,
      route: route.name,
      service,
      workspace: request.holder?.workspace,
      outcome: end.outcome,
      code,
      target,
      tries,
      ...decision,
      version: request.tableVersion,
      directoryAgeMs: Math.round(directory.getAgeMs()),
      firstByteMs: firstByteMs && Math.round(firstByteMs),
      totalMs: Math.round(totalMs),
      retryAfterMs: end.report?.retryAfterMs || undefined,
    });
  }

  /** Callers are served without metrics rather than not at all. */
  async function openMetrics(): Promise<AdminListener | undefined> {
    try {
      return await openAdminListener(
        createOperatorRoutes({ metrics, dump }),
        settings.metrics,
      );
    } catch (error) {
      log.error("Metrics are not served", { reason: String(error) });
      return undefined;
    }
  }

  function isReady(): boolean {
    return matcher !== undefined && stopping === undefined;
  }

  function dump(): Dump {
    return {
      version: matcher?.table.version ?? 0,
      isReady: isReady(),
      inFlight,
      directory: directory.dump(),
      targets: targets.getCounts(),
      aside: health.getEjected(),
      loads: Object.fromEntries(
        [...loads.getOwnLoads()].map(([target, load]) => [target, { ...load }]),
      ),
    };
  }

  function registerGauges(): void {
    metrics.gauge("requests_in_flight", () => inFlight);
    metrics.gauge(
      "configuration_version",
      () => matcher?.table.version ?? 0,
    );
    metrics.gauge("targets_ready", () => targets.getCounts().ready);
    metrics.gauge("targets_aside", () => health.getEjected().length);
    metrics.gauge("held_parts", held.getSize);
    metrics.gauge("repeats_in_window", requestHost.retries.getSpent);
    metrics.gauge("process_resident_bytes", () => process.memoryUsage.rss());
  }

  function stop(reason: string): Promise<StopResult> {
    stopping ??= stopOnce(reason);
    return stopping;
  }

  async function stopOnce(reason: string): Promise<StopResult> {
    const stopAt = performance.now();
    const { graceMs } = settings;
    log.info("Router stops", { reason, inFlight, graceMs });
    front.drain();
    await sleep(Math.min(balancerMs, graceMs * servedPartOfGrace));
    isRefusing = true;
    while (
      inFlight > 0 && performance.now() - stopAt < graceMs * lastPartOfGrace
    ) {
      front.closeIdle();
      await sleep(stopPollMs);
    }
    const cutOff = inFlight;
    front.stop();
    directory.stop();
    await Promise.allSettled([
      readiness.close(),
      admin?.close(),
      calls.close(),
    ]);
    const tookMs = Math.round(performance.now() - stopAt);
    log.info("Router has stopped", { cutOff, tookMs });
    return { cutOff, tookMs };
  }
}

/** Fixes what the configuration decides for a request. */
function bindRequest(
  request: FrontendRequest,
  { route, holder }: RouteMatch,
  { arrivedAt, tableVersion }: {
    /** Before any wait: what waiting took is no longer left to a target. */
    readonly arrivedAt: number;
    readonly tableVersion: number;
  },
): DirectRequest {
  const waitMs = Math.min(
    request.deadlineMs ?? usualDeadlineMs,
    route.timeoutMs,
  );
  return {
    ...request,
    route,
    holder,
    service: drawService(route, Math.random()) ?? "",
    tableVersion,
    arrivedAt,
    deadlineAt: arrivedAt + waitMs,
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
