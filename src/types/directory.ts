/** The store's entries as a process replicates them, and what they say. */

import type { EitherAsync } from "purify-ts";
import type { DirectTarget, RouterPeer } from "./direct_target.ts";
import type { Entry, PlatformErrorKind, WatchEvent } from "./platform.ts";
import type { RouteTable } from "./route_table.ts";

/** All entries of the store that matter, read at or after a revision. */
export interface Listing {
  readonly entries: readonly Entry[];
  /** Changes after this revision may be missing from the entries. */
  readonly revision: number;
}

/** Changes after a revision, in order. */
export interface Changes {
  readonly events: readonly WatchEvent[];
  /** Revision to go on from. */
  readonly revision: number;
}

/**
 * An error of the directory; `compacted` means that the history no longer
 * reaches back to the revision that was asked for.
 */
export interface DirectoryError {
  readonly kind: PlatformErrorKind | "compacted";
  readonly message: string;
}

/** What one entry says; `unreadable` entries name nothing that can be used. */
export type DirectoryRecord =
  | { readonly kind: "route_table"; readonly table: RouteTable }
  | { readonly kind: "target"; readonly target: DirectTarget }
  | { readonly kind: "router"; readonly router: RouterPeer }
  | { readonly kind: "unreadable"; readonly reason: string }
  | { readonly kind: "other" };

/** The store that every router replicates, as a narrow host. */
export interface DirectoryStore {
  list(): EitherAsync<DirectoryError, Listing>;
  /** Waits for changes after a revision, at most `waitMs`. */
  watch(
    options: { readonly afterRevision: number; readonly waitMs: number },
  ): EitherAsync<DirectoryError, Changes>;
  /** Writes where this router is reached; the entry outlives the process. */
  announce(router: RouterPeer): EitherAsync<DirectoryError, void>;
  /** Reads an entry; a key that names a record is kept for its removal. */
  decode(entry: Entry): DirectoryRecord;
  /** The kind and id of the record that a key holds. */
  resolveKey(
    key: string,
  ): { readonly kind: "target" | "router"; readonly id: string } | undefined;
  close(): Promise<void>;
}
