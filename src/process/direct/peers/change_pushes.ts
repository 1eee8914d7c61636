/**
 * Pushes directory changes that this router has read from the store to its
 * peers.
 *
 * Load pattern: several routers read the same changes at about the same time.
 * Those of lower rank wait a moment, and push only what no peer has pushed. A
 * large configuration comes with leaves and evacuations, which do not wait for it.
 */

import type { WatchEvent } from "../../../types/platform.ts";
import {
  comparePositions,
  type StorePosition,
} from "../../../types/store_position.ts";
import type {
  DirectoryPush,
  DirectoryReplica,
} from "../directory/directory_replica.ts";
import { findPieces, type ValueEdit } from "../directory/value_edit.ts";
import type { Log } from "../../telemetry/log.ts";
import { type PushFragment, splitPush } from "./push_fragments.ts";

/**
 * Delay of a push per router of higher rank that reads the store too, in
 * milliseconds. All of them read a change at the same time; one push is enough.
 */
const pushDelayMs = 25;

/** What the pushes need from the process. */
export interface ChangePushesHost {
  readonly log: Pick<Log, "info">;
  /** Returns the number of peers of higher rank that read the store. */
  countWatchersAhead(): number;
  /** Returns the newest position that a peer has pushed. */
  getPushPosition(): StorePosition;
  /** Returns the newest position of a peer's urgent push. */
  getUrgentPosition(): StorePosition;
  /** Sends a part of a push to all peers. */
  sendFragment(fragment: PushFragment): void;
  /** Sends a digest with this router's position to all peers. */
  sendDigest(): void;
}

/** What is known before pushed changes. */
export interface PushBase {
  readonly position: StorePosition;
  /** The entries of large values that the changes replace, by key. */
  readonly entries: ReadonlyMap<string, WatchEvent>;
}

/** The pushes of one router. */
export interface ChangePushes {
  /**
   * Pushes all changes that were made after a position. Of those that are too
   * large together, the small ones are pushed and the position is told.
   */
  push(changes: readonly WatchEvent[], base: PushBase): void;
  /** Pushes changes although others before them are not known here. */
  pushUrgent(changes: readonly WatchEvent[], era: number): void;
}

/** Largest value that counts as small, in UTF-16 code units. */
const maxSmallLength = 4_096;

/** Creates the pushes of a router that has read nothing. */
export function createChangePushes(host: ChangePushesHost): ChangePushes {
  return { push, pushUrgent };

  function push(
    changes: readonly WatchEvent[],
    { position: { era, revision: afterRevision }, entries }: PushBase,
  ): void {
    const revision = getNewestRevision(changes);
    const position = { era, revision };
    sendInTurn(() => {
      if (comparePositions(host.getPushPosition(), position) >= 0) return;
      const content = separateEdits(changes, entries);
      const fragments = splitPush({ afterRevision, position, ...content });
      fragments.forEach(host.sendFragment);
      if (fragments.length === 0) {
        sendSmall(changes, era);
        // Peers learn from the revision that they have to read the others.
        host.sendDigest();
      }
      host.log.info("Changes were pushed", {
        ...{ ...position, afterRevision, changes: changes.length },
        edits: content.edits.length,
        fragments: fragments.length,
      });
    });
  }

  function pushUrgent(changes: readonly WatchEvent[], era: number): void {
    const position = { era, revision: getNewestRevision(changes) };
    sendInTurn(() => {
      if (comparePositions(host.getUrgentPosition(), position) >= 0) return;
      sendSmall(changes, era);
    });
  }

  function sendInTurn(send: () => void): void {
    setTimeout(send, host.countWatchersAhead() * pushDelayMs).unref();
  }

  /** Pushes the small ones of changes, so that receivers expect others. */
  function sendSmall(changes: readonly WatchEvent[], era: number): void {
    const small = changes.filter(({ value = "" }) =>
      value.length <= maxSmallLength
    );
    if (small.length === 0) return;
    const revision = getNewestRevision(small);
    const fragments = splitPush({
      // Changes after a revision that the receivers don't know leave a gap.
      afterRevision: revision,
      position: { era, revision },
      changes: small,
    });
    fragments.forEach(host.sendFragment);
    host.log.info("Small changes were pushed", {
      ...{ era, revision, changes: small.length, fragments: fragments.length },
    });
  }
}

/** Returns what is known before changes are applied. */
export function getPushBase(
  replica: Pick<DirectoryReplica, "getPosition" | "tryGet">,
  changes: readonly WatchEvent[],
): PushBase {
  const entries = changes
    .filter(({ value = "" }) => value.length > maxSmallLength)
    .flatMap(({ key }) => replica.tryGet(key) ?? []);
  return {
    position: replica.getPosition(),
    entries: new Map(entries.map((entry) => [entry.key, entry])),
  };
}

/** Describes large values, of which the newest counts, by what differs. */
function separateEdits(
  changes: readonly WatchEvent[],
  entries: PushBase["entries"],
): Required<Pick<DirectoryPush, "changes" | "edits">> {
  const newest = new Map(changes.map((change) => [change.key, change]));
  const edits = [...newest.values()].flatMap((change) =>
    tryCreateEdit(change, entries.get(change.key)) ?? []
  );
  const edited = new Set(edits.map(({ key }) => key));
  return { changes: changes.filter(({ key }) => !edited.has(key)), edits };
}

function tryCreateEdit(
  { key, value, revision }: WatchEvent,
  base: WatchEvent | undefined,
): ValueEdit | undefined {
  if (value === undefined || base?.value === undefined) return undefined;
  const pieces = findPieces(base.value, value);
  return pieces && {
    ...{ key, revision, pieces },
    ...{ baseRevision: base.revision, length: value.length },
  };
}

function getNewestRevision(changes: readonly WatchEvent[]): number {
  return Math.max(...changes.map(({ revision }) => revision));
}
