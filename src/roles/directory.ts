/**
 * Replicates the store's directory, keeps the tables of targets up to date,
 * and exchanges digests with other routers.
 */

import { isDeepStrictEqual } from "node:util";
import {
  createDirectoryReplica,
  type DirectoryChange,
  type DirectoryReplica,
} from "../process/direct/directory/directory_replica.ts";
import {
  type ChangeSource,
  createDirectoryTables,
} from "../process/direct/directory/directory_tables.ts";
import { createPeerPulls } from "../process/direct/peers/peer_pulls.ts";
import { encodeStreamMessage } from "../process/direct/peers/peer_digests.ts";
import type { CrashRecordUpdate } from "../process/attempts/crash_records.ts";
import type { Quarantine } from "../process/direct/crashes/quarantine.ts";
import { createEvidenceStore } from "../process/direct/crashes/evidence_store.ts";
import {
  createRouterRoster,
  type RouterRoster,
} from "../process/direct/peers/router_roster.ts";
import {
  createStreamOrigins,
  type StreamOrigins,
} from "../process/direct/streams/stream_origins.ts";
import {
  createVersionStore,
  type VersionStore,
} from "../process/direct/streams/version_store.ts";
import type { Contention } from "../process/direct/limits/contention.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import { createRecentMaximum } from "../process/direct/peers/recent_maximum.ts";
import { createDirectorySync } from "../process/direct/directory/directory_sync.ts";
import {
  createRouterPeer,
  createRouterRegistration,
} from "../process/direct/peers/router_registration.ts";
import { createWatcherChoice } from "../process/direct/peers/watcher_choice.ts";
import type { PrefillTurns } from "../process/direct/placement/prefill_turns.ts";
import type { CachedParts } from "../process/direct/placement/cached_parts.ts";
import type { PartPrefills } from "../process/direct/placement/part_prefills.ts";
import type { PartDemand } from "../process/direct/placement/part_demand.ts";
import type { RequestQueue } from "../process/direct/queue/request_queue.ts";
import type { LoadView } from "../process/direct/targets/load_view.ts";
import type { TargetPace } from "../process/direct/targets/target_pace.ts";
import type { TargetHealth } from "../process/direct/targets/target_health.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";
import type { ZoneEvacuations } from "../process/direct/targets/zone_evacuations.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { LoopTurns } from "../process/telemetry/loop_turns.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Placement } from "../process/placement/placement.ts";
import type { DirectCalls } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectSettings } from "../types/direct_settings.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { DirectoryStore } from "../types/directory.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { Dump } from "../types/role.ts";
import type { RouteTable } from "../types/route_table.ts";
import { comparePositions, originPosition } from "../types/store_position.ts";
import { createDigestExchange } from "./digest_exchange.ts";
import { createListRecovery } from "./list_recovery.ts";
import { createPullService } from "./pull_service.ts";
import { createRouterRank } from "./router_rank.ts";
import { createSavedTargetUse } from "./saved_target_use.ts";
import { reportStoreResponses } from "./store_reports.ts";

/**
 * Time for which a router counts whose entry is gone, in milliseconds: it may
 * still run, cut off from the store.
 */
const peakRouterCountWindowMs = 60_000;

/**
 * Delay of a trial per router of higher rank, in milliseconds; long enough for the
 * report of a trial that another router has started.
 */
const trialDelayPerRankMs = 250;

/** Dependencies of the directory. */
export interface DirectoryHost {
  readonly settings: DirectSettings;
  readonly store: DirectoryStore;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly turns: Pick<LoopTurns, "measure">;
  readonly targets: TargetTable;
  readonly evacuations: ZoneEvacuations;
  readonly health: Pick<TargetHealth, "forget">;
  readonly cachedParts: CachedParts;
  readonly prefills: Pick<PartPrefills, "recordPeerPrefill">;
  readonly loads: Pick<LoadView, "recordReport" | "getOwnLoads">;
  readonly limits: Pick<TargetLimits, "merge" | "recordEntry" | "reports">;
  readonly pace: Pick<TargetPace, "merge" | "reports">;
  readonly contention: Pick<Contention, "assume" | "isActive">;
  readonly queue: Pick<RequestQueue, "getOwnDemand" | "recordPeerDemand">;
  readonly partDemand: Pick<PartDemand, "getOwnRates" | "recordReport">;
  /** Returns a 32-bit hash of a text. */
  hash(text: string): number;
  /** Applies the crash record of a peer. */
  mergeCrash(record: CrashRecordUpdate): void;
  readonly quarantine: Pick<
    Quarantine,
    "getRecords" | "hasChanges" | "mayStaySaved" | "merge" | "takeRecords"
  >;
  /** Called when a newer version of the configuration is in force. */
  handleRouteTable(table: RouteTable): void;
  /** Called after changes of the directory were applied to the targets. */
  handleTargetsChanged(): void;
  readonly calls: Pick<DirectCalls, "tryListCachedParts">;
  readonly placement: Placement;
}

/** One router's replica of the directory and its exchange with peers. */
export interface Directory {
  start(): void;
  stop(): void;
  /**
   * Records that a target gets the parts of a prompt and has to prefill
   * `prefillParts`, and reports it to peers.
   */
  recordParts(
    target: string,
    parts: readonly PromptPart[],
    prefillParts: readonly PromptPart[],
  ): void;
  /** Reports a crash record to peers. */
  reportCrash(record: CrashRecordUpdate): void;
  /** Sends a digest to all peers now. */
  sendDigest(): void;
  /**
   * Returns the delay after which this router may start a trial of a key, in
   * milliseconds; undefined when it is out of contact with its peers.
   */
  tryGetTrialDelayMs(key: string): number | undefined;
  /** Highest number of routers that were registered lately; at least 1. */
  getPeakRouterCount(): number;
  /** Returns this router's place among those that run. */
  getRouterPlace: RouterRoster["getPlace"];
  readonly streamOrigins: StreamOrigins;
  readonly versionStore: VersionStore;
  readonly prefillTurns: PrefillTurns;
  /** Time since the last response of the store, in milliseconds. */
  getAgeMs(): number;
  /** As `StoreContact.getCopyAgeMs`. */
  getCopyAgeMs(): number;
  /** True when the last call to the store failed. */
  isStoreUnavailable(): boolean;
  /**
   * Resolves when the cached parts of engines are known again after a restart
   * as far as the request needs them, or after a short timeout.
   */
  waitForCacheRecovery(request: DirectRequest): Promise<void>;
  dump(): Dump;
}

/** Creates the directory; `start` joins it to the fleet. */
export async function createDirectory(
  host: DirectoryHost,
): Promise<Directory> {
  const { settings, store, log, metrics, targets } = host;
  const replica: DirectoryReplica = createDirectoryReplica();
  const self = createRouterPeer(settings);
  let engineServices: ReadonlySet<string> = new Set();
  const watchers = createWatcherChoice({
    selfId: settings.id,
    placement: host.placement,
    getRouterIds: () => routers.keys(),
  });
  const sync = createDirectorySync({
    selfId: settings.id,
    store,
    replica,
    watchers,
    log,
    handleChanges: applyChanges,
    handleReturn: () => registration.handleReturn(),
    handleOutageRevised: () => directoryTables.handleOutageRevised(),
    pushChanges: (changes, base) => exchange.pushChanges(changes, base),
    pushUrgent: (changes, era) => exchange.pushUrgent(changes, era),
    tellSilent: () => exchange.sendDigest(),
    countCall: (call) => metrics.count("store_calls_total", { call }),
  });
  const directoryTables = createDirectoryTables({
    ...{ store, targets, log },
    ...{ evacuations: host.evacuations, limits: host.limits },
    ...{ health: host.health, cachedParts: host.cachedParts },
    expiryGraceMs: settings.expiryGraceMs,
    getOutageEndedAt: sync.getOutageEndedAt,
    describeContact: sync.describeContact,
    getReturnedAt: sync.getReturnedAt,
    getEra: () => replica.getPosition().era,
    handleRouteTable,
  });
  const { routers } = directoryTables;
  const getRank = createRouterRank({
    ...{ selfId: settings.id, placement: host.placement },
    getRouterIds: () => routers.keys(),
  });
  const peakRouterCount = createRecentMaximum({
    windowMs: peakRouterCountWindowMs,
  });
  const roster = createRouterRoster({
    selfId: settings.id,
    getRouterIds: () => routers.keys(),
  });
  const registration = createRouterRegistration({
    log,
    announce: () => store.announce(self),
    isRegistered: () =>
      isDeepStrictEqual(directoryTables.tryGetRegistered(self.id), self),
    random: Math.random,
  });
  const evidenceStore = createEvidenceStore({
    ...{ store, log, getRank },
    getRecords: host.quarantine.getRecords,
    mayStaySaved: host.quarantine.mayStaySaved,
    merge: host.quarantine.merge,
  });
  const versionStore = createVersionStore({
    ...{ store, log, metrics, getRank, getTargets: targets.getAll },
    ...{ hash: host.hash, getAgeMs: sync.getCopyAgeMs },
    getEra: () => replica.getPosition().era,
  });
  const savedTargets = createSavedTargetUse({
    ...{ store, log, metrics, getRank, sync, targets, directoryTables },
    contention: host.contention,
    getEra: () => replica.getPosition().era,
  });
  const pulls = createPeerPulls({
    ...{ settings, log },
    needsPeers: sync.needsPeers,
    hasConfiguration: () => directoryTables.getVersion() > 0,
    getPosition: replica.getPosition,
    applyCopy: sync.applyPeerCopy,
    pullDirectory: async (peer, after) => {
      const { pullDirectory } = await import("../connection/directory_pull.ts");
      return await pullDirectory(peer, after);
    },
    pullCachedParts: async (peer) => {
      const { pullCachedParts } = await import(
        "../connection/directory_pull.ts"
      );
      return await pullCachedParts(peer);
    },
  });
  const listRecovery = createListRecovery({
    ...{ selfId: self.id, placement: host.placement, isEngine },
    ...{ log, routers, targets, contention: host.contention, getRank },
    ...{ calls: host.calls, cachedParts: host.cachedParts },
    getExchange: () => exchange,
    tryPullCachedParts: pulls.tryPullCachedParts,
  });
  const exchange = createDigestExchange({
    ...{ settings, log, metrics, routers, roster, watchers, sync, pulls },
    turns: host.turns,
    ...{ targets, limits: host.limits, pace: host.pace },
    ...{ prefills: host.prefills, partDemand: host.partDemand },
    handleListMessage: listRecovery.handleMessage,
    handleStreamMessage: (peer, message) => streamOrigins.handle(peer, message),
    ...{ cachedParts: host.cachedParts, loads: host.loads, queue: host.queue },
    mergeCrash: host.mergeCrash,
    quarantine: host.quarantine,
    getPosition: replica.getPosition,
    countLostEntries: replica.countLostEntries,
    isSettled: listRecovery.isSettled,
  });
  const streamOrigins = createStreamOrigins({
    ...{ selfId: settings.id, metrics, hash: host.hash },
    placement: host.placement,
    getRouterIds: () => routers.keys(),
    send: (peer, message) =>
      exchange.send(encodeStreamMessage(self.id, message), peer),
  });
  const pullService = createPullService({
    ...{ log, address: settings.pull, getCopyAfter: replica.getCopyAfter },
    getCachedParts: () => ({
      parts: host.cachedParts.getAll(),
      isSettled: listRecovery.isSettled(),
    }),
  });
  reportStoreResponses(host);
  let isRecoveryStarted = false;
  let caughtUpPosition = originPosition;
  let pendingTable: RouteTable | undefined;
  await exchange.start();

  return {
    start,
    stop,
    recordParts: exchange.recordParts,
    reportCrash: exchange.reportCrash,
    sendDigest: exchange.sendDigest,
    tryGetTrialDelayMs,
    getPeakRouterCount: () => Math.max(1, peakRouterCount.get()),
    getRouterPlace: roster.getPlace,
    ...{ streamOrigins, versionStore },
    prefillTurns: listRecovery.prefillTurns,
    ...{ getAgeMs: sync.getAgeMs, getCopyAgeMs: sync.getCopyAgeMs },
    isStoreUnavailable: sync.hasFailed,
    waitForCacheRecovery: listRecovery.wait,
    dump,
  };

  function tryGetTrialDelayMs(key: string): number | undefined {
    if (!exchange.isInContact()) return undefined;
    return getRank(key) * trialDelayPerRankMs;
  }

  function start(): void {
    sync.start();
    evidenceStore.start();
    versionStore.start();
    savedTargets.start();
    void pullService.start();
  }

  function stop(): void {
    registration.stop();
    evidenceStore.stop();
    versionStore.stop();
    savedTargets.stop();
    exchange.stop();
    sync.stop();
    pullService.stop();
    void store.close();
  }

  function applyChanges(
    changes: readonly DirectoryChange[],
    source: ChangeSource,
  ): void {
    directoryTables.apply(changes, source);
    savedTargets.apply(changes, source);
    evidenceStore.apply(changes);
    versionStore.apply(changes, source);
    peakRouterCount.record(routers.size);
    roster.recordDirectory();
    registration.registerOnce();
    if (changes.some(isOwnRemoval)) registration.handleReturn();
    recoverOnce();
    if (pendingTable !== undefined) host.handleRouteTable(pendingTable);
    pendingTable = undefined;
    const position = replica.getPosition();
    // A push after a gap applies changes but does not close the gap.
    if (comparePositions(position, caughtUpPosition) > 0) {
      pulls.reportCaughtUp();
    }
    caughtUpPosition = position;
    host.handleTargetsChanged();
  }

  function isOwnRemoval({ key, value }: DirectoryChange): boolean {
    const record = store.resolveKey(key);
    return value === undefined && record?.kind === "router" &&
      record.id === self.id;
  }

  /** Starts recovery once the first configuration and targets are known. */
  function recoverOnce(): void {
    if (isRecoveryStarted || directoryTables.getVersion() === 0) return;
    isRecoveryStarted = true;
    void listRecovery.recover(self.id);
  }

  function handleRouteTable(table: RouteTable): void {
    engineServices = new Set(
      [...table.services.values()]
        .filter(({ engine }) => engine !== undefined)
        .map(({ name }) => name),
    );
    versionStore.setRoutes(table);
    // The first table is forwarded after the targets of the same listing have
    // been applied, so that no request is placed without them.
    if (isRecoveryStarted) host.handleRouteTable(table);
    else pendingTable = table;
  }

  function isEngine({ service }: DirectTarget): boolean {
    return engineServices.has(service);
  }

  function dump(): Dump {
    return {
      version: directoryTables.getVersion(),
      ...replica.getPosition(),
      isConnected: sync.isConnected(),
      isWatching: sync.isWatching(),
      ageMs: Math.round(sync.getAgeMs()),
      routers: [...routers.keys()],
      versions: versionStore.dump(),
    };
  }
}
