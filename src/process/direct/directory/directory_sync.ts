/**
 * Keeps the replica in sync with the store. Every router lists once; then some
 * of them watch the store, and the others take the changes that these push. A
 * router that has missed a push reads the changes once itself. Peers' copies are
 * used while the store is unavailable to this process. When the store returns
 * from an older copy, each router lists again, as changes do not tell what the
 * store has lost.
 */

import type { EitherAsync } from "purify-ts";
import type {
  DirectoryError,
  DirectoryStore,
  Listing,
  ListOptions,
} from "../../../types/directory.ts";
import type { WatchEvent } from "../../../types/platform.ts";
import type { StorePosition } from "../../../types/store_position.ts";
import type { ChangeSource } from "./directory_tables.ts";
import { getBackOffMs } from "../../membership/jitter.ts";
import type { Log } from "../../telemetry/log.ts";
import type {
  DirectoryChange,
  DirectoryCopy,
  DirectoryPush,
  DirectoryReplica,
} from "./directory_replica.ts";
import {
  createStoreContact,
  type StoreContact,
} from "../store/store_contact.ts";
import { createFirstListing } from "./first_listing.ts";
import { createOpenPushes } from "./open_pushes.ts";
import { createMissedChanges, readBesideUrgent } from "./missed_changes.ts";
import { getMaxWatchBytes } from "./watch_size.ts";
import { createUrgentReads } from "./urgent_reads.ts";
import { createStoreReturns } from "../store/store_returns.ts";
import { getPushBase, type PushBase } from "../peers/change_pushes.ts";
import type { WatcherChoice } from "../peers/watcher_choice.ts";

/** What the synchronization needs from the process. */
export interface DirectorySyncHost {
  readonly store: Pick<DirectoryStore, "getEra" | "list" | "watch">;
  readonly replica: DirectoryReplica;
  readonly watchers: Pick<
    WatcherChoice,
    "countWatchersAhead" | "getLastWatchedAt" | "shouldWatch"
  >;
  readonly log: Log;
  /** Handles new changes, in order. */
  handleChanges(
    changes: readonly DirectoryChange[],
    source: ChangeSource,
  ): void;
  /** Handles a return of the store, after its changes. */
  handleReturn(): void;
  /** Pushes changes that were watched after a position to the peers. */
  pushChanges(changes: readonly WatchEvent[], base: PushBase): void;
  /** Pushes changes although others before them are not known here. */
  pushUrgent(changes: readonly WatchEvent[], era: number): void;
  /** Handles that the end of the last outage is another than was known. */
  handleOutageRevised(): void;
  /** Counts one call to the store. */
  countCall(call: "list" | "watch"): void;
}

/** Synchronizes the replica of one process with the store. */
export interface DirectorySync extends
  Pick<
    StoreContact,
    | "getAgeMs"
    | "getContactMs"
    | "getCopyAgeMs"
    | "getOutageEndedAt"
    | "getOwnReadAgeMs"
    | "hasFailed"
    | "isConnected"
    | "needsPeers"
    | "recordPeerContact"
    | "recordPeerPosition"
  > {
  /** Starts to list and watch the store. */
  start(): void;
  /** Stops after the pending call, whose failure is ignored. */
  stop(): void;
  /** Applies what was pulled from a peer. */
  applyPeerCopy(copy: DirectoryCopy): void;
  /** Applies changes that a peer has pushed. */
  applyPush(push: DirectoryPush): void;
  /**
   * Reads the changes after the known position once from the store, or all
   * entries when a newer era than the known one has begun; returns false when
   * the store is unavailable. `era` is the newest that peers have reported.
   */
  catchUp(era: number): Promise<boolean>;
  /** Returns true while `catchUp` runs. */
  isCatchingUp(): boolean;
  /** Records that a peer knows an era, which begins with a return. */
  recordPeerEra(era: number): void;
  /** Records that a peer knows entries, which it has read from the store. */
  recordPeerRead(): void;
  /** Returns true while this router watches the store and it responds. */
  isWatching(): boolean;
  /** Returns true while this router has the turn to watch the store. */
  hasTurn(): boolean;
  /** As `StoreReturns.getReturnedAt`. */
  getReturnedAt(): number;
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

/**
 * Maximum random delay before a router that does not watch the store lists it
 * after a return, in milliseconds, so that not all routers do so together.
 */
const maxListDelayMs = 250;

/**
 * Delay after a response of an era that is older than the replica's, in
 * milliseconds.
 */
const olderEraDelayMs = 500;

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
 * Delay after failed calls. It is short compared with the seconds within which
 * a change must take effect.
 */
const failureBackOff = { firstMs: 60, maxMs: 500 } as const;

/** Creates the synchronization, which begins with `start`. */
export function createDirectorySync(host: DirectorySyncHost): DirectorySync {
  let isStopped = false;
  const contact = createStoreContact({
    log: host.log,
    getPosition: host.replica.getPosition,
    getLastWatchedAt: host.watchers.getLastWatchedAt,
    handleOutageRevised: host.handleOutageRevised,
  });
  const returns = createStoreReturns(host);
  const firstListing = createFirstListing({
    list: () => listNoting(),
    isNeeded: () => !isStopped && host.replica.getPosition().revision === 0,
    recordFailure: contact.recordFailure,
  });
  let hasTurn = false;
  const openPushes = createOpenPushes();
  /** True when the listing that was made last took long to read. */
  let isListingLong = false;
  const urgentReads = createUrgentReads({
    ...{ store: host.store, replica: host.replica },
    ...{ handleChanges: host.handleChanges, countCall: host.countCall },
    pushUrgent: host.pushUrgent,
    recordProgress: contact.recordProgress,
    hasTurn: () => hasTurn,
  });
  const missedChanges = createMissedChanges({
    ...{ store: host.store, replica: host.replica, urgentReads, list },
    ...{ hasReturned, applyAt, applyListing, confirm, log: host.log },
    countCall: host.countCall,
    isStopped: () => isStopped,
  });

  return {
    ...contact,
    start: () => void run(),
    stop: () => {
      isStopped = true;
    },
    applyPeerCopy: (copy) =>
      applyAt(copy.position, "peer", () => host.replica.applyCopy(copy)),
    applyPush,
    catchUp: missedChanges.read,
    isCatchingUp: missedChanges.isReading,
    recordPeerEra: returns.recordEra,
    recordPeerRead: firstListing.reportPeerRead,
    isWatching,
    hasTurn: () => hasTurn,
    getReturnedAt: returns.getReturnedAt,
  };

  function isWatching(): boolean {
    return hasTurn && contact.isConnected() &&
      contact.hasReadWithin(watchReportMs);
  }

  async function run(): Promise<void> {
    let position: StorePosition | undefined;
    while (!isStopped) {
      const isFirst = host.replica.getPosition().revision === 0;
      if (!isFirst && !host.watchers.shouldWatch()) {
        stopWatching();
        await sleep(turnCheckIntervalMs);
        if (hasReturned()) await listAfterReturn();
        position = host.replica.getPosition();
        continue;
      }
      if (!isFirst) startWatching();
      // A revision of one era means nothing in another.
      position = position?.era === host.replica.getPosition().era &&
          !hasReturned()
        ? await tryWatch(position)
        : await tryList();
    }
  }

  function applyPush(push: DirectoryPush): void {
    applyAt(push.position, "push", () => host.replica.applyPush(push));
    openPushes.record(push, host.replica.getPosition());
  }

  /** Returns true when the store has named a newer era than the replica's. */
  function hasReturned(): boolean {
    return host.store.getEra() > host.replica.getPosition().era;
  }

  /** Lists after a random delay, unless a catch-up is sooner. */
  async function listAfterReturn(): Promise<void> {
    await sleep(Math.random() * maxListDelayMs);
    if (hasReturned() && !missedChanges.isReading()) await tryList();
  }

  function startWatching(): void {
    if (hasTurn) return;
    hasTurn = true;
    contact.recordTurn();
    host.log.info("Router watches the store", {
      ...host.replica.getPosition(),
    });
  }

  function stopWatching(): void {
    if (!hasTurn) return;
    hasTurn = false;
    contact.recordTurnEnd();
    host.log.info("Router takes changes from its peers", {
      ...host.replica.getPosition(),
    });
  }

  function list(
    options?: ListOptions,
  ): EitherAsync<DirectoryError, Listing> {
    host.countCall("list");
    return host.store.list(options);
  }

  /** Lists, and notes whether that takes long. */
  function listNoting(onLongBody?: () => void) {
    return list({
      onLongBody: () => {
        isListingLong = true;
        onLongBody?.();
      },
    });
  }

  /** Applies a listing, and some of the changes since, as one. */
  function applyListing(
    listing: Listing,
    since: readonly WatchEvent[] = [],
  ): boolean {
    const { position } = listing;
    applyAt(position, "listing", () => [
      ...host.replica.applyListing(listing),
      ...host.replica.applySome({ events: since, position }),
    ]);
    return true;
  }

  /** Returns the position to watch from; undefined after a failure. */
  async function tryList(): Promise<StorePosition | undefined> {
    const isFirst = host.replica.getPosition().revision === 0;
    isListingLong = false;
    const listing = await tryCall((onLongBody) =>
      isFirst ? firstListing.run() : listNoting(onLongBody)
    );
    if (listing === undefined) return undefined;
    // A listing is as old as it took.
    const since = isListingLong
      ? await urgentReads.readSince(listing.position)
      : [];
    applyListing(listing, since);
    // Only a peer's copy is newer, and the store may take a while to follow.
    const isOlder = listing.position.era < host.replica.getPosition().era;
    if (isOlder) await sleep(olderEraDelayMs);
    return listing.position;
  }

  /** Returns the position to watch from; undefined to list again. */
  async function tryWatch(
    after: StorePosition,
  ): Promise<StorePosition | undefined> {
    host.countCall("watch");
    const changes = await tryCall((onLongBody) =>
      host.store.watch({
        ...{ afterRevision: after.revision, onLongBody },
        waitMs: watchTimeoutMs,
        maxBytes: getMaxWatchBytes(host.replica),
      })
    );
    // Changes may have been missed while the store was unavailable.
    if (changes?.position.era !== after.era) return undefined;
    const base = getPushBase(host.replica, changes.events);
    const applied = host.replica.applyChanges(changes);
    const unknown = changes.events.filter(({ revision }) =>
      revision > base.position.revision
    );
    if (unknown.length > 0) host.pushChanges(unknown, base);
    notify(applied, "watch");
    confirm(changes.position);
    if (changes.events.length > 0) {
      const isStandby = host.watchers.countWatchersAhead() > 0;
      await sleep(isStandby ? standbyBatchDelayMs : batchDelayMs);
    }
    return changes.position;
  }

  /**
   * Takes over the position of a peer up to which the store was read here. The
   * store may count revisions of which it tells no change.
   */
  function confirm({ era, revision }: StorePosition): void {
    const peer = contact.tryGetPeerPosition();
    if (peer?.era !== era) return;
    host.replica.confirm({ era, revision: Math.min(revision, peer.revision) });
  }

  async function tryCall<T extends Pick<Listing, "position">>(
    call: (onLongBody: () => void) => EitherAsync<DirectoryError, T>,
  ): Promise<T | undefined> {
    const result = await readBesideUrgent(urgentReads, call);
    return await result.caseOf<Promise<T | undefined>>({
      Left: async (error) => {
        // Stopping closes the client, which fails the pending call.
        if (isStopped) return undefined;
        contact.recordFailure(error);
        if (error.kind !== "compacted") await backOff();
        return undefined;
      },
      Right: (value) => {
        contact.recordSuccess(value.position);
        return Promise.resolve(value);
      },
    });
  }

  async function backOff(): Promise<void> {
    await sleep(getBackOffMs(contact.getFailures(), failureBackOff));
  }

  /** Applies what was read at a position, and handles a return before it. */
  function applyAt(
    position: StorePosition,
    source: ChangeSource,
    apply: () => readonly DirectoryChange[],
  ): void {
    const before = host.replica.getPosition();
    const changes = apply();
    const after = host.replica.getPosition();
    const isReturn = after.era > before.era && before.revision > 0;
    if (isReturn) {
      returns.recordEra(position.era);
      const details = { previous: before, source, changes: changes.length };
      returns.recordReturn(after, details);
    }
    notify(changes, source);
    if (isReturn) host.handleReturn();
    if (source !== "push") openPushes.take().forEach(applyPush);
  }

  function notify(
    changes: readonly DirectoryChange[],
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
