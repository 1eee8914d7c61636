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
  /** Applies changes; returns those that were new. */
  applyChanges(events: readonly WatchEvent[]): readonly WatchEvent[];
  /** Applies a listing, which removes missing keys; returns the changes. */
  applyListing(listing: Listing): readonly WatchEvent[];
  /** Returns the changes after a revision, removals included. */
  getSince(revision: number): readonly WatchEvent[];
  /** Returns the revision of the newest known change; 0 for none. */
  getNewestRevision(): number;
}

/** Creates an empty replica. */
export function createDirectoryReplica(): DirectoryReplica {
  const live = new Map<string, WatchEvent>();
  const tombstones = new Map<string, WatchEvent>();
  let newestRevision = 0;

  return {
    applyChanges: (events) => events.filter(apply),
    applyListing,
    getSince,
    getNewestRevision: () => newestRevision,
  };

  function apply(event: WatchEvent): boolean {
    const known = live.get(event.key) ?? tombstones.get(event.key);
    if (known !== undefined && known.revision >= event.revision) return false;
    newestRevision = Math.max(newestRevision, event.revision);
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
        !listed.has(key) && revision <= listing.revision
      )
      .map(({ key }) => ({
        key,
        value: undefined,
        revision: listing.revision,
      }));
    return [...listing.entries, ...missing].filter(apply);
  }

  function getSince(revision: number): readonly WatchEvent[] {
    return [...live.values(), ...tombstones.values()]
      .filter((event) => event.revision > revision)
      .sort((left, right) => left.revision - right.revision);
  }

  function evictOldestTombstone(): void {
    const [oldest] = tombstones.keys();
    if (oldest !== undefined) tombstones.delete(oldest);
  }
}
