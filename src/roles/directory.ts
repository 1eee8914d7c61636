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
import { createDirectorySync } from "../process/direct/directory_sync.ts";
import type { HeldPart, HeldParts } from "../process/direct/held_parts.ts";
import type { PartReads } from "../process/direct/part_reads.ts";
import type { LoadView } from "../process/direct/load_view.ts";
import {
  createDigestWriter,
  type DigestNews,
  type DigestState,
  tryReadDigest,
} from "../process/direct/peer_digests.ts";
import type { TargetHealth } from "../process/direct/target_health.ts";
import type { TargetTable } from "../process/direct/target_table.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Placement } from "../process/placement/placement.ts";
import type { DirectCalls } from "../types/direct_calls.ts";
import type {
  DirectSettings,
  SocketAddress,
} from "../types/direct_settings.ts";
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

/** Time for which a peer may be ahead before its copy is pulled, in ms. */
const behindMs = 500;

/**
 * Time after the start at which a first copy is pulled from a peer that is
 * heard, in milliseconds. A store that was only busy has answered by then.
 */
const firstPullAfterMs = 400;

/**
 * Time after the start at which seeds are asked, in milliseconds. Peers that
 * know this router are heard before; after an outage of all, seeds know nothing
 * and loading the RPC library holds up the answer of the store.
 */
const askSeedsAfterMs = 1_000;

/** Silence of a peer after which news may have been missed, in ms. */
const silentMs = 1_500;

/** Pause between pulls, in milliseconds. */
const pullPauseMs = 400;

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
  readonly held: HeldParts;
  readonly reads: Pick<PartReads, "notePeerRead">;
  readonly loads: Pick<LoadView, "takeReport" | "getOwn">;
  /** A newer version of the configuration is in force. */
  noteTable(table: RouteTable): void;
  noteTargets(): void;
  readonly calls: Pick<DirectCalls, "tryListParts">;
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
  const routers = new Map<string, RouterPeer>();
  const digests = createDigestWriter(settings.id);
  const self: RouterPeer = {
    id: settings.id,
    address: settings.digest.address,
    digestPort: settings.digest.port,
    pullPort: settings.pull.port,
  };
  const createdAt = performance.now();
  let version = 0;
  let engineServices: ReadonlySet<string> = new Set();
  let isStopped = false;
  let isPulling = false;
  let nextSeed = 0;
  let behindSince: number | undefined;
  let sentAt = 0;
  let pulls: PullListener | undefined;
  const sync = createDirectorySync({
    store,
    replica,
    log,
    noteChanges,
    countCall: (call) => metrics.count("store_calls_total", { call }),
  });
  const recovery = createCacheRecovery({
    log,
    placement: host.placement,
    getPeers: () => [...routers.values()],
    askPeers: () => sendDigest(performance.now()),
    isPeerSettled: (id) => settledPeers.has(id),
    getEngines: () => targets.getAllReady().filter(isEngine),
    tryPull,
    tryListParts: host.calls.tryListParts,
    takeParts: (parts) =>
      parts.forEach(({ target, part }) => host.held.notePart(target, part)),
    noteParts: (target, parts) => noteParts(target, parts, []),
  });
  let isRecovering = false;
  let firstTable: RouteTable | undefined;
  /** Peers that had nothing to recover when they were last heard. */
  const settledPeers = new Set<string>();
  /** Moments at which peers were last heard. */
  const heardAt = new Map<string, number>();
  const socket = createGossipSocket({
    receive: (bytes, from) => {
      const news = tryReadDigest(bytes);
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
      pulls = await openPullListener({
        getSince: replica.getSince,
        getHeldParts: () => ({
          parts: host.held.getAll(),
          isSettled: recovery.isSettled(),
        }),
        onError: (error) =>
          log.warn("Pull of a peer failed", { reason: error.message }),
      }, settings.pull);
      if (isStopped) pulls.close();
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
      await new Promise((resolve) => {
        setTimeout(resolve, announcePauseMs).unref();
      });
    }
  }

  function stop(): void {
    isStopped = true;
    clearInterval(timer);
    sync.stop();
    pulls?.close();
    void socket.close();
    void store.close();
  }

  function noteChanges(
    changes: readonly WatchEvent[],
    source: "listing" | "watch" | "peer",
  ): void {
    changes.forEach((change) => noteChange(change, source));
    recoverOnce();
    if (firstTable !== undefined) host.noteTable(firstTable);
    firstTable = undefined;
    behindSince = undefined;
    host.noteTargets();
  }

  /** Begins once, when the first configuration and targets are known. */
  function recoverOnce(): void {
    if (isRecovering || version === 0) return;
    isRecovering = true;
    void recovery.recover(self.id);
  }

  function noteChange(change: WatchEvent, source: string): void {
    const { key, value, revision } = change;
    if (value === undefined) return noteRemoval(change, source);
    const record = store.decode({ key, value, revision });
    switch (record.kind) {
      case "route_table":
        return noteTable(record.table, { revision, source });
      case "target": {
        const { id, service, state, address } = record.target;
        if (targets.put(record.target)) {
          host.held.forgetTarget(id);
          host.health.forget(id);
        }
        log.info("Target changed", {
          ...{ target: id, service, state, address, revision, source },
        });
        return;
      }
      case "router":
        routers.set(record.router.id, record.router);
        return;
      case "unreadable":
        log.warn("Entry cannot be read", {
          ...{ key, revision, reason: record.reason },
        });
        return noteRemoval(change, source);
      case "other":
        return;
    }
  }

  function noteTable(
    table: RouteTable,
    { revision, source }: {
      readonly revision: number;
      readonly source: string;
    },
  ): void {
    if (table.version <= version) {
      return log.warn("Older configuration was ignored", {
        ...{ version: table.version, inForce: version, revision, source },
      });
    }
    version = table.version;
    engineServices = new Set(
      [...table.services.values()]
        .filter(({ engine }) => engine !== undefined)
        .map(({ name }) => name),
    );
    log.info("Configuration is in force", {
      ...{ version, revision, source },
      routes: table.routes.length,
    });
    // The targets of the same listing should be known before requests are.
    if (isRecovering) host.noteTable(table);
    else firstTable = table;
  }

  function noteRemoval(
    { key, revision }: WatchEvent,
    source: string,
  ): void {
    const held = store.resolveKey(key);
    if (held === undefined) return;
    if (held.kind === "router") return void routers.delete(held.id);
    const usableUntil = getUsableUntil(held.id, source);
    targets.remove(held.id, usableUntil);
    log.info("Target is gone", {
      target: held.id,
      ...{ revision, source },
      usableForMs: Math.max(0, Math.round(usableUntil - performance.now())),
    });
  }

  /** Entries that lapsed in an outage come back if their targets live. */
  function getUsableUntil(id: string, source: string): number {
    const now = performance.now();
    if (source === "peer" || targets.tryGet(id)?.state === "draining") {
      return now;
    }
    return Math.max(now, sync.getOutageEndedAt() + settings.lapseReturnMs);
  }

  function noteParts(
    target: string,
    parts: readonly PromptPart[],
    read: readonly PromptPart[],
  ): void {
    for (const part of parts) {
      if (!host.held.isHeld(target, part.id)) {
        digests.notePart({ target, part, isBeingRead: read.includes(part) });
      }
    }
    host.held.note(target, parts);
  }

  function tick(): void {
    const now = performance.now();
    let left = maxDigestsAtOnce;
    // A restarted router tells whole caches of engines at once.
    while (digests.getWaiting() > 0 && left-- > 0) sendDigest(now);
    if (now - sentAt >= digestMs) sendDigest(now);
    if (version > 0 || now - createdAt < askSeedsAfterMs) return;
    if (sync.needsPeers()) pullFromSeed();
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
      loads: host.loads.getOwn(),
    };
  }

  function takeDigest(news: DigestNews, from: Endpoint): void {
    if (news.sender === self.id) return;
    host.loads.takeReport(news.sender, news.loads);
    noteHeard(news.sender);
    if (news.isSettled) settledPeers.add(news.sender);
    else {
      settledPeers.delete(news.sender);
      if (recovery.isSettled()) {
        socket.send(digests.writeAnswer(getDigestState()), from);
      }
    }
    for (const { target, part, isBeingRead } of news.parts) {
      if (isBeingRead && !host.held.isHeld(target, part.id)) {
        host.reads.notePeerRead(target, part);
      }
      host.held.notePart(target, part);
    }
    if (news.directoryRevision <= replica.getNewestRevision()) return;
    const now = performance.now();
    behindSince ??= now;
    const mayPull = version === 0
      ? sync.needsPeers() && now - createdAt >= firstPullAfterMs
      : now - behindSince >= behindMs;
    if (!mayPull) return;
    // A peer that the store has not told of yet uses the same ports.
    const port = routers.get(news.sender)?.pullPort ?? settings.pull.port;
    void pull({ address: from.address, port });
  }

  /** What a peer has told while it was not heard is pulled from it. */
  function noteHeard(sender: string): void {
    const now = performance.now();
    const before = heardAt.get(sender);
    heardAt.set(sender, now);
    if (before === undefined || now - before < silentMs) return;
    const peer = routers.get(sender);
    if (peer === undefined) return;
    void tryPull(peer).then((parts) =>
      parts?.forEach(({ target, part }) => host.held.notePart(target, part))
    );
  }

  async function tryPull(
    peer: RouterPeer,
  ): Promise<readonly HeldPart[] | undefined> {
    try {
      const { pullHeldParts } = await import("../connection/directory_pull.ts");
      const { parts, isSettled } = await pullHeldParts({
        address: peer.address,
        port: peer.pullPort,
      });
      return isSettled ? parts : undefined;
    } catch (error) {
      log.warn("Peer gave no copy of held parts", {
        peer: peer.id,
        reason: error instanceof Error ? error.message : String(error),
      });
      return undefined;
    }
  }

  function isEngine({ service }: DirectTarget): boolean {
    return engineServices.has(service);
  }

  function pullFromSeed(): void {
    const seeds = settings.seeds.filter(({ address, port }) =>
      address !== settings.pull.address || port !== settings.pull.port
    );
    const seed = seeds[nextSeed % Math.max(1, seeds.length)];
    if (seed === undefined || isPulling) return;
    nextSeed++;
    void pull(seed);
  }

  async function pull(peer: SocketAddress): Promise<void> {
    if (isPulling) return;
    isPulling = true;
    const revision = replica.getNewestRevision();
    try {
      const { pullDirectory } = await import("../connection/directory_pull.ts");
      const changes = await pullDirectory(peer, revision);
      sync.takeFromPeer(changes);
      log.info("Directory was pulled from a peer", {
        peer: peer.address,
        fromRevision: revision,
        changes: changes.length,
      });
    } catch (error) {
      log.warn("Peer gave no copy of the directory", {
        peer: peer.address,
        reason: error instanceof Error ? error.message : String(error),
      });
    } finally {
      setTimeout(() => {
        isPulling = false;
      }, pullPauseMs).unref();
    }
  }

  function dump(): Dump {
    return {
      version,
      revision: replica.getNewestRevision(),
      isConnected: sync.isConnected(),
      ageMs: Math.round(sync.getAgeMs()),
      routers: [...routers.keys()],
    };
  }
}
