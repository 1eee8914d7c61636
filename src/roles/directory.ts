/**
 * What a router knows of the fleet: replicates the store's directory, keeps
 * tables of targets up to date, and exchanges digests with other routers.
 */

import {
  openPullListener,
  type PullListener,
} from "../connection/pull_listener.ts";
import { createGossipSocket } from "../connection/gossip_socket.ts";
import type { Endpoint } from "../process/membership/exchange.ts";
import type { DirectoryReplica } from "../process/direct/directory_replica.ts";
import { createDirectoryReplica } from "../process/direct/directory_replica.ts";
import { createCacheRecovery } from "../process/direct/cache_recovery.ts";
import {
  type ChangeSource,
  createDirectoryTables,
} from "../process/direct/directory_tables.ts";
import { createPeerPulls } from "../process/direct/peer_pulls.ts";
import { createDirectorySync } from "../process/direct/directory_sync.ts";
import type { CachedParts } from "../process/direct/cached_parts.ts";
import type { PartPrefills } from "../process/direct/part_prefills.ts";
import type { LoadView } from "../process/direct/load_view.ts";
import {
  createDigestWriter,
  type DigestState,
  type ReceivedDigest,
  tryDecodeDigest,
} from "../process/direct/peer_digests.ts";
import type { TargetHealth } from "../process/direct/target_health.ts";
import type { TargetTable } from "../process/direct/target_table.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Placement } from "../process/placement/placement.ts";
import type { DirectCalls } from "../types/direct_calls.ts";
import type { DirectSettings } from "../types/direct_settings.ts";
import type { DirectTarget, RouterPeer } from "../types/direct_target.ts";
import type { DirectoryStore } from "../types/directory.ts";
import type { WatchEvent } from "../types/platform.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { Dump } from "../types/role.ts";
import type { RouteTable } from "../types/route_table.ts";

/** Interval of digests without news, in milliseconds. */
const digestMs = 250;

/** Interval at which news are passed on, in milliseconds. */
const newsMs = 60;

/** Digests to each peer in one interval; bounds a burst after a restart. */
const maxDigestsAtOnce = 16;

/** Silence of a peer after which news may have been missed, in ms. */
const silentMs = 1_500;

/** Pause before the own entry is written again after a failure, in ms. */
const announcePauseMs = 500;

/** What the directory needs from the process. */
export interface DirectoryHost {
  readonly settings: DirectSettings;
  readonly store: DirectoryStore;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly targets: TargetTable;
  readonly health: Pick<TargetHealth, "forget">;
  readonly held: CachedParts;
  readonly reads: Pick<PartPrefills, "recordPeerPrefill">;
  readonly loads: Pick<LoadView, "recordReport" | "getOwnLoads">;
  /** A newer version of the configuration is in force. */
  noteTable(table: RouteTable): void;
  noteTargets(): void;
  readonly calls: Pick<DirectCalls, "tryListCachedParts">;
  readonly placement: Placement;
}

/** The directory of one process. */
export interface Directory {
  start(): void;
  stop(): void;
  /** A target is given the parts of a prompt; peers are told. */
  noteParts(
    target: string,
    parts: readonly PromptPart[],
    read: readonly PromptPart[],
  ): void;
  /** Routers that are registered, this one included; at least 1. */
  getRouters(): number;
  /** Time since the store last answered, in milliseconds. */
  getAgeMs(): number;
  /** True when the last call to the store has failed. */
  isStoreAway(): boolean;
  /** Resolves when it is known again which engines hold what. */
  waitForCaches(): Promise<void>;
  dump(): Dump;
}

/** Creates the directory; it joins the fleet with `start`. */
export async function createDirectory(
  host: DirectoryHost,
): Promise<Directory> {
  const { settings, store, log, metrics, targets } = host;
  const replica: DirectoryReplica = createDirectoryReplica();
  const digests = createDigestWriter(settings.id);
  const self: RouterPeer = {
    id: settings.id,
    address: settings.digest.address,
    digestPort: settings.digest.port,
    pullPort: settings.pull.port,
  };
  let engineServices: ReadonlySet<string> = new Set();
  let isStopped = false;
  let sentAt = 0;
  let listener: PullListener | undefined;
  const sync = createDirectorySync({
    store,
    replica,
    log,
    handleChanges: noteChanges,
    countCall: (call) => metrics.count("store_calls_total", { call }),
  });
  const directory = createDirectoryTables({
    ...{ store, targets, log },
    health: host.health,
    cachedParts: host.held,
    expiredEntryGraceMs: settings.expiryGraceMs,
    getOutageEndedAt: sync.getOutageEndedAt,
    handleRouteTable: noteTable,
  });
  const { routers } = directory;
  const pulls = createPeerPulls({
    ...{ settings, log },
    needsPeers: sync.needsPeers,
    hasConfiguration: () => directory.getVersion() > 0,
    getRevision: replica.getNewestRevision,
    applyChanges: sync.applyPeerChanges,
    pullDirectory: async (peer, afterRevision) => {
      const { pullDirectory } = await import("../connection/directory_pull.ts");
      return await pullDirectory(peer, afterRevision);
    },
    pullCachedParts: async (peer) => {
      const { pullCachedParts: pullHeldParts } = await import(
        "../connection/directory_pull.ts"
      );
      return await pullHeldParts(peer);
    },
  });
  const recovery = createCacheRecovery({
    log,
    placement: host.placement,
    getPeers: () => [...routers.values()],
    announceRecovery: () => sendDigest(performance.now()),
    isPeerSettled: (id) => settledPeers.has(id),
    getEngines: () => targets.getAllReady().filter(isEngine),
    tryPullFromPeer: pulls.tryPullCachedParts,
    tryListParts: host.calls.tryListCachedParts,
    recordPeerParts: (parts) =>
      parts.forEach(({ target, part }) => host.held.recordPart(target, part)),
    recordEngineParts: (target, parts) => noteParts(target, parts, []),
  });
  let isRecovering = false;
  let firstTable: RouteTable | undefined;
  /** Peers that had nothing to recover when they were last heard. */
  const settledPeers = new Set<string>();
  /** Moments at which peers were last heard. */
  const heardAt = new Map<string, number>();
  const socket = createGossipSocket({
    receive: (bytes, from) => {
      const news = tryDecodeDigest(bytes);
      if (news !== undefined) takeDigest(news, from);
    },
    onError: (error) =>
      log.warn("Digest socket failed", {
        reason: error.message,
      }),
  }, settings.digest);
  await socket.bind();
  const timer = setInterval(tick, newsMs);

  return {
    start,
    stop,
    noteParts,
    getRouters: () => Math.max(1, routers.size),
    getAgeMs: sync.getAgeMs,
    isStoreAway: sync.hasFailed,
    waitForCaches: recovery.wait,
    dump,
  };

  function start(): void {
    sync.start();
    void announce();
    void servePulls();
  }

  /** A router whose peers cannot pull still serves its callers. */
  async function servePulls(): Promise<void> {
    try {
      listener = await openPullListener({
        getChangesSince: replica.getSince,
        getCachedParts: () => ({
          parts: host.held.getAll(),
          isSettled: recovery.isSettled(),
        }),
        onError: (error) =>
          log.warn("Pull of a peer failed", { reason: error.message }),
      }, settings.pull);
      if (isStopped) listener.close();
    } catch (error) {
      log.error("Peers cannot pull from this router", {
        reason: String(error),
      });
    }
  }

  async function announce(): Promise<void> {
    while (!isStopped) {
      const written = await store.announce(self).run();
      if (written.isRight()) return;
      written.ifLeft(({ kind, message }) =>
        log.warn("Router could not be registered", { kind, reason: message })
      );
      await new Promise((resolve) => {
        setTimeout(resolve, announcePauseMs).unref();
      });
    }
  }

  function stop(): void {
    isStopped = true;
    clearInterval(timer);
    sync.stop();
    listener?.close();
    void socket.close();
    void store.close();
  }

  function noteChanges(
    changes: readonly WatchEvent[],
    source: ChangeSource,
  ): void {
    directory.apply(changes, source);
    recoverOnce();
    if (firstTable !== undefined) host.noteTable(firstTable);
    firstTable = undefined;
    pulls.reportCaughtUp();
    host.noteTargets();
  }

  /** Begins once, when the first configuration and targets are known. */
  function recoverOnce(): void {
    if (isRecovering || directory.getVersion() === 0) return;
    isRecovering = true;
    void recovery.recover(self.id);
  }

  function noteTable(table: RouteTable): void {
    engineServices = new Set(
      [...table.services.values()]
        .filter(({ engine }) => engine !== undefined)
        .map(({ name }) => name),
    );
    // The targets of the same listing should be known before requests are.
    if (isRecovering) host.noteTable(table);
    else firstTable = table;
  }

  function noteParts(
    target: string,
    parts: readonly PromptPart[],
    read: readonly PromptPart[],
  ): void {
    for (const part of parts) {
      if (!host.held.isCached(target, part.id)) {
        digests.queuePart({ target, part, isBeingRead: read.includes(part) });
      }
    }
    host.held.recordParts(target, parts);
  }

  function tick(): void {
    const now = performance.now();
    let left = maxDigestsAtOnce;
    // A restarted router tells whole caches of engines at once.
    while (digests.getQueueLength() > 0 && left-- > 0) sendDigest(now);
    if (now - sentAt >= digestMs) sendDigest(now);
    pulls.tick();
  }

  function sendDigest(now: number): void {
    sentAt = now;
    const bytes = digests.write(getDigestState());
    for (const { id, address, digestPort } of routers.values()) {
      if (id !== self.id) socket.send(bytes, { address, port: digestPort });
    }
  }

  function getDigestState(): DigestState {
    return {
      directoryRevision: replica.getNewestRevision(),
      isSettled: recovery.isSettled(),
      loads: host.loads.getOwnLoads(),
    };
  }

  function takeDigest(news: ReceivedDigest, from: Endpoint): void {
    if (news.sender === self.id) return;
    host.loads.recordReport(news.sender, news.loads);
    noteHeard(news.sender);
    if (news.isSettled) settledPeers.add(news.sender);
    else {
      settledPeers.delete(news.sender);
      if (recovery.isSettled()) {
        socket.send(digests.writeResponse(getDigestState()), from);
      }
    }
    for (const { target, part, isBeingRead } of news.parts) {
      if (isBeingRead && !host.held.isCached(target, part.id)) {
        host.reads.recordPeerPrefill(target, part);
      }
      host.held.recordPart(target, part);
    }
    if (news.directoryRevision <= replica.getNewestRevision()) return;
    // A peer that the store has not told of yet uses the same ports.
    const port = routers.get(news.sender)?.pullPort ?? settings.pull.port;
    pulls.reportPeerAhead({ address: from.address, port });
  }

  /** What a peer has told while it was not heard is pulled from it. */
  function noteHeard(sender: string): void {
    const now = performance.now();
    const before = heardAt.get(sender);
    heardAt.set(sender, now);
    if (before === undefined || now - before < silentMs) return;
    const peer = routers.get(sender);
    if (peer === undefined) return;
    void pulls.tryPullCachedParts(peer).then((parts) =>
      parts?.forEach(({ target, part }) => host.held.recordPart(target, part))
    );
  }

  function isEngine({ service }: DirectTarget): boolean {
    return engineServices.has(service);
  }

  function dump(): Dump {
    return {
      version: directory.getVersion(),
      revision: replica.getNewestRevision(),
      isConnected: sync.isConnected(),
      ageMs: Math.round(sync.getAgeMs()),
      routers: [...routers.keys()],
    };
  }
}
