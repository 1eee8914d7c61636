/**
 * Keeps the replica in step with the store: lists once, then watches. While the
 * store turns this process away, the peers' copies are pulled instead.
 */

import type { EitherAsync } from "purify-ts";
import type { DirectoryError, DirectoryStore } from "../../types/directory.ts";
import type { WatchEvent } from "../../types/platform.ts";
import { getBackOffMs } from "../membership/jitter.ts";
import type { Log } from "../telemetry/log.ts";
import type { DirectoryReplica } from "./directory_replica.ts";

/** What the synchronisation needs from outside. */
export interface DirectorySyncHost {
  readonly store: Pick<DirectoryStore, "list" | "watch">;
  readonly replica: DirectoryReplica;
  readonly log: Log;
  /** Takes what is new, in order. */
  noteChanges(
    changes: readonly WatchEvent[],
    source: "listing" | "watch" | "peer",
  ): void;
  countCall(call: "list" | "watch"): void;
}

/** The synchronisation of one process. */
export interface DirectorySync {
  start(): void;
  stop(): void;
  /** Takes changes from a peer. */
  takeFromPeer(changes: readonly WatchEvent[]): void;
  /** True while the last call to the store was answered. */
  isConnected(): boolean;
  /** True when peers should be asked for what the store does not give. */
  needsPeers(): boolean;
  /** True when the last call to the store has failed. */
  hasFailed(): boolean;
  /** End of the last outage, on the steady clock; see `minOutageMs`. */
  getOutageEndedAt(): number;
  /** Time since the store last answered, in milliseconds. */
  getAgeMs(): number;
}

/**
 * Longest wait of one watch, in milliseconds. It bounds the time for which a
 * connection that has fallen silent goes unnoticed, and each wait is a call.
 */
const watchMs = 2_500;

/**
 * Pause after a watch that brought changes, in milliseconds. Changes come in
 * series, and each answer is a call of every router; the pause is short against
 * the seconds within which a change must be in force.
 */
const collectMs = 400;

/**
 * Time without the store, in milliseconds, after which entries may have lapsed
 * although their targets live. A watch that is cut alone is no outage.
 */
const minOutageMs = 1_000;

/**
 * Time for a first answer before peers are asked, in milliseconds. It is above
 * that of a sound store when all routers start at once, as asking loads the RPC
 * library and holds up the answer itself.
 */
const firstAnswerMs = 500;

/** Pause after a failed call; short against the time to apply a change. */
const failurePause = { firstMs: 60, maxMs: 500 } as const;

/** Creates the synchronisation; it begins with `start`. */
export function createDirectorySync(host: DirectorySyncHost): DirectorySync {
  let isStopped = false;
  let isConnected = false;
  let failures = 0;
  let outageEndedAt = Number.NEGATIVE_INFINITY;
  /** First failure since the store was reached. */
  let lostAt = performance.now();
  let answeredAt = performance.now();
  const createdAt = performance.now();

  return {
    start: () => void run(),
    stop: () => {
      isStopped = true;
    },
    takeFromPeer: (changes) =>
      notify(host.replica.applyChanges(changes), "peer"),
    isConnected: () => isConnected,
    needsPeers,
    hasFailed: () => failures > 0,
    getOutageEndedAt: () => outageEndedAt,
    getAgeMs: () => performance.now() - answeredAt,
  };

  function needsPeers(): boolean {
    if (isConnected) return false;
    return failures > 0 || performance.now() - createdAt >= firstAnswerMs;
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

  /** Returns where to go on; undefined when a new listing is needed. */
  async function tryWatch(afterRevision: number): Promise<number | undefined> {
    host.countCall("watch");
    const changes = await tryCall(
      host.store.watch({ afterRevision, waitMs: watchMs }),
    );
    // Changes may have been missed while the store was away.
    if (changes === undefined) return undefined;
    notify(host.replica.applyChanges(changes.events), "watch");
    if (changes.events.length > 0) await sleep(collectMs);
    return changes.revision;
  }

  async function tryCall<T>(
    call: EitherAsync<DirectoryError, T>,
  ): Promise<T | undefined> {
    const result = await call.run();
    return await result.caseOf<Promise<T | undefined>>({
      Left: async (error) => {
        // The process itself has closed the client.
        if (isStopped) return undefined;
        noteFailure(error);
        if (error.kind !== "compacted") await pause();
        return undefined;
      },
      Right: (value) => {
        noteSuccess();
        return Promise.resolve(value);
      },
    });
  }

  function noteFailure(error: DirectoryError): void {
    failures++;
    if (failures > 1 && !isConnected) return;
    if (error.kind !== "compacted") {
      if (isConnected) lostAt = performance.now();
      isConnected = false;
    }
    host.log.warn("Store call failed", {
      kind: error.kind,
      reason: error.message,
      directoryRevision: host.replica.getNewestRevision(),
      ageMs: Math.round(performance.now() - answeredAt),
    });
  }

  function noteSuccess(): void {
    const now = performance.now();
    if (!isConnected) {
      if (now - lostAt >= minOutageMs) outageEndedAt = now;
      host.log.info("Store is reached", {
        failures,
        awayMs: Math.round(now - lostAt),
      });
    }
    isConnected = true;
    failures = 0;
    answeredAt = now;
  }

  async function pause(): Promise<void> {
    await sleep(getBackOffMs(failures, failurePause));
  }

  function notify(
    changes: readonly WatchEvent[],
    source: "listing" | "watch" | "peer",
  ): void {
    if (changes.length > 0) host.noteChanges(changes, source);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
