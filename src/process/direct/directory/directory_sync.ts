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
  Changes,
  DirectoryError,
  DirectoryStore,
  Listing,
  ListOptions,
} from "../../../types/directory.ts";
import type { WatchEvent } from "../../../types/platform.ts";
import type { StorePosition } from "../../../types/store_position.ts";
import type { ChangeSource } from "./directory_tables.ts";
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
import { createOpenPushes } from "./open_pushes.ts";
import { createMissedChanges } from "./missed_changes.ts";
import { createRepeatedRead } from "./repeated_read.ts";
import { getMaxWatchBytes } from "./watch_size.ts";
import { createUrgentReads, type UrgentReadsHost } from "./urgent_reads.ts";
import { createWatcherCalls } from "./watcher_calls.ts";
import { createStoreReturns } from "../store/store_returns.ts";
import { getPushBase, type PushBase } from "../peers/change_pushes.ts";
import type { WatcherChoice } from "../peers/watcher_choice.ts";

/** What the synchronization needs from the process. */
export interface DirectorySyncHost {
  readonly selfId: string;
  readonly store: Pick<DirectoryStore, "getEra"> & UrgentReadsHost["store"];
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
  /** Tells the peers that the store no longer answers this router. */
  tellSilent(): void;
  /** Counts one call to the store. */
  countCall(call: "list" | "watch"): void;
}

/** Synchronizes the replica of one process with the store. */
export interface DirectorySync extends
  Pick<
    StoreContact,
    | "getAgeMs"
    | "getCopyAgeMs"
    | "getOutageEndedAt"
    | "getOwnContact"
    | "hasFailed"
    | "isConnected"
    | "needsPeers"
    | "recordPeerContact"
    | "recordPeerPosition"
  > {
  start(): void;
  /** Stops after the pending call, whose failure is ignored. */
  stop(): void;
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
  /** As `StoreContact.describe`. */
  describeContact: StoreContact["describe"];
  /** As `StoreReturns.getReturnedAt`. */
  getReturnedAt(): number;
}

/**
 * Timeout of one watch, in milliseconds. It bounds the time until an
 * unresponsive connection is detected, but a shorter timeout costs more calls.
 */
const watchTimeoutMs = 1_000;

/**
 * Wait of the first watch after a time in which nobody has read the store, in
 * milliseconds. The store answers it at once, so that its silence is noticed.
 */
const readWaitMs = 1;

/** Interval at which a router checks whether to watch the store, in ms. */
const turnCheckIntervalMs = 100;

/** Maximum random delay before other routers list after a return, in ms. */
const maxListDelayMs = 250;

/** Time without a first listing after which another is requested, in ms. */
const firstListingIntervalMs = 500;

/** Delay after a response of an older era than the replica's, in ms. */
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

/** Creates the synchronization, which begins with `start`. */
export function createDirectorySync(host: DirectorySyncHost): DirectorySync {
  let isStopped = false;
  const contact = createStoreContact({
    ...{ selfId: host.selfId, log: host.log },
    getPosition: host.replica.getPosition,
    getLastWatchedAt: host.watchers.getLastWatchedAt,
    handleOutageRevised: host.handleOutageRevised,
    handleSilent: () => {
      if (hasTurn) host.tellSilent();
    },
  });
  const returns = createStoreReturns(host);
  const firstListing = createRepeatedRead({
    intervalMs: firstListingIntervalMs,
    read: (onHead) => listNoting({ onHead }),
    isNeeded: () => !isStopped && host.replica.getPosition().revision === 0,
    givesUp: true,
    ...{ recordHead: contact.recordHead, recordFailure: contact.recordFailure },
  });
  let hasTurn = false;
  /** True until the first read of a turn when nobody has read the store lately. */
  let isReadDue = false;
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
  const { tryCall, tryReach, wasSilent } = createWatcherCalls({
    ...{ contact, urgentReads, store: host.store, countCall: host.countCall },
    getPosition: host.replica.getPosition,
    isStopped: () => isStopped,
    mayProbe: () => hasTurn && host.watchers.shouldWatch(),
  });
  const missedChanges = createMissedChanges({
    ...{ store: host.store, replica: host.replica, urgentReads, list },
    ...{ hasReturned, applyAt, applyListing, confirm, log: host.log },
    ...{ countCall: host.countCall, isStopped: () => isStopped },
  });

  return {
    ...contact,
    describeContact: contact.describe,
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
    return hasTurn && contact.isReading();
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
      if (hasTurn && wasSilent()) applyUrgent(await tryReach());
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
    isReadDue = contact.recordTurn();
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
  function listNoting({ onHead, onLongBody }: ListOptions) {
    return list({
      onHead,
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
    const listing = await tryCall(
      0,
      (options) => isFirst ? firstListing.run() : listNoting(options),
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
    const waitMs = isReadDue ? readWaitMs : watchTimeoutMs;
    isReadDue = false;
    const changes = await tryCall(waitMs, (options) =>
      host.store.watch({
        ...{ ...options, afterRevision: after.revision, waitMs },
        maxBytes: getMaxWatchBytes(host.replica),
      }));
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

  function applyUrgent(changes: Changes | undefined): void {
    if (changes !== undefined) notify(host.replica.applySome(changes), "watch");
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
