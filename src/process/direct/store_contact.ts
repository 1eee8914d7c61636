/**
 * Keeps track of whether the store responds to this router, and of when its last
 * outage ended.
 */

import type { DirectoryError } from "../../types/directory.ts";
import type { StorePosition } from "../../types/store_position.ts";
import type { Log } from "../telemetry/log.ts";

/** What the record needs from the process. */
export interface StoreContactHost {
  readonly log: Log;
  /** Returns the position of the replica, for the log. */
  getPosition(): StorePosition;
  /** Returns when a peer last reported that it reads the store. */
  getLastWatchedAt(): number;
}

/** What is known of the store's responses and outages. */
export interface StoreContact {
  recordFailure(error: DirectoryError): void;
  recordSuccess(): void;
  /** Records that this router begins to watch the store. */
  recordTurn(): void;
  /** Records when an outage of the store ended, as a peer reports it. */
  recordPeerOutage(endedAt: number): void;
  /** Returns true while the store responds; false before its first response. */
  isConnected(): boolean;
  /** Returns true when the store has responded within a time. */
  hasRespondedWithin(ms: number): boolean;
  /** Returns true when changes should be pulled from peers. */
  needsPeers(): boolean;
  /** Returns true when the last call to the store failed. */
  hasFailed(): boolean;
  /** Returns the number of failed calls since the last response. */
  getFailures(): number;
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

/** Creates the record of a router that has called nothing yet. */
export function createStoreContact(host: StoreContactHost): StoreContact {
  let isConnected = false;
  let failures = 0;
  let outageEndedAt = Number.NEGATIVE_INFINITY;
  let peerOutageEndedAt = Number.NEGATIVE_INFINITY;
  /** Time of the first failure since the store last responded. */
  let disconnectedAt = performance.now();
  let lastResponseAt = performance.now();
  const createdAt = performance.now();

  return {
    recordFailure,
    recordSuccess,
    recordTurn,
    recordPeerOutage: (endedAt) => {
      peerOutageEndedAt = Math.max(peerOutageEndedAt, endedAt);
    },
    isConnected: () => isConnected,
    hasRespondedWithin: (ms) => performance.now() - lastResponseAt < ms,
    needsPeers,
    hasFailed: () => failures > 0,
    getFailures: () => failures,
    getOutageEndedAt: () => Math.max(outageEndedAt, peerOutageEndedAt),
    getSeenOutageEndedAt: () => outageEndedAt,
    getAgeMs: () => performance.now() - getLastReadAt(),
  };

  function needsPeers(): boolean {
    if (isConnected) return false;
    return failures > 0 ||
      performance.now() - createdAt >= firstResponseTimeoutMs;
  }

  /** Returns when this router or a peer last read the store. */
  function getLastReadAt(): number {
    return Math.max(lastResponseAt, host.getLastWatchedAt());
  }

  function recordTurn(): void {
    // While no router has read the store, entries may have expired.
    const lastReadAt = getLastReadAt();
    if (performance.now() - lastReadAt < minOutageMs) return;
    isConnected = false;
    disconnectedAt = lastReadAt;
  }

  function recordFailure(error: DirectoryError): void {
    failures++;
    if (failures > 1 && !isConnected) return;
    if (error.kind !== "compacted") {
      if (isConnected) disconnectedAt = performance.now();
      isConnected = false;
    }
    const { era, revision } = host.getPosition();
    host.log.warn("Store call failed", {
      kind: error.kind,
      reason: error.message,
      era,
      directoryRevision: revision,
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
}
