/**
 * Reads from the store, once, what a router that takes changes from its peers has
 * missed.
 */

import type { Either, EitherAsync } from "purify-ts";
import type {
  DirectoryError,
  DirectoryStore,
  Listing,
  ListOptions,
} from "../../../types/directory.ts";
import type { StorePosition } from "../../../types/store_position.ts";
import type { Log } from "../../telemetry/log.ts";
import type { DirectoryChange, DirectoryReplica } from "./directory_replica.ts";
import type { ChangeSource } from "./directory_tables.ts";
import type { UrgentReads } from "./urgent_reads.ts";
import { getMaxWatchBytes } from "./watch_size.ts";

/** What the reads need from the process. */
export interface MissedChangesHost {
  readonly store: Pick<DirectoryStore, "watch">;
  readonly replica: Pick<
    DirectoryReplica,
    "applyChanges" | "getPosition" | "getValueLength"
  >;
  readonly urgentReads: UrgentReads;
  readonly log: Pick<Log, "warn">;
  list(options?: ListOptions): EitherAsync<DirectoryError, Listing>;
  isStopped(): boolean;
  /** Returns true when the store has named a newer era than the replica's. */
  hasReturned(): boolean;
  /** Applies what was read at a position, and handles a return before it. */
  applyAt(
    position: StorePosition,
    source: ChangeSource,
    apply: () => readonly DirectoryChange[],
  ): void;
  /** Records that all changes up to a position were read from the store. */
  confirm(position: StorePosition): void;
  /** Applies a listing; returns true. */
  applyListing(listing: Listing): boolean;
  /** Counts one call to the store. */
  countCall(call: "watch"): void;
}

/** The reads of one router. */
export interface MissedChanges {
  /**
   * Reads the changes after the known position, or all entries when a newer era
   * than the known one has begun; returns false when the store is unavailable.
   * `era` is the newest that peers have reported.
   */
  read(era: number): Promise<boolean>;
  /** Returns true while a read lasts. */
  isReading(): boolean;
}

/** Wait of a watch that only reads changes already made, in milliseconds. */
const watchWaitMs = 1;

/** Creates the reads; none is made before the first call. */
export function createMissedChanges(host: MissedChangesHost): MissedChanges {
  let isReading = false;

  return { read, isReading: () => isReading };

  async function read(era: number): Promise<boolean> {
    if (isReading) return true;
    isReading = true;
    try {
      const isBehind = era > host.replica.getPosition().era ||
        host.hasReturned();
      return await (isBehind ? listOnce() : watchOnce());
    } finally {
      isReading = false;
    }
  }

  /** Reads the changes made so far; returns false after a failure. */
  async function watchOnce(): Promise<boolean> {
    host.countCall("watch");
    const after = host.replica.getPosition();
    const result = await readBesideUrgent(
      host.urgentReads,
      (onLongBody) =>
        host.store.watch({
          ...{ afterRevision: after.revision, onLongBody },
          waitMs: watchWaitMs,
          maxBytes: getMaxWatchBytes(host.replica),
        }),
    );
    if (host.isStopped()) return true;
    return await result.caseOf<Promise<boolean>>({
      Left: async (error) =>
        error.kind === "compacted" ? await listOnce() : reportMissed(error),
      Right: async (changes) => {
        if (changes.position.era !== after.era) return await listOnce();
        host.applyAt(
          changes.position,
          "watch",
          () => host.replica.applyChanges(changes),
        );
        host.confirm(changes.position);
        return true;
      },
    });
  }

  /** Reads all entries; returns false after a failure. */
  async function listOnce(): Promise<boolean> {
    const result = await readBesideUrgent(
      host.urgentReads,
      (onLongBody) => host.list({ onLongBody }),
    );
    if (host.isStopped()) return true;
    return result.caseOf({ Left: reportMissed, Right: host.applyListing });
  }

  function reportMissed({ kind, message }: DirectoryError): boolean {
    host.log.warn("Missed changes could not be read", {
      ...{ kind, reason: message },
    });
    return false;
  }
}

/** Makes a read, and urgent reads beside it once its response is long. */
export async function readBesideUrgent<T>(
  urgentReads: UrgentReads,
  read: (onLongBody: () => void) => EitherAsync<DirectoryError, T>,
): Promise<Either<DirectoryError, T>> {
  let endUrgent: (() => void) | undefined;
  try {
    return await read(() => {
      endUrgent ??= urgentReads.begin();
    }).run();
  } finally {
    endUrgent?.();
  }
}
