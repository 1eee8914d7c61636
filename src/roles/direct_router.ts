/** Runs the router role for targets that are reached without agents. */

import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { openAdminListener } from "../connection/admin_listener.ts";
import {
  createDirectClient,
  type TargetCodec,
} from "../connection/direct_client.ts";
import { probeTarget } from "../connection/target_probe.ts";
import { createFrontendServer } from "../connection/frontend_server.ts";
import { createRunTimes } from "../process/direct/limits/admission_estimate.ts";
import { createContention } from "../process/direct/limits/contention.ts";
import { createCachedParts } from "../process/direct/placement/cached_parts.ts";
import { createProcessMemory } from "../process/direct/limits/memory_budget.ts";
import { createReadPace } from "../process/admission/read_pace.ts";
import { createQuarantine } from "../process/direct/crashes/quarantine.ts";
import { createAbortedAttempts } from "../process/direct/crashes/aborted_attempts.ts";
import { createCrashSuspects } from "../process/direct/crashes/crash_suspects.ts";
import { createRepeatRecords } from "../process/direct/queue/repeat_records.ts";
import { createRequestQueue } from "../process/direct/queue/request_queue.ts";
import { createPartDemand } from "../process/direct/placement/part_demand.ts";
import { createPartPrefills } from "../process/direct/placement/part_prefills.ts";
import { createLoadView } from "../process/direct/targets/load_view.ts";
import { createPromptSizes } from "../process/direct/placement/prompt_sizes.ts";
import { createEngineMemory } from "../process/direct/limits/engine_memory.ts";
import { createRetryShare } from "../process/direct/limits/retry_share.ts";
import {
  createRouteMatcher,
  type RouteMatcher,
} from "../process/direct/directory/route_match.ts";
import { createServiceVersions } from "../process/direct/streams/service_versions.ts";
import { createTargetCrashes } from "../process/direct/crashes/target_crashes.ts";
import { createTargetHealth } from "../process/direct/targets/target_health.ts";
import { createTargetPace } from "../process/direct/targets/target_pace.ts";
import { createTargetSpeeds } from "../process/direct/targets/target_speeds.ts";
import { createTargetLimits } from "../process/direct/limits/target_limits.ts";
import { getWarmUps } from "../process/direct/limits/warm_up_rates.ts";
import { createTargetPauses } from "../process/direct/targets/target_pauses.ts";
import { createTargetNotices } from "../process/direct/targets/target_notices.ts";
import { createUsableTargets } from "../process/direct/targets/usable_targets.ts";
import { createTargetTable } from "../process/direct/targets/target_table.ts";
import { createZoneEvacuations } from "../process/direct/targets/zone_evacuations.ts";
import type { Log } from "../process/telemetry/log.ts";
import { createMetrics, type Metrics } from "../process/telemetry/metrics.ts";
import {
  createPlacement,
  loadPlacementHost,
} from "../process/placement/placement.ts";
import { runDirect } from "../request/direct_run.ts";
import type { FrontendRequest } from "../types/direct_request.ts";
import type { DirectSettings } from "../types/direct_settings.ts";
import type { DirectoryStore } from "../types/directory.ts";
import type { StopResult } from "../types/role.ts";
import { createDirectHolds } from "./direct_holds.ts";
import { createDirectRecords } from "./direct_records.ts";
import { createDirectRefusals } from "./direct_refusals.ts";
import { initialLimits } from "./direct_binding.ts";
import { createDirectRequests } from "./direct_requests.ts";
import { createDirectState } from "./direct_state.ts";
import { createReadinessRoute, openOperatorListener } from "./direct_routes.ts";
import { createDirectory } from "./directory.ts";
import { stopRouter } from "./direct_stop.ts";
import { watchLoop } from "./loop_watch.ts";
import { createStartWait } from "./start_wait.ts";

/**
 * Time after the start of a router in which targets whose entries expired in an
 * outage of the store may register again, in milliseconds.
 */
const targetReturnMs = 6_000;

/** Dependencies of the direct router. */
export interface DirectRouterHost {
  readonly settings: DirectSettings;
  readonly store: DirectoryStore;
  readonly codec: TargetCodec;
  readonly log: Log;
  /** URL path of the balancer's readiness check. */
  readonly readinessPath: string;
  decodeRequest(
    message: IncomingMessage,
    options: { readonly requestId: string; readonly body: Uint8Array },
  ): FrontendRequest;
}

/** A running router. */
export interface DirectRouter {
  /**
   * Stops gracefully within the grace period; a second call returns the first
   * one's result.
   */
  stop(reason: string): Promise<StopResult>;
}

/** Starts a router; rejects when it cannot bind an address. */
export async function startDirectRouter(
  host: DirectRouterHost,
): Promise<DirectRouter> {
  const { settings } = host;
  const startedAt = performance.now();
  const metrics = createMetrics();
  const { log, turns } = watchLoop({ log: host.log, metrics });
  const evacuations = createZoneEvacuations({
    log,
    handleBegin: () => calls.withholdWaiting(targets.isAddressEvacuated),
  });
  const targets = createTargetTable({ evacuations });
  const health = createTargetHealth({
    log,
    handleRecovered: (target, since) =>
      pace.recordReturn(target, { reason: "recovered", since }),
  });
  const pauses = createTargetPauses({
    ...{ log, random: Math.random },
    handleReturned: (target, since) =>
      pace.recordReturn(target, { reason: "paused", since }),
  });
  const cachedParts = createCachedParts();
  const prefills = createPartPrefills();
  const responseMemory = createProcessMemory(settings.limits, { log, metrics });
  const loads = createLoadView();
  let matcher: RouteMatcher | undefined;
  let warmUps = getWarmUps([]);
  let stopping: Promise<StopResult> | undefined;
  let isRefusing = false;
  const startWait = createStartWait();

  const placementHost = await loadPlacementHost();
  const textEncoder = new TextEncoder();
  const hash = (text: string): number =>
    placementHost.hash(textEncoder.encode(text), 0);
  const limits = createTargetLimits({
    ...{ log, metrics, hash },
    tryGetTargetId: (address) =>
      targets.getAll().find((target) => target.address === address)?.id,
    getPlace: (options) => directory.getRouterPlace(options),
    getWarmUps: () => warmUps,
    tryGetEvacuationEnd: evacuations.tryGetEndedAt,
  });
  const contention = createContention({
    ...{ isConfigured: settings.hasContention, log },
  });
  const speeds = createTargetSpeeds(contention);
  const partDemand = createPartDemand({ isActive: contention.isActive, hash });
  const pace = createTargetPace({
    ...{ log, metrics, loads, hash, isActive: contention.isActive },
    getRouterCount: () => directory.getPeakRouterCount(),
    getTargets: targets.getAll,
    random: Math.random,
  });
  const notices = createTargetNotices({
    ...{ targets, pauses, limits, metrics, log },
  });
  const readPace = createReadPace();
  const calls = createDirectClient({
    ...{ codec: host.codec, log, readPace },
    handleNotice: notices.handle,
    handleStart: (target, startedAtMs) =>
      targets.recordStart(target.id, startedAtMs),
    measureResponse: (read) => turns.measure("response", read),
    onLimitExceeded: (limit) =>
      metrics.count("responses_over_limit_total", { limit }),
    ...createDirectHolds({
      ...{ targets, pauses, limits },
      recordSend: () => recordCopyAge(metrics, directory.getCopyAgeMs()),
    }),
    getMaxConnections: (service) => {
      const limit = matcher?.table.services.get(service)?.maxConnections ?? 1;
      return Math.max(1, Math.floor(limit / directory.getPeakRouterCount()));
    },
  });
  const placement = createPlacement(placementHost);
  const crashes = createCrashSuspects({
    log,
    report: (record) => directory.reportCrash(record),
    handlePeerResponse: (fingerprint) =>
      quarantine.recordPeerResponse(fingerprint),
  });
  const quarantine = createQuarantine({
    ...{ log, metrics },
    tryGetTrialDelayMs: (key) => directory.tryGetTrialDelayMs(key),
    announce: () => directory.sendDigest(),
  });
  const runTimes = createRunTimes();
  const usableTargets = createUsableTargets({
    ...{ targets, pauses, limits, health },
  });
  const queue = createRequestQueue({
    ...{ loads, log, metrics, tryGetMeanRunMs: runTimes.tryGetMeanMs },
    tryGetEngine: (service) => matcher?.table.services.get(service)?.engine,
    getUsable: usableTargets.get,
    getRouterCount: () => directory.getRouterPlace().count,
    getSlowdown: (target) => speeds.tryGetEstimate(target)?.slowdown ?? 1,
    random: Math.random,
  });
  const targetCrashes = createTargetCrashes({
    ...{ log, metrics },
    probe: probeTarget,
    mayReceive: targets.mayReceive,
    handleCrash: (target) => abortedAttempts.recordCrash(target),
  });
  const abortedAttempts = createAbortedAttempts({
    ...{ crashes, quarantine, targetCrashes, targets },
  });
  const directory = await createDirectory({
    ...{ settings, store: host.store, log, metrics, turns },
    ...{ targets, evacuations, health, cachedParts, prefills, loads },
    ...{ placement, calls, queue, contention, partDemand },
    ...{ hash, limits, pace, mergeCrash: crashes.merge, quarantine },
    handleRouteTable: (table) => {
      const end = turns.begin("store");
      const isFirst = matcher === undefined;
      matcher = createRouteMatcher(table);
      warmUps = getWarmUps(table.services.values());
      startWait.notify();
      if (isFirst) {
        const tookMs = Math.round(performance.now() - startedAt);
        log.info("Router is ready", { version: table.version, tookMs });
      }
      end();
    },
    handleTargetsChanged: () =>
      turns.measure("store", () => {
        const addresses = targets.getAddresses();
        calls.retain(addresses);
        limits.retain((address) => addresses.has(address));
        const isKnown = (id: string) => targets.tryGet(id) !== undefined;
        pace.retain(isKnown);
        speeds.retain(isKnown);
        serviceVersions.record();
        startWait.notify();
        queue.refresh();
        abortedAttempts.checkTargets();
      }),
  });
  const { streamOrigins, versionStore, prefillTurns } = directory;
  const serviceVersions = createServiceVersions({
    getTargets: targets.getAll,
    isUnconfirmed: targets.isUnconfirmed,
    getUsable: (service) => pauses.getUsable(targets.peekReady(service)),
    getVersion: streamOrigins.getVersion,
    ...{ tryGetSaved: versionStore.tryGet, getRoutes: versionStore.getRoutes },
    getUsableNames: versionStore.getUsableNames,
    tryGetCurrentEra: versionStore.tryGetCurrentEra,
  });
  const requestHost = {
    ...{ calls, targets, health, pauses, limits, loads, prefills, placement },
    ...{ log, streamOrigins, serviceVersions },
    cachedParts: { ...cachedParts, recordParts: directory.recordParts },
    retries: createRetryShare(
      { getRouterCount: directory.getPeakRouterCount },
      settings.retries,
    ),
    ...{ crashes, quarantine, targetCrashes, abortedAttempts },
    ...{ responseMemory, readPace },
    ...{ runTimes, queue, promptSizes: createPromptSizes() },
    engineMemory: createEngineMemory(queue),
    ...{ contention, pace, speeds, prefillTurns, partDemand, metrics },
    isLoopBusy: turns.isBusy,
    repeats: createRepeatRecords(),
    zone: settings.zone,
    loadMultiple: settings.loadMultiple,
    random: Math.random,
  };
  const state = createDirectState({
    ...{ metrics, directory, targets, health, pauses, loads, quarantine },
    ...{ cachedParts, responseMemory, retries: requestHost.retries, isReady },
    ...{ limits, streamOrigins, evacuations, pace, queue },
    getVersion: () => matcher?.table.version ?? 0,
    getInFlight: () => requests.countInFlight(),
  });
  const records = createDirectRecords({
    ...{ metrics, log },
    getVersion: () => matcher?.table.version,
    getDirectoryAgeMs: directory.getAgeMs,
  });
  const refusals = createDirectRefusals({
    isStopping: () => isRefusing,
    countOpen: () => requests.countInFlight() + startWait.countWaiting(),
    isStoreUnavailable: directory.isStoreUnavailable,
  });
  const requests = createDirectRequests({
    ...{ metrics, records, refusals, startWait },
    tryGetMatcher: () => matcher,
    hasTargets: (service) => targets.getReady(service).length > 0,
    isReturning: () => performance.now() - startedAt < targetReturnMs,
    waitForCacheRecovery: directory.waitForCacheRecovery,
    run: (request, reply) => runDirect(requestHost, request, reply),
  });
  const frontend = await createFrontendServer({
    decode: host.decodeRequest,
    getTimeoutMs: requests.getTimeoutMs,
    createOverload: refusals.createOverload,
    createRequestId: randomUUID,
    getLimits: () => matcher?.table.limits ?? initialLimits,
    ...{ memory: responseMemory, turns, log, metrics },
    tryAdmit: refusals.tryAdmit,
    handle: requests.handle,
    recordError: records.recordError,
    recordRejection: records.recordRejection,
  }, settings.frontend);
  const readinessListener = await openAdminListener([
    createReadinessRoute(host.readinessPath, isReady),
  ], settings.readiness);
  const metricsListener = await openOperatorListener({
    ...{ metrics, log, dump: state.dump },
    dryRun: {
      ...{ ...requestHost, routerId: settings.id, tryAdmit: refusals.tryAdmit },
      queue: {
        tryGetEngine: queue.tryGetEngine,
        preview: (request) =>
          usableTargets.preview(() => queue.preview(request)),
      },
      tryGetMatcher: () => matcher,
    },
  }, settings.metrics);
  directory.start();

  return { stop };

  function isReady(): boolean {
    return matcher !== undefined && stopping === undefined;
  }

  function stop(reason: string): Promise<StopResult> {
    stopping ??= stopRouter({
      ...{ log, graceMs: settings.graceMs },
      getInFlight: requests.countInFlight,
      startRefusing: (endsAt) => {
        isRefusing = true;
        queue.stop(endsAt);
      },
      endWaits: () => {
        startWait.stop();
        calls.withholdWaiting(() => true);
      },
      frontend,
      close: () => {
        turns.stop();
        directory.stop();
        return [
          readinessListener.close(),
          metricsListener?.close(),
          calls.close(),
        ];
      },
    }, reason);
    return stopping;
  }
}

/** Records how old the copy of the directory was when a request was sent. */
function recordCopyAge(metrics: Metrics, ageMs: number): void {
  if (Number.isFinite(ageMs)) metrics.record("copy_age_at_send_ms", ageMs);
  else metrics.count("sends_while_behind_total");
}
