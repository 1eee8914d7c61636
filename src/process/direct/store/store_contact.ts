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
import {
  createStoreAvailability,
  minOutageMs,
  minSilenceMs,
  type StoreContactRecord,
} from "./store_availability.ts";
import { createStoreSilence, type StoreSilence } from "./store_silence.ts";

/** What the record needs from the process. */
export interface StoreContactHost {
  readonly selfId: string;
  readonly log: Log;
  /** Returns the position of the replica, for the log. */
  getPosition(): StorePosition;
  /** Returns when a peer that reported its reads last read the store. */
  getLastWatchedAt(): number;
  /** Handles that the end of the last outage is another than was known. */
  handleOutageRevised(): void;
  /** Handles that the store no longer answers this router. */
  handleSilent(): void;
}

/** What a router tells its peers of its reads of the store; times in ms. */
export interface PeerStoreContact {
  /** Time for which it has read the store without an outage; 0 for none. */
  readonly contactMs: number;
  /**
   * Time since the last read that has ended; since the last response that has begun
   * in a read that takes longer. Undefined without contact.
   */
  readonly ageMs: number | undefined;
  /** Time for which the store has owed it a response; 0 when it owes none. */
  readonly silentMs: number;
}

/** What is known of the store's responses and outages. */
export interface StoreContact {
  /** As `StoreSilence.beginCall`. */
  beginCall: StoreSilence["beginCall"];
  recordFailure(error: DirectoryError): void;
  /** Records that a response of the store has begun. */
  recordHead(): void;
  /** Records a response of the store, which knew all changes to a position. */
  recordSuccess(read: StorePosition): void;
  /** Records that the store responds, while a read of it has not ended. */
  recordProgress(): void;
  /**
   * Records that this router begins to watch the store; returns true if nobody is
   * known to have read it lately.
   */
  recordTurn(): boolean;
  /** Records that this router no longer watches the store. */
  recordTurnEnd(): void;
  /** Records what a peer tells of its reads of the store. */
  recordPeerContact(peer: string, contact: PeerStoreContact): void;
  /** Returns what this router tells its peers of its reads. */
  getOwnContact(): PeerStoreContact;
  /** Records the position of a peer. */
  recordPeerPosition(position: StorePosition): void;
  /** Returns the newest position that a peer has told lately, if any. */
  tryGetPeerPosition(): StorePosition | undefined;
  /** Returns true while the store responds; false before its first response. */
  isConnected(): boolean;
  /** Returns true while the store answers the reads of this router in time. */
  isReading(): boolean;
  /** Returns true when a read of the store has ended within a time. */
  hasReadWithin(ms: number): boolean;
  /** Returns true when changes should be pulled from peers. */
  needsPeers(): boolean;
  /** Returns true when the last call to the store failed. */
  hasFailed(): boolean;
  /** Returns the number of failed calls since the last response. */
  getFailures(): number;
  /**
   * Returns when the last outage of the store ended, on the monotonic clock;
   * negative infinity when there was none.
   */
  getOutageEndedAt(): number;
  /** Returns what is known of the store's responses, for the log. */
  describe(): StoreContactRecord;
  /**
   * Returns the time since the store last responded to this router or to one
   * that pushes to it, in milliseconds; since the start before a response.
   */
  getAgeMs(): number;
  /**
   * Returns the time for which the copy here may have missed changes, in
   * milliseconds; infinity before the store was first read and while a peer is
   * ahead, as its read says nothing of this copy then.
   */
  getCopyAgeMs(): number;
}

/**
 * Maximum time between two reads of a router that watches the store, in
 * milliseconds: the longest pause after changes, a watch without changes and a
 * slow round trip.
 */
const maxReadPauseMs = 2_000;

/**
 * Time since the last read of any router after which one that begins to watch
 * waits for a response before it says so, in milliseconds.
 */
const maxReadAgeMs = 1_000;

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
  const silence = createStoreSilence({
    recordSilence: availability.recordSilence,
    handleSilent: host.handleSilent,
  });
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
    beginCall: silence.beginCall,
    recordSuccess,
    recordHead: recordResponse,
    recordProgress: () => {
      if (isConnected) recordResponse();
    },
    recordTurn,
    recordTurnEnd: () => {
      hasTurn = false;
      contactSince = undefined;
    },
    recordPeerContact,
    getOwnContact,
    recordPeerPosition,
    tryGetPeerPosition: () => isPeerKept() ? peer.position : undefined,
    isConnected: () => isConnected,
    isReading: () =>
      isConnected && !isSilent() &&
      performance.now() - lastReadAt < maxReadPauseMs,
    hasReadWithin: (ms) => performance.now() - lastReadAt < ms,
    needsPeers,
    hasFailed: () => failures > 0,
    getFailures: () => failures,
    getOutageEndedAt: availability.getOutageEndedAt,
    describe: availability.describe,
    getAgeMs: () => performance.now() - getLastReadAt(),
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

  function recordContact(since: number, until: number, reader: string): void {
    if (availability.recordContact({ since, until }, reader)) {
      host.handleOutageRevised();
    }
  }

  function recordPeerContact(
    peer: string,
    { contactMs, ageMs = 0, silentMs }: PeerStoreContact,
  ): void {
    const now = performance.now();
    if (silentMs > 0) {
      availability.recordSilence({ since: now - silentMs, until: now });
    }
    if (contactMs <= 0) return;
    recordContact(now - Math.max(contactMs, ageMs), now - ageMs, peer);
  }

  function getOwnContact(): PeerStoreContact {
    const now = performance.now();
    const silentMs = Math.ceil(silence.getSilentMs());
    const readAgeMs = now - lastReadAt;
    // A long response shows that the store is there before it ends.
    const ageMs = readAgeMs < maxReadPauseMs ? readAgeMs : now - lastResponseAt;
    const isInContact = hasTurn && isConnected && !isSilent() &&
      ageMs < maxReadPauseMs;
    return {
      contactMs: isInContact ? Math.ceil(now - (contactSince ?? now)) : 0,
      ageMs: isInContact ? Math.ceil(ageMs) : undefined,
      silentMs,
    };
  }

  function isSilent(): boolean {
    return silence.getSilentMs() >= minSilenceMs;
  }

  function recordTurn(): boolean {
    hasTurn = true;
    contactSince = undefined;
    const lastReadAt = getLastReadAt();
    if (performance.now() - lastReadAt < maxReadAgeMs) return false;
    isConnected = false;
    disconnectedAt = lastReadAt;
    return true;
  }

  /** Ends the contact when the store was away until this response. */
  function recordResponse(): void {
    const now = performance.now();
    const gapMs = now - lastResponseAt;
    const wasAway = gapMs >= minOutageMs && isSilent();
    if (wasAway || gapMs > maxResponseGapMs) contactSince = undefined;
    lastResponseAt = now;
    silence.recordResponse();
  }

  function recordFailure(error: DirectoryError): void {
    failures++;
    if (error.kind !== "compacted") silence.recordFailure();
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

  function recordSuccess(read: StorePosition): void {
    const now = performance.now();
    if (comparePositions(read, readPosition) > 0) readPosition = read;
    lastReadAt = now;
    recordResponse();
    if (!isConnected) {
      host.log.info("Store is reached", {
        failures,
        awayMs: Math.round(now - disconnectedAt),
      });
    }
    const since = contactSince ?? now;
    if (hasTurn) contactSince = since;
    isConnected = true;
    failures = 0;
    recordContact(since, now, host.selfId);
  }
}
