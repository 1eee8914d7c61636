/**
 * Keeps the replica in sync with the store: lists once, then watches. Peers'
 * copies are used instead while the store is unavailable to this process.
 */

import type { EitherAsync } from "purify-ts";
import type { DirectoryError, DirectoryStore } from "../../types/directory.ts";
import type { WatchEvent } from "../../types/platform.ts";
import { getBackOffMs } from "../membership/jitter.ts";
import type { Log } from "../telemetry/log.ts";
import type { DirectoryReplica } from "./directory_replica.ts";

/** What the synchronization needs from the process. */
export interface DirectorySyncHost {
  readonly store: Pick<DirectoryStore, "list" | "watch">;
  readonly replica: DirectoryReplica;
  readonly log: Log;
  /** Handles new changes, in order. */
  handleChanges(
    changes: readonly WatchEvent[],
    source: "listing" | "watch" | "peer",
  ): void;
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
  /** Returns the time since the store last responded, in milliseconds. */
  getAgeMs(): number;
}

/**
 * Timeout of one watch, in milliseconds. It bounds the time until an
 * unresponsive connection is detected, but a shorter timeout costs more calls.
 */
const watchTimeoutMs = 2_500;

/**
 * Delay after a watch that returned changes, in milliseconds. Changes come in
 * bursts, and without the delay each change costs a call from every router. It
 * is short compared with the seconds within which a change must take effect.
 */
const batchDelayMs = 400;

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
  /** Time of the first failure since the store last responded. */
  let disconnectedAt = performance.now();
  let lastResponseAt = performance.now();
  const createdAt = performance.now();

  return {
    start: () => void run(),
    stop: () => {
      isStopped = true;
    },
    applyPeerChanges: (changes) =>
      notify(host.replica.applyChanges(changes), "peer"),
    isConnected: () => isConnected,
    needsPeers,
    hasFailed: () => failures > 0,
    getOutageEndedAt: () => outageEndedAt,
    getAgeMs: () => performance.now() - lastResponseAt,
  };

  function needsPeers(): boolean {
    if (isConnected) return false;
    return failures > 0 ||
      performance.now() - createdAt >= firstResponseTimeoutMs;
  }

  async function run(): Promise<void> {
    let revision: number | undefined;
    while (!isStopped) {
      revision = revision === undefined
        ? await tryList()
        : await tryWatch(revision);
    }
  }

  /** Returns the revision to watch from; undefined after a failure. */
  async function tryList(): Promise<number | undefined> {
    host.countCall("list");
    const listing = await tryCall(host.store.list());
    if (listing === undefined) return undefined;
    notify(host.replica.applyListing(listing), "listing");
    return listing.revision;
  }

  /** Returns the revision to watch from; undefined to list again. */
  async function tryWatch(afterRevision: number): Promise<number | undefined> {
    host.countCall("watch");
    const changes = await tryCall(
      host.store.watch({ afterRevision, waitMs: watchTimeoutMs }),
    );
    // Changes may have been missed while the store was unavailable.
    if (changes === undefined) return undefined;
    notify(host.replica.applyChanges(changes.events), "watch");
    if (changes.events.length > 0) await sleep(batchDelayMs);
    return changes.revision;
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
    source: "listing" | "watch" | "peer",
  ): void {
    if (changes.length > 0) host.handleChanges(changes, source);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
