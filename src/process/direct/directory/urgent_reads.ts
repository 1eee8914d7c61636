/**
 * Reads targets and evacuations by themselves while a long response of the store
 * arrives.
 *
 * Load pattern: a configuration of a megabyte takes a slow link for seconds, and
 * the next one follows at once. A leave that stands in the same response, or is
 * written meanwhile, would be known as late as that, at the routers that read the
 * store and at all to which they push.
 */

import type { DirectoryStore, UrgentKind } from "../../../types/directory.ts";
import type { WatchEvent } from "../../../types/platform.ts";
import type { StorePosition } from "../../../types/store_position.ts";
import type { ChangeSource } from "./directory_tables.ts";
import type { DirectoryChange, DirectoryReplica } from "./directory_replica.ts";

/** What the reads need from the process. */
export interface UrgentReadsHost {
  readonly store: Pick<DirectoryStore, "list" | "resolveKey" | "watch">;
  readonly replica: Pick<
    DirectoryReplica,
    "applySome" | "applySomeListed" | "getPosition"
  >;
  /** Returns true while this router pushes what it reads. */
  hasTurn(): boolean;
  /** Handles new changes, in order. */
  handleChanges(
    changes: readonly DirectoryChange[],
    source: ChangeSource,
  ): void;
  /** Pushes changes although others before them are not known here. */
  pushUrgent(changes: readonly WatchEvent[], era: number): void;
  /** Records that the store responds. */
  recordProgress(): void;
  /** Counts one call to the store. */
  countCall(call: "list" | "watch"): void;
}

/** The urgent reads of one router. */
export interface UrgentReads {
  /** Begins to read for as long as another read lasts; returns its end. */
  begin(): () => void;
  /**
   * Reads what has changed since a listing, at or after whose position it was
   * read; returns what is known after a short timeout.
   */
  readSince(listed: StorePosition): Promise<readonly WatchEvent[]>;
}

/** Kinds of entries that are read. */
const urgentKinds: readonly UrgentKind[] = ["target", "evacuation"];

/** Time for which a read waits for changes, in milliseconds. */
const waitMs = 500;

/** Pause after a read, in milliseconds. */
const batchDelayMs = 100;

/** Pause after a failed read, in milliseconds. */
const failureDelayMs = 200;

/** Timeout of the reads after a listing, in milliseconds. */
const sinceTimeoutMs = 700;

/** Creates the reads; none is made before `begin`. */
export function createUrgentReads(host: UrgentReadsHost): UrgentReads {
  const { store, replica } = host;
  const following = new Set<UrgentKind>();
  /** Number of long reads that last. */
  let longReads = 0;

  return { begin, readSince };

  function begin(): () => void {
    let hasEnded = false;
    longReads++;
    urgentKinds.forEach((kind) => void follow(kind));
    return () => {
      if (!hasEnded) longReads--;
      hasEnded = true;
    };
  }

  async function follow(kind: UrgentKind): Promise<void> {
    if (following.has(kind)) return;
    following.add(kind);
    let after = replica.getPosition();
    while (longReads > 0) {
      const next = await readAfter(kind, after);
      after = next ?? replica.getPosition();
      await sleep(next === undefined ? failureDelayMs : batchDelayMs);
    }
    following.delete(kind);
  }

  async function readSince(
    { era, revision }: StorePosition,
  ): Promise<readonly WatchEvent[]> {
    const events: WatchEvent[] = [];
    const reads = urgentKinds.map(async (kind) => {
      host.countCall("watch");
      const result = await store
        .watch({ afterRevision: revision, waitMs: 1, kind }).run();
      result.ifRight((changes) => {
        if (changes.position.era === era) events.push(...changes.events);
      });
    });
    await Promise.race([Promise.all(reads), sleep(sinceTimeoutMs)]);
    return [...events];
  }

  /** Returns the position to read from; undefined after a failure. */
  async function readAfter(
    kind: UrgentKind,
    after: StorePosition,
  ): Promise<StorePosition | undefined> {
    host.countCall("watch");
    const result = await store
      .watch({ afterRevision: after.revision, waitMs, kind })
      .run();
    return await result.caseOf<Promise<StorePosition | undefined>>({
      Left: async ({ kind: error }) =>
        error === "compacted" ? await listAll(kind) : undefined,
      Right: ({ events, position }) => {
        handleRead(replica.applySome({ events, position }), position);
        const isSameEra = position.era === after.era;
        return Promise.resolve(isSameEra ? position : undefined);
      },
    });
  }

  /** Reads the entries of a kind, after which those that it lacks are gone. */
  async function listAll(kind: UrgentKind): Promise<StorePosition | undefined> {
    host.countCall("list");
    const result = await store.list({ kind }).run();
    return result.caseOf<StorePosition | undefined>({
      Left: () => undefined,
      Right: (listing) => {
        const isListed = (key: string): boolean =>
          store.resolveKey(key)?.kind === kind;
        const applied = replica.applySomeListed(listing, isListed);
        handleRead(applied, listing.position);
        return listing.position;
      },
    });
  }

  function handleRead(
    applied: readonly DirectoryChange[],
    position: StorePosition,
  ): void {
    host.recordProgress();
    if (applied.length === 0) return;
    if (host.hasTurn()) host.pushUrgent(applied, position.era);
    host.handleChanges(applied, "watch");
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
