/**
 * Keeps track of whether the store responds to this router, and of when the last
 * outage of the store ended for the fleet.
 */

import type { DirectoryError } from "../../../types/directory.ts";
import {
  comparePositions,
  originPosition,
  type StorePosition,
} from "../../../types/store_position.ts";
import type { Log } from "../../telemetry/log.ts";
import { createStoreAvailability, minOutageMs } from "./store_availability.ts";

/** What the record needs from the process. */
export interface StoreContactHost {
  readonly log: Log;
  /** Returns the position of the replica, for the log. */
  getPosition(): StorePosition;
  /** Returns when a peer that reported its reads last read the store. */
  getLastWatchedAt(): number;
  /** Handles that the end of the last outage is another than was known. */
  handleOutageRevised(): void;
}

/** What is known of the store's responses and outages. */
export interface StoreContact {
  recordFailure(error: DirectoryError): void;
  /** Records a response of the store, which knew all changes to a position. */
  recordSuccess(read: StorePosition): void;
  /** Records that the store responds, while a read of it has not ended. */
  recordProgress(): void;
  /** Records that this router begins to watch the store. */
  recordTurn(): void;
  /** Records that this router no longer watches the store. */
  recordTurnEnd(): void;
  /**
   * Records that a peer reads the store, and for how long it has done so
   * without an outage, in milliseconds.
   */
  recordPeerContact(contactMs: number): void;
  /** Records the position of a peer. */
  recordPeerPosition(position: StorePosition): void;
  /** Returns the newest position that a peer has told lately, if any. */
  tryGetPeerPosition(): StorePosition | undefined;
  /** Returns true while the store responds; false before its first response. */
  isConnected(): boolean;
  /** Returns true when a read of the store has ended within a time. */
  hasReadWithin(ms: number): boolean;
  /** Returns true when changes should be pulled from peers. */
  needsPeers(): boolean;
  /** Returns true when the last call to the store failed. */
  hasFailed(): boolean;
  /** Returns the number of failed calls since the last response. */
  getFailures(): number;
  /**
   * Returns when the last time ended in which no router read the store, on the
   * monotonic clock; negative infinity when there was none.
   */
  getOutageEndedAt(): number;
  /**
   * Returns for how long this router has watched the store without an outage,
   * in milliseconds; 0 before a response. Holds while this router is watching.
   */
  getContactMs(): number;
  /**
   * Returns the time since the store last responded to this router or to one
   * that pushes to it, in milliseconds; since the start before a response.
   */
  getAgeMs(): number;
  /** Returns the time since the store responded to this router; else infinity. */
  getOwnReadAgeMs(): number;
  /**
   * Returns the time for which the copy here may have missed changes, in
   * milliseconds; infinity before the store was first read and while a peer is
   * ahead, as its read says nothing of this copy then.
   */
  getCopyAgeMs(): number;
}

/**
 * Time after a response for which the store counts as reached until a call
 * fails, in milliseconds: the longest pause after changes and a watch without
 * changes. A process that was stopped meanwhile finds out later.
 */
const maxIdleMs = 2_000;

/**
 * Time between two responses without a failure after which an outage may have
 * been missed, in milliseconds; longer than the slowest call.
 */
const maxResponseGapMs = 6_000;

/**
 * Timeout of the first response before peers are queried, in milliseconds. It
 * is longer than a healthy store takes when all routers start at once, because
 * a query loads the RPC library, which delays the store's response.
 */
const firstResponseTimeoutMs = 500;

/**
 * Time for which the position of a peer is kept without a repetition, in
 * milliseconds. Peers repeat theirs, and a position that nobody has any more, as
 * of a wrong datagram, must not count for ever. A copy that is to be used was
 * read later than that, by a router that then told its own position.
 */
const peerPositionTtlMs = 2_000;

/** Creates the record of a router that has called nothing yet. */
export function createStoreContact(host: StoreContactHost): StoreContact {
  let isConnected = false;
  let failures = 0;
  const availability = createStoreAvailability();
  let hasTurn = false;
  /** Time of the first response since the last outage, in this turn. */
  let contactSince: number | undefined;
  /** Time of the first failure since the store last responded. */
  let disconnectedAt = performance.now();
  let lastResponseAt = performance.now();
  /** End of the last read; unlike the above, none before the first. */
  let lastReadAt = Number.NEGATIVE_INFINITY;
  /** Newest position that the store has told, beyond that of its entries. */
  let readPosition = originPosition;
  let peer = { position: originPosition, at: Number.NEGATIVE_INFINITY };
  const createdAt = performance.now();

  return {
    recordFailure,
    recordSuccess,
    recordProgress: () => {
      if (isConnected) lastResponseAt = performance.now();
    },
    recordTurn,
    recordTurnEnd: () => {
      hasTurn = false;
      contactSince = undefined;
    },
    recordPeerContact: (contactMs) => {
      const now = performance.now();
      recordContact(now - contactMs, now);
    },
    recordPeerPosition,
    tryGetPeerPosition: () => isPeerKept() ? peer.position : undefined,
    isConnected: () => isConnected,
    hasReadWithin: (ms) => performance.now() - lastReadAt < ms,
    needsPeers,
    hasFailed: () => failures > 0,
    getFailures: () => failures,
    getOutageEndedAt: availability.getOutageEndedAt,
    getContactMs: () =>
      contactSince === undefined ? 0 : performance.now() - contactSince,
    getAgeMs: () => performance.now() - getLastReadAt(),
    getOwnReadAgeMs: () => performance.now() - lastReadAt,
    getCopyAgeMs: () =>
      isBehind()
        ? Number.POSITIVE_INFINITY
        : performance.now() - Math.max(lastReadAt, host.getLastWatchedAt()),
  };

  function recordPeerPosition(position: StorePosition): void {
    if (isPeerKept() && comparePositions(position, peer.position) < 0) return;
    peer = { position, at: performance.now() };
  }

  function isPeerKept(): boolean {
    return performance.now() - peer.at <= peerPositionTtlMs;
  }

  /** Returns true when a peer knows changes that are not known here. */
  function isBehind(): boolean {
    if (!isPeerKept()) return false;
    return comparePositions(peer.position, host.getPosition()) > 0 &&
      comparePositions(peer.position, readPosition) > 0;
  }

  function needsPeers(): boolean {
    if (isConnected) return false;
    return failures > 0 ||
      performance.now() - createdAt >= firstResponseTimeoutMs;
  }

  /** Returns when this router or a peer last read the store. */
  function getLastReadAt(): number {
    return Math.max(lastResponseAt, host.getLastWatchedAt());
  }

  function recordContact(since: number, until: number): void {
    if (availability.recordContact({ since, until })) {
      host.handleOutageRevised();
    }
  }

  function recordTurn(): void {
    hasTurn = true;
    contactSince = undefined;
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
      if (isConnected) recordDisconnected();
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

  function recordDisconnected(): void {
    disconnectedAt = Math.min(performance.now(), lastResponseAt + maxIdleMs);
    if (contactSince !== undefined) recordContact(contactSince, disconnectedAt);
  }

  function recordSuccess(read: StorePosition): void {
    const now = performance.now();
    if (comparePositions(read, readPosition) > 0) readPosition = read;
    lastReadAt = now;
    if (!isConnected) {
      if (now - disconnectedAt >= minOutageMs) contactSince = undefined;
      host.log.info("Store is reached", {
        failures,
        awayMs: Math.round(now - disconnectedAt),
      });
    }
    if (now - lastResponseAt > maxResponseGapMs) contactSince = undefined;
    const since = contactSince ?? now;
    if (hasTurn) contactSince = since;
    isConnected = true;
    failures = 0;
    lastResponseAt = now;
    recordContact(since, now);
  }
}
