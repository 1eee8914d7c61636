/**
 * The store's entries as this process knows them. Revisions only grow: an
 * older copy, whoever sends it, never replaces a newer one.
 */

import type { Listing } from "../../types/directory.ts";
import type { WatchEvent } from "../../types/platform.ts";

/** Removed keys that are remembered; the oldest goes first. */
const maxTombstones = 4_096;

/** The replica of one process. */
export interface DirectoryReplica {
  /** Takes changes; returns those that were new. */
  applyChanges(events: readonly WatchEvent[]): readonly WatchEvent[];
  /** Takes a listing; keys that it lacks have been removed. */
  applyListing(listing: Listing): readonly WatchEvent[];
  /** Changes after a revision, removals included, for a peer. */
  getSince(revision: number): readonly WatchEvent[];
  /** Revision of the newest change that is known; 0 for none. */
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
