/**
 * Holds this process's copy of the store's entries. An older revision of an
 * entry never replaces a newer one, regardless of its source. Revisions are
 * compared within one era only: changes of an older era are ignored, and only a
 * complete copy begins a newer one, as changes alone do not tell what the store
 * has lost.
 *
 * A listing tells what exists, not what was removed before it. A replica
 * therefore knows all removals only from its last listing on, and names to a peer
 * at an older position the keys that exist instead.
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
   * Applies a listing of some keys, which removes the missing ones of them; the
   * known position stays. Returns the changes.
   */
  applySomeListed(
    listing: Listing,
    isListed: (key: string) => boolean,
  ): readonly DirectoryChange[];
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
   * Changes beyond a gap are left out of the latter. Where removals after the
   * revision are not all known, the keys that exist are named.
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
  /** Records that all changes up to a position of this era are known. */
  confirm(position: StorePosition): void;
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
  /**
   * All keys that exist, when the changes may lack removals that were made up to
   * the position; undefined when they lack none.
   */
  readonly keys?: readonly string[] | undefined;
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
  /** Revision after which all removals up to the position are tombstones. */
  let removalsKnownAfter = originPosition.revision;

  return {
    applyChanges,
    applySome,
    applySomeListed,
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
    confirm: ({ era, revision }) => {
      if (era === position.era) advance(revision);
    },
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
    if (tombstones.size <= maxTombstones) return;
    const evicted = evictOldest(tombstones);
    removalsKnownAfter = Math.max(removalsKnownAfter, evicted?.revision ?? 0);
  }

  function applyListing(listing: Listing): readonly DirectoryChange[] {
    const { entries, position: { era, revision } } = listing;
    if (era < position.era) return [];
    if (era > position.era) return replaceAll(listing);
    const missing = findMissing(listing.position, entries);
    const applied = [...entries, ...missing].filter(apply);
    advanceWithoutRemovals(revision);
    return applied;
  }

  function applySomeListed(
    { entries, position: listed }: Listing,
    isListed: (key: string) => boolean,
  ): readonly DirectoryChange[] {
    if (listed.era !== position.era) return [];
    const missing = findMissing(listed, entries)
      .filter(({ key }) => isListed(key));
    return [...entries, ...missing].filter(apply);
  }

  /**
   * Returns the removals of the entries that are known here and did not exist at a
   * position. Their revisions are not known; none is newer than the position.
   */
  function findMissing(
    { revision: existingAt }: StorePosition,
    existing: readonly Pick<WatchEvent, "key">[],
  ): readonly WatchEvent[] {
    const keys = new Set(existing.map(({ key }) => key));
    return [...live.values()]
      .filter(({ key, revision }) => !keys.has(key) && revision <= existingAt)
      .map(({ key }) => ({ key, value: undefined, revision: existingAt }));
  }

  /** Advances over changes whose removals are not all known. */
  function advanceWithoutRemovals(revision: number): void {
    if (revision <= position.revision) return;
    advance(revision);
    removalsKnownAfter = revision;
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
    { position: copied, isComplete, changes, keys }: DirectoryCopy,
  ): readonly DirectoryChange[] {
    const entries = changes.flatMap(({ key, value, revision }) =>
      value === undefined ? [] : [{ key, value, revision }]
    );
    if (copied.era > position.era && isComplete) {
      return replaceAll({ entries, position: copied });
    }
    if (copied.era !== position.era) return [];
    const existing = keys?.map((key) => ({ key })) ??
      (isComplete ? entries : undefined);
    if (existing === undefined) {
      const applied = changes.filter(isNews).filter(apply);
      advance(copied.revision);
      return applied;
    }
    const missing = findMissing(copied, existing);
    const applied = [...changes.filter(isNews), ...missing].filter(apply);
    advanceWithoutRemovals(copied.revision);
    return applied;
  }

  /** Returns false for an entry that was gone by the position known here. */
  function isNews({ key, revision }: WatchEvent): boolean {
    return revision > position.revision || tryGetKnown(key) !== undefined;
  }

  /** Begins a newer era with all of its entries; returns what differs. */
  function replaceAll(listing: Listing): readonly DirectoryChange[] {
    const known = new Map([...tombstones, ...live]);
    position = listing.position;
    removalsKnownAfter = position.revision;
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
    const lacksRemovals = !isComplete && after.revision < removalsKnownAfter;
    return {
      ...{ position, isComplete, changes },
      keys: lacksRemovals ? [...live.keys()] : undefined,
      lostEntries: getLostEntries(),
    };
  }
}

/** Removes the entry that was set first; returns its value. */
function evictOldest<Value>(map: Map<string, Value>): Value | undefined {
  const [oldest] = map;
  if (oldest === undefined) return undefined;
  map.delete(oldest[0]);
  return oldest[1];
}
