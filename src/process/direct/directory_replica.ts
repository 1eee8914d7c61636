/**
 * Holds this process's copy of the store's entries. An older revision of an
 * entry never replaces a newer one, regardless of its source.
 */

import type { Listing } from "../../types/directory.ts";
import type { WatchEvent } from "../../types/platform.ts";

/** Maximum number of tombstones kept; the oldest is evicted first. */
const maxTombstones = 4_096;

/** Entries of the store and tombstones of removed ones. */
export interface DirectoryReplica {
  /**
   * Applies all changes after the newest known revision; returns those that
   * were new.
   */
  applyChanges(events: readonly WatchEvent[]): readonly WatchEvent[];
  /**
   * Applies the changes that a peer pushed; returns those that were new. If
   * changes before them are missing, the newest known revision stays.
   */
  applyPush(push: DirectoryPush): readonly WatchEvent[];
  /** Applies a listing, which removes missing keys; returns the changes. */
  applyListing(listing: Listing): readonly WatchEvent[];
  /**
   * Returns the changes after a revision, removals included, up to the newest
   * revision. Changes beyond a gap are left out.
   */
  getSince(revision: number): readonly WatchEvent[];
  /**
   * Returns the revision up to which all changes are known; 0 for none.
   */
  getNewestRevision(): number;
}

/** Changes that a router has read from the store and pushes to its peers. */
export interface DirectoryPush {
  /** The changes are all that were made after this revision. */
  readonly afterRevision: number;
  /** The changes are all that were made up to this revision. */
  readonly revision: number;
  readonly changes: readonly WatchEvent[];
}

/** Creates an empty replica. */
export function createDirectoryReplica(): DirectoryReplica {
  const live = new Map<string, WatchEvent>();
  const tombstones = new Map<string, WatchEvent>();
  let newestRevision = 0;

  return {
    applyChanges,
    applyPush,
    applyListing,
    getSince,
    getNewestRevision: () => newestRevision,
  };

  function applyChanges(
    events: readonly WatchEvent[],
  ): readonly WatchEvent[] {
    const applied = events.filter(apply);
    for (const { revision } of events) advance(revision);
    return applied;
  }

  function applyPush(
    { afterRevision, revision, changes }: DirectoryPush,
  ): readonly WatchEvent[] {
    const applied = changes.filter(apply);
    if (afterRevision <= newestRevision) advance(revision);
    return applied;
  }

  function advance(revision: number): void {
    newestRevision = Math.max(newestRevision, revision);
  }

  function apply(event: WatchEvent): boolean {
    const known = live.get(event.key) ?? tombstones.get(event.key);
    if (known !== undefined && known.revision >= event.revision) return false;
    live.delete(event.key);
    tombstones.delete(event.key);
    (event.value === undefined ? tombstones : live).set(event.key, event);
    if (tombstones.size > maxTombstones) evictOldestTombstone();
    return true;
  }

  function applyListing(listing: Listing): readonly WatchEvent[] {
    const listed = new Set(listing.entries.map(({ key }) => key));
    const missing = [...live.values()]
      .filter(({ key, revision }) =>
        !listed.has(key) && revision <= listing.position.revision
      )
      .map(({ key }) => ({
        key,
        value: undefined,
        revision: listing.position.revision,
      }));
    return applyChanges([...listing.entries, ...missing]);
  }

  function getSince(revision: number): readonly WatchEvent[] {
    return [...live.values(), ...tombstones.values()]
      .filter((event) =>
        event.revision > revision && event.revision <= newestRevision
      )
      .sort((left, right) => left.revision - right.revision);
  }

  function evictOldestTombstone(): void {
    const [oldest] = tombstones.keys();
    if (oldest !== undefined) tombstones.delete(oldest);
  }
}
