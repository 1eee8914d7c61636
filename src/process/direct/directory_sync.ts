/**
 * Keeps the replica in sync with the store. Every router lists once; then some
 * of them watch the store, and the others take the changes that these push. A
 * router that has missed a push reads the changes once itself. Peers' copies are
 * used while the store is unavailable to this process.
 */

import type { EitherAsync } from "purify-ts";
import type { DirectoryError, DirectoryStore } from "../../types/directory.ts";
import type { WatchEvent } from "../../types/platform.ts";
import type { ChangeSource } from "./directory_tables.ts";
import { getBackOffMs } from "../membership/jitter.ts";
import type { Log } from "../telemetry/log.ts";
import type { DirectoryPush, DirectoryReplica } from "./directory_replica.ts";
import type { WatcherChoice } from "./watcher_choice.ts";

/** What the synchronization needs from the process. */
export interface DirectorySyncHost {
  readonly store: Pick<DirectoryStore, "list" | "watch">;
  readonly replica: DirectoryReplica;
  readonly watchers: Pick<
    WatcherChoice,
    "countWatchersAhead" | "getLastWatchedAt" | "shouldWatch"
  >;
  readonly log: Log;
  /** Handles new changes, in order. */
  handleChanges(
    changes: readonly WatchEvent[],
    source: ChangeSource,
  ): void;
  /** Pushes changes that were watched after a revision to the peers. */
  pushChanges(changes: readonly WatchEvent[], afterRevision: number): void;
  /** Counts one call to the store. */
  countCall(call: "list" | "watch"): void;
}

/** Synchronizes the replica of one process with the store. */
export interface DirectorySync {
  /** Starts to list and watch the store. */
  start(): void;
  /** Stops after the pending call, whose failure is ignored. */
  stop(): void;
  /** Applies changes that were pulled from a peer. */
  applyPeerChanges(changes: readonly WatchEvent[]): void;
  /** Applies changes that a peer has pushed. */
  applyPush(push: DirectoryPush): void;
  /**
   * Reads the changes after the newest known revision once from the store;
   * returns false when the store is unavailable.
   */
  catchUp(): Promise<boolean>;
  /** Returns true while `catchUp` runs. */
  isCatchingUp(): boolean;
  /** Records when an outage of the store ended, as a peer reports it. */
  recordPeerOutage(endedAt: number): void;
  /** Returns true while this router watches the store and it responds. */
  isWatching(): boolean;
  /** Returns true while this router has the turn to watch the store. */
  hasTurn(): boolean;
  /** Returns true while the store responds; false before its first response. */
  isConnected(): boolean;
  /** Returns true when changes should be pulled from peers. */
  needsPeers(): boolean;
  /** Returns true when the last call to the store failed. */
  hasFailed(): boolean;
  /**
   * Returns when the last outage ended, on the monotonic clock; negative
   * infinity when there was none. See `minOutageMs`.
   */
  getOutageEndedAt(): number;
  /** As `getOutageEndedAt`, of outages that this router saw itself. */
  getSeenOutageEndedAt(): number;
  /**
   * Returns the time since the store last responded to this router or to one
   * that pushes to it, in milliseconds.
   */
  getAgeMs(): number;
}

/**
 * Timeout of one watch, in milliseconds. It bounds the time until an
 * unresponsive connection is detected, but a shorter timeout costs more calls.
 */
const watchTimeoutMs = 1_000;

/**
 * Time since the last response after which a router no longer reports that it
 * watches the store, in milliseconds: the longest pause after changes, a watch
 * without changes and a slow round trip.
 */
const watchReportMs = 2_000;

/** Interval at which a router checks whether to watch the store, in ms. */
const turnCheckIntervalMs = 100;

/** Wait of a watch that only reads changes already made, in milliseconds. */
const catchUpWaitMs = 1;

/**
 * Delay after a watch that returned changes, in milliseconds. Changes come in
 * bursts, and without the delay each change costs a call from every router. It
 * is short compared with the seconds within which a change must take effect.
 */
const batchDelayMs = 400;

/**
 * Delay after a watch that returned changes while a router of higher rank
 * watches too, in milliseconds. That router pushes the changes; this one only
 * has to notice when it no longer does.
 */
const standbyBatchDelayMs = 600;

/**
 * Minimum duration of an outage, in milliseconds. After this time without the
 * store, entries may have expired although their targets are alive. A shorter
 * gap, such as one interrupted watch, is not an outage.
 */
const minOutageMs = 1_000;

/**
 * Timeout of the first response before peers are queried, in milliseconds. It
 * is longer than a healthy store takes when all routers start at once, because
 * a query loads the RPC library, which delays the store's response.
 */
const firstResponseTimeoutMs = 500;

/**
 * Delay after failed calls. It is short compared with the seconds within which
 * a change must take effect.
 */
const failureBackOff = { firstMs: 60, maxMs: 500 } as const;

/** Creates the synchronization, which begins with `start`. */
export function createDirectorySync(host: DirectorySyncHost): DirectorySync {
  let isStopped = false;
  let isConnected = false;
  let failures = 0;
  let outageEndedAt = Number.NEGATIVE_INFINITY;
  let peerOutageEndedAt = Number.NEGATIVE_INFINITY;
  /** Time of the first failure since the store last responded. */
  let disconnectedAt = performance.now();
  let lastResponseAt = performance.now();
  const createdAt = performance.now();
  let hasTurn = false;
  let isCatchingUp = false;

  return {
    start: () => void run(),
    stop: () => {
      isStopped = true;
    },
    applyPeerChanges: (changes) =>
      notify(host.replica.applyChanges(changes), "peer"),
    applyPush: (push) => notify(host.replica.applyPush(push), "push"),
    catchUp,
    isCatchingUp: () => isCatchingUp,
    recordPeerOutage: (endedAt) => {
      peerOutageEndedAt = Math.max(peerOutageEndedAt, endedAt);
    },
    isWatching,
    hasTurn: () => hasTurn,
    isConnected: () => isConnected,
    needsPeers,
    hasFailed: () => failures > 0,
    getOutageEndedAt: () => Math.max(outageEndedAt, peerOutageEndedAt),
    getSeenOutageEndedAt: () => outageEndedAt,
    getAgeMs: () =>
      performance.now() -
      Math.max(lastResponseAt, host.watchers.getLastWatchedAt()),
  };

  function isWatching(): boolean {
    return hasTurn && isConnected &&
      performance.now() - lastResponseAt < watchReportMs;
  }

  function needsPeers(): boolean {
    if (isConnected) return false;
    return failures > 0 ||
      performance.now() - createdAt >= firstResponseTimeoutMs;
  }

  async function run(): Promise<void> {
    let revision: number | undefined;
    while (!isStopped) {
      const isFirst = host.replica.getNewestRevision() === 0;
      if (!isFirst && !host.watchers.shouldWatch()) {
        stopWatching();
        await sleep(turnCheckIntervalMs);
        revision = host.replica.getNewestRevision();
        continue;
      }
      if (!isFirst) startWatching();
      revision = revision === undefined
        ? await tryList()
        : await tryWatch(revision);
    }
  }

  function startWatching(): void {
    if (hasTurn) return;
    hasTurn = true;
    // While no router has read the store, entries may have expired.
    const lastWatchedAt = Math.max(
      lastResponseAt,
      host.watchers.getLastWatchedAt(),
    );
    if (performance.now() - lastWatchedAt >= minOutageMs) {
      isConnected = false;
      disconnectedAt = lastWatchedAt;
    }
    host.log.info("Router watches the store", {
      revision: host.replica.getNewestRevision(),
    });
  }

  function stopWatching(): void {
    if (!hasTurn) return;
    hasTurn = false;
    host.log.info("Router takes changes from its peers", {
      revision: host.replica.getNewestRevision(),
    });
  }

  async function catchUp(): Promise<boolean> {
    if (isCatchingUp) return true;
    isCatchingUp = true;
    try {
      host.countCall("watch");
      const result = await host.store.watch({
        afterRevision: host.replica.getNewestRevision(),
        waitMs: catchUpWaitMs,
      }).run();
      if (isStopped) return true;
      return await result.caseOf<Promise<boolean>>({
        Left: async ({ kind, message }) => {
          if (kind === "compacted") return await tryList() !== undefined;
          host.log.warn("Missed changes could not be read", {
            ...{ kind, reason: message },
          });
          return false;
        },
        Right: ({ events }) => {
          notify(host.replica.applyChanges(events), "watch");
          return Promise.resolve(true);
        },
      });
    } finally {
      isCatchingUp = false;
    }
  }

  /** Returns the revision to watch from; undefined after a failure. */
  async function tryList(): Promise<number | undefined> {
    host.countCall("list");
    const listing = await tryCall(host.store.list());
    if (listing === undefined) return undefined;
    notify(host.replica.applyListing(listing), "listing");
    return listing.position.revision;
  }

  /** Returns the revision to watch from; undefined to list again. */
  async function tryWatch(afterRevision: number): Promise<number | undefined> {
    host.countCall("watch");
    const changes = await tryCall(
      host.store.watch({ afterRevision, waitMs: watchTimeoutMs }),
    );
    // Changes may have been missed while the store was unavailable.
    if (changes === undefined) return undefined;
    const newestBefore = host.replica.getNewestRevision();
    const applied = host.replica.applyChanges(changes.events);
    const unknown = changes.events.filter(({ revision }) =>
      revision > newestBefore
    );
    if (unknown.length > 0) host.pushChanges(unknown, newestBefore);
    notify(applied, "watch");
    if (changes.events.length > 0) {
      const isStandby = host.watchers.countWatchersAhead() > 0;
      await sleep(isStandby ? standbyBatchDelayMs : batchDelayMs);
    }
    return changes.position.revision;
  }

  async function tryCall<T>(
    call: EitherAsync<DirectoryError, T>,
  ): Promise<T | undefined> {
    const result = await call.run();
    return await result.caseOf<Promise<T | undefined>>({
      Left: async (error) => {
        // Stopping closes the client, which fails the pending call.
        if (isStopped) return undefined;
        recordFailure(error);
        if (error.kind !== "compacted") await backOff();
        return undefined;
      },
      Right: (value) => {
        recordSuccess();
        return Promise.resolve(value);
      },
    });
  }

  function recordFailure(error: DirectoryError): void {
    failures++;
    if (failures > 1 && !isConnected) return;
    if (error.kind !== "compacted") {
      if (isConnected) disconnectedAt = performance.now();
      isConnected = false;
    }
    host.log.warn("Store call failed", {
      kind: error.kind,
      reason: error.message,
      directoryRevision: host.replica.getNewestRevision(),
      ageMs: Math.round(performance.now() - lastResponseAt),
    });
  }

  function recordSuccess(): void {
    const now = performance.now();
    if (!isConnected) {
      if (now - disconnectedAt >= minOutageMs) outageEndedAt = now;
      host.log.info("Store is reached", {
        failures,
        awayMs: Math.round(now - disconnectedAt),
      });
    }
    isConnected = true;
    failures = 0;
    lastResponseAt = now;
  }

  async function backOff(): Promise<void> {
    await sleep(getBackOffMs(failures, failureBackOff));
  }

  function notify(
    changes: readonly WatchEvent[],
    source: ChangeSource,
  ): void {
    if (changes.length > 0) host.handleChanges(changes, source);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
