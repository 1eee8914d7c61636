/** The store's entries, as a process replicates them, and their contents. */

import type { EitherAsync } from "purify-ts";
import type { DirectTarget, RouterPeer } from "./direct_target.ts";
import type { Entry, PlatformErrorKind, WatchEvent } from "./platform.ts";
import type { RouteTable } from "./route_table.ts";
import type { StorePosition } from "./store_position.ts";

/** All entries of the store, read at or after a position. */
export interface Listing {
  readonly entries: readonly Entry[];
  /** The entries may lack changes after this position. */
  readonly position: StorePosition;
}

/** The changes after a revision, in order. */
export interface Changes {
  readonly events: readonly WatchEvent[];
  /** Position from which to continue; all changes are of its era. */
  readonly position: StorePosition;
}

/**
 * An error of the store:
 *
 * - `compacted`: the history does not contain the requested revision.
 * - `outdated`: the response belongs to an era that has ended, or to one that
 *   is not confirmed yet.
 */
export interface DirectoryError {
  readonly kind: PlatformErrorKind | "compacted" | "outdated";
  readonly message: string;
}

/** An era in a response that could not be used as it was. */
export interface EraFault {
  readonly kind: "missing" | "malformed" | "decreased" | "skipped";
  /** The era as the store sent it. */
  readonly text: string;
  readonly newestEra: number;
}

/**
 * The decoded content of an entry: `unreadable` entries cannot be decoded, and
 * `other` entries do not matter to routers.
 */
export type DirectoryRecord =
  | { readonly kind: "route_table"; readonly table: RouteTable }
  | { readonly kind: "target"; readonly target: DirectTarget }
  | { readonly kind: "router"; readonly router: RouterPeer }
  | { readonly kind: "evacuation"; readonly zone: string }
  | { readonly kind: "unreadable"; readonly reason: string }
  | { readonly kind: "other" };

/** The kind and id of a record that a key names. */
export interface RecordKey {
  readonly kind: "target" | "router" | "evacuation";
  readonly id: string;
}

/**
 * The kinds of entries that routers also read by themselves: small ones that must
 * be obeyed soon.
 */
export type UrgentKind = Extract<RecordKey["kind"], "evacuation" | "target">;

/** What a watch of the store covers. */
export interface WatchOptions {
  /** Revision after which changes are returned. */
  readonly afterRevision: number;
  /** Time to wait for the first change, in milliseconds. */
  readonly waitMs: number;
  /** The only kind of entries to return; all kinds without it. */
  readonly kind?: UrgentKind;
  /**
   * Size above which the response is not read, in bytes; the error is then the
   * one of a compacted history.
   */
  readonly maxBytes?: number;
  /**
   * Called when a response that doesn't refuse the call has begun; once for each
   * page of a listing.
   */
  onHead?(): void;
  /** Called at most once, when the response will take or takes long to read. */
  onLongBody?(): void;
}

/** What a listing of the store covers. */
export type ListOptions = Pick<
  WatchOptions,
  "kind" | "onHead" | "onLongBody"
>;

/** What is known of crashes at one key, as it outlasts all routers. */
export interface SavedEvidence {
  readonly key: string;
  readonly generation: number;
  readonly lives: readonly number[];
  readonly trials: number;
  /** When it expires, in epoch milliseconds. */
  readonly expiresAtMs: number;
}

/** A software version of a service, as its entry names it. */
export interface NamedVersion {
  /** Empty for targets that tell none. */
  readonly softwareVersion: string;
  /**
   * When the last target of the version was gone, in epoch milliseconds by the
   * writer's clock; undefined while there is one.
   */
  readonly goneSinceMs: number | undefined;
  /**
   * When the version was named beside others, in epoch milliseconds by the
   * writer's clock, and later than those; undefined for the versions of a first
   * record and of builds that don't tell.
   */
  readonly namedSinceMs?: number | undefined;
}

/** The software versions at which the streams of a service begin. */
export interface SavedVersions {
  readonly service: string;
  /** Era of the store in which the record was last confirmed. */
  readonly era: number;
  /**
   * Routes whose streams may be resumed at the service; a stream of another
   * route may have begun at another service.
   */
  readonly routes: string;
  /**
   * Streams that began since this time began at one of the versions, in epoch
   * milliseconds by the writer's clock; 0 when this holds for all streams.
   */
  readonly completeSinceMs: number;
  readonly versions: readonly NamedVersion[];
}

/** Changes of the saved targets. */
export interface SavedTargetChanges {
  /** Targets to save, also those that are saved differently. */
  readonly saved: readonly DirectTarget[];
  /** Ids of targets that are no longer to be saved. */
  readonly removed: readonly string[];
}

/** A response of the store that was read, or whose reading was given up. */
export interface StoreRead {
  readonly call: "list" | "watch" | "write";
  /** Size of what has arrived of the body, in bytes. */
  readonly bytes: number;
  /** Time from the head of the response to the end of the reading, in ms. */
  readonly bodyMs: number;
  readonly isComplete: boolean;
}

/** The store that every router replicates, as a narrow host. */
export interface DirectoryStore {
  /** Reads all entries, or all of one kind. */
  list(options?: ListOptions): EitherAsync<DirectoryError, Listing>;
  /** Waits for changes after a revision. */
  watch(options: WatchOptions): EitherAsync<DirectoryError, Changes>;
  /**
   * Returns the newest era of all responses, failed calls included; 0 before
   * the first.
   */
  getEra(): number;
  /** Sets the handler of eras that could not be used as they were. */
  onEraFault(handler: (fault: EraFault) => void): void;
  /** Sets the handler of responses that have begun, failed ones included. */
  onRead(handler: (read: StoreRead) => void): void;
  /** Writes this router's addresses; the entry outlives the process. */
  announce(router: RouterPeer): EitherAsync<DirectoryError, void>;
  /** Writes what is known of crashes at a key. */
  saveEvidence(evidence: SavedEvidence): EitherAsync<DirectoryError, void>;
  /** Removes what is known of crashes at a key. */
  removeEvidence(key: string): EitherAsync<DirectoryError, void>;
  /**
   * Decodes an entry about crashes, with an empty value a removed one; undefined
   * for other entries. Without evidence it is removed or unreadable.
   */
  decodeEvidence(entry: Entry): {
    readonly key: string;
    readonly evidence: SavedEvidence | undefined;
  } | undefined;
  /**
   * Writes the versions of a service if its entry still has a revision; 0 when
   * it must be absent.
   */
  saveVersions(
    versions: SavedVersions,
    expectedRevision: number,
  ): EitherAsync<DirectoryError, void>;
  /** Removes the versions of a service if their entry still has a revision. */
  removeVersions(
    service: string,
    expectedRevision: number,
  ): EitherAsync<DirectoryError, void>;
  /**
   * Decodes an entry with the versions of a service; undefined for other
   * entries. Without versions it is removed or unreadable.
   */
  decodeVersions(entry: Entry): {
    readonly service: string;
    readonly versions: SavedVersions | undefined;
  } | undefined;
  /** Saves targets for routers that start after an outage of the store. */
  saveTargets(changes: SavedTargetChanges): EitherAsync<DirectoryError, void>;
  /**
   * Decodes the entry of a saved target; undefined for other entries. Without a
   * target it is removed or unreadable.
   */
  decodeSavedTarget(entry: Entry): {
    readonly id: string;
    readonly target: DirectTarget | undefined;
  } | undefined;
  /** Decodes an entry. */
  decode(entry: Entry): DirectoryRecord;
  /**
   * Returns the kind and id of the record that a key names, if any; the id of an
   * evacuation is its zone. Records can then be removed when their entry is
   * deleted or unreadable.
   */
  resolveKey(key: string): RecordKey | undefined;
  /** Closes the connections to the store. */
  close(): Promise<void>;
}
