/**
 * Holds this process's copy of the store's entries. An older revision of an
 * entry never replaces a newer one, regardless of its source. Revisions are
 * compared within one era only: changes of an older era are ignored, and only a
 * complete copy begins a newer one, as changes alone do not tell what the store
 * has lost.
 */

import type { Changes, Listing } from "../../../types/directory.ts";
import type { WatchEvent } from "../../../types/platform.ts";
import {
  originPosition,
  type StorePosition,
} from "../../../types/store_position.ts";

import { applyPieces, type ValueEdit } from "./value_edit.ts";

/** Maximum number of tombstones kept; the oldest is evicted first. */
const maxTombstones = 4_096;

/** A change of the replica. */
export interface DirectoryChange extends WatchEvent {
  /**
   * True when the store returned from an older copy and this content of the
   * entry may be older than the one that was known before.
   */
  readonly isRestored?: boolean;
  /**
   * True when the store has lost this content of the entry, which is newer than
   * what it holds.
   */
  readonly isLost?: boolean;
}

/** The newest known content of an entry that the store has lost. */
export interface LostEntry extends WatchEvent {
  /** Revision of the older content that the store holds; 0 for none. */
  readonly restoredRevision: number;
}

/** Entries of the store and tombstones of removed ones. */
export interface DirectoryReplica {
  /**
   * Applies all changes after the known position; returns those that were new.
   */
  applyChanges(changes: Changes): readonly DirectoryChange[];
  /**
   * Applies some of the changes after the known position, which stays; returns
   * those that were new.
   */
  applySome(changes: Changes): readonly DirectoryChange[];
  /**
   * Applies the changes that a peer pushed; returns those that were new. If
   * changes before them are missing, the known position stays.
   */
  applyPush(push: DirectoryPush): readonly DirectoryChange[];
  /**
   * Applies a listing, which removes missing keys; returns the changes. A
   * listing of a newer era replaces the whole copy.
   */
  applyListing(listing: Listing): readonly DirectoryChange[];
  /** Applies what a peer returned; returns the changes. */
  applyCopy(copy: DirectoryCopy): readonly DirectoryChange[];
  /**
   * Returns what a peer at a position is missing, removals included: all that
   * is known when it is in another era, else the changes after its revision.
   * Changes beyond a gap are left out of the latter.
   */
  getCopyAfter(after: StorePosition): DirectoryCopy;
  /** Returns the length of all known values, in UTF-16 code units. */
  getValueLength(): number;
  /** Returns an entry as it is known; undefined when it is removed or unknown. */
  tryGet(key: string): WatchEvent | undefined;
  /** Returns the number of entries of which more is known than the store has. */
  countLostEntries(): number;
  /**
   * Returns the position up to which all changes are known; the origin for
   * none.
   */
  getPosition(): StorePosition;
}

/** Changes that a router has read from the store and pushes to its peers. */
export interface DirectoryPush {
  /** The changes are all that were made after this revision of the era. */
  readonly afterRevision: number;
  /** The changes are all that were made up to this position. */
  readonly position: StorePosition;
  readonly changes: readonly WatchEvent[];
  /** Changes of large values, by what differs from earlier ones. */
  readonly edits?: readonly ValueEdit[];
}

/** What a router returns to a peer that pulls. */
export interface DirectoryCopy {
  /** All changes up to this position are known. */
  readonly position: StorePosition;
  /** True when this is all that is known, not only what has changed. */
  readonly isComplete: boolean;
  readonly changes: readonly WatchEvent[];
  /** What the store has lost and the router knows. */
  readonly lostEntries: readonly LostEntry[];
}

/** Creates an empty replica. */
export function createDirectoryReplica(): DirectoryReplica {
  const live = new Map<string, WatchEvent>();
  const tombstones = new Map<string, WatchEvent>();
  /**
   * Newest contents known before a return of the store, by the keys whose
   * restored entry was older and has not changed since.
   */
  const lostEntries = new Map<string, WatchEvent>();
  let position = originPosition;

  return {
    applyChanges,
    applySome,
    applyPush,
    applyListing,
    applyCopy,
    getCopyAfter,
    tryGet: (key) => live.get(key),
    getValueLength: () =>
      [...live.values()].reduce(
        (sum, { value = "" }) => sum + value.length,
        0,
      ),
    countLostEntries: () => getLostEntries().length,
    getPosition: () => position,
  };

  function applyChanges(
    { events, position: { era } }: Changes,
  ): readonly DirectoryChange[] {
    if (era !== position.era) return [];
    const applied = events.filter(apply);
    for (const { revision } of events) advance(revision);
    return applied;
  }

  function applySome(
    { events, position: { era } }: Changes,
  ): readonly DirectoryChange[] {
    return era === position.era ? events.filter(apply) : [];
  }

  function applyPush(
    { afterRevision, position: { era, revision }, changes, edits = [] }:
      DirectoryPush,
  ): readonly DirectoryChange[] {
    if (era !== position.era) return [];
    const edited = edits.flatMap((edit) => tryEdit(edit) ?? []);
    const applied = [...changes, ...edited].filter(apply);
    const isComplete = edits.every((edit) =>
      (tryGetKnown(edit.key)?.revision ?? 0) >= edit.revision
    );
    if (isComplete && afterRevision <= position.revision) advance(revision);
    return applied;
  }

  /** Returns the new value; undefined without the one that it was made from. */
  function tryEdit(edit: ValueEdit): WatchEvent | undefined {
    const { key, revision, baseRevision } = edit;
    const base = live.get(key);
    if (base?.value === undefined || base.revision !== baseRevision) {
      return undefined;
    }
    const value = applyPieces(base.value, edit);
    return value === undefined ? undefined : { key, value, revision };
  }

  function tryGetKnown(key: string): WatchEvent | undefined {
    return live.get(key) ?? tombstones.get(key);
  }

  function advance(revision: number): void {
    if (revision > position.revision) position = { ...position, revision };
  }

  function apply(event: WatchEvent): boolean {
    const known = tryGetKnown(event.key);
    if (known !== undefined && known.revision >= event.revision) return false;
    lostEntries.delete(event.key);
    store(event);
    return true;
  }

  function store(event: WatchEvent): void {
    live.delete(event.key);
    tombstones.delete(event.key);
    (event.value === undefined ? tombstones : live).set(event.key, event);
    if (tombstones.size > maxTombstones) evictOldest(tombstones);
  }

  function applyListing(listing: Listing): readonly DirectoryChange[] {
    const { entries, position: { era, revision: listedRevision } } = listing;
    if (era < position.era) return [];
    if (era > position.era) return replaceAll(listing);
    const listed = new Set(entries.map(({ key }) => key));
    const missing = [...live.values()]
      .filter(({ key, revision }) =>
        !listed.has(key) && revision <= listedRevision
      )
      .map(({ key }) => ({ key, value: undefined, revision: listedRevision }));
    const events = [...entries, ...missing];
    const applied = events.filter(apply);
    events
      .filter(({ revision }) => revision <= listedRevision)
      .forEach(({ revision }) => advance(revision));
    return applied;
  }

  function applyCopy(copy: DirectoryCopy): readonly DirectoryChange[] {
    const changes = applyCopiedChanges(copy);
    if (copy.position.era !== position.era) return changes;
    const lost = copy.lostEntries.filter(applyLost);
    return [
      ...changes,
      ...lost.map(({ key, value, revision }) => ({
        ...{ key, value, revision },
        isLost: true,
      })),
    ];
  }

  /** Returns true when the entry here is the one that the lost content replaced. */
  function applyLost({ restoredRevision, ...lost }: LostEntry): boolean {
    const knownRevision = lostEntries.get(lost.key)?.revision ?? 0;
    if (restoredRevision !== (live.get(lost.key)?.revision ?? 0)) return false;
    if (lost.revision <= knownRevision) return false;
    setLost(lost);
    return true;
  }

  function setLost(lost: WatchEvent): void {
    lostEntries.set(lost.key, lost);
    if (lostEntries.size > maxTombstones) evictOldest(lostEntries);
  }

  function applyCopiedChanges(
    { position: copied, isComplete, changes }: DirectoryCopy,
  ): readonly DirectoryChange[] {
    if (!isComplete) {
      return applyChanges({ events: changes, position: copied });
    }
    if (copied.era < position.era) return [];
    if (copied.era === position.era) {
      const applied = changes.filter(apply);
      advance(copied.revision);
      return applied;
    }
    const entries = changes.flatMap(({ key, value, revision }) =>
      value === undefined ? [] : [{ key, value, revision }]
    );
    return replaceAll({ entries, position: copied });
  }

  /** Begins a newer era with all of its entries; returns what differs. */
  function replaceAll(listing: Listing): readonly DirectoryChange[] {
    const { era, revision: listedRevision } = listing.position;
    const known = new Map([...tombstones, ...live]);
    const newestRevision = listing.entries
      .map(({ revision }) => revision)
      .filter((revision) => revision <= listedRevision)
      .reduce((left, right) => Math.max(left, right), 0);
    // A peer without removals to tell of has the revision of its newest entry.
    position = { era, revision: newestRevision || listedRevision };
    live.clear();
    tombstones.clear();
    const changes: DirectoryChange[] = [];
    for (const entry of listing.entries) {
      const previous = known.get(entry.key);
      known.delete(entry.key);
      const isRestored = recordRestored(entry, previous);
      store(entry);
      if (previous?.value !== entry.value) {
        changes.push(isRestored ? { ...entry, isRestored } : entry);
      }
    }
    for (const previous of known.values()) {
      const { key, value } = previous;
      recordRestored({ key, revision: 0 }, previous);
      if (value === undefined) continue;
      const removal = { key, value: undefined, revision: position.revision };
      store(removal);
      changes.push({ ...removal, isRestored: true });
    }
    return changes;
  }

  /**
   * Returns true when the entry of a new era may be older than the one that was
   * known. A higher revision than the known one is newer in either era. A content
   * that an earlier return has lost stays the newest: the removal that was then
   * recorded for its key is no change that anyone made.
   */
  function recordRestored(
    { key, revision }: Pick<WatchEvent, "key" | "revision">,
    known: WatchEvent | undefined,
  ): boolean {
    const newest = lostEntries.get(key) ?? known;
    lostEntries.delete(key);
    if (newest === undefined || revision >= newest.revision) return false;
    setLost(newest);
    return true;
  }

  function getLostEntries(): readonly LostEntry[] {
    return [...lostEntries.values()].flatMap((lost) => {
      const restored = live.get(lost.key);
      if (lost.value === restored?.value) return [];
      return [{ ...lost, restoredRevision: restored?.revision ?? 0 }];
    });
  }

  function getCopyAfter(after: StorePosition): DirectoryCopy {
    const isComplete = after.era !== position.era;
    // An entry that the store has lost was not removed.
    const removals = [...tombstones.values()]
      .filter(({ key }) => !lostEntries.has(key));
    const changes = [...live.values(), ...removals]
      .filter(({ value, revision }) =>
        isComplete
          ? value !== undefined || revision <= position.revision
          : revision > after.revision && revision <= position.revision
      )
      .sort((left, right) => left.revision - right.revision);
    return { position, isComplete, changes, lostEntries: getLostEntries() };
  }
}

function evictOldest(map: Map<string, unknown>): void {
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
