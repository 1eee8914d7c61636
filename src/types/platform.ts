/** The platform's key-value service and VM list, as a narrow host. */

import type { EitherAsync } from "purify-ts";

/** A key with its value and the revision of its last write. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  /** Grows with every write to the service. */
  readonly revision: number;
}

/**
 * - `conflict`: the compare-and-swap found another revision.
 * - `unavailable`: the service did not take the call, nothing was written.
 * - `unknown`: the answer was lost, a write may have taken effect.
 * - `over_budget`: the process's own call budget is spent.
 */
export type PlatformErrorKind =
  | "conflict"
  | "unavailable"
  | "unknown"
  | "over_budget";

/** An error of the platform layer. */
export interface PlatformError {
  readonly kind: PlatformErrorKind;
  readonly message: string;
  readonly retryAfterMs: number;
}

/** A change seen by a watch; `value` is undefined for a removal. */
export interface WatchEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A VM on the platform's lagging list. */
export interface Vm {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
}

/** Conditions of a write. */
export interface PutOptions {
  /** Write only at this revision; 0 means the key must be absent. */
  readonly expectedRevision: number;
  /** The key goes when this lease ends. */
  readonly lease?: string;
}

/** What the project asks of the platform. */
export interface Platform {
  /** Reads one key; `undefined` when it is absent. */
  get(key: string): EitherAsync<PlatformError, Entry | undefined>;
  /** Reads all keys with a prefix, in key order, at most `limit`. */
  list(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): EitherAsync<PlatformError, readonly Entry[]>;
  /** Writes by compare-and-swap and returns the new revision. */
  put(
    key: string,
    value: string,
    options: PutOptions,
  ): EitherAsync<PlatformError, number>;
  /** Removes a key at a revision. */
  remove(
    key: string,
    expectedRevision: number,
  ): EitherAsync<PlatformError, void>;
  /** Waits for changes under a prefix after a revision; empty on time-out. */
  watch(
    prefix: string,
    options: { readonly afterRevision: number; readonly waitMs: number },
  ): EitherAsync<PlatformError, readonly WatchEvent[]>;
  /** Makes a lease that ends after `ttlMs` unless it is renewed. */
  createLease(ttlMs: number): EitherAsync<PlatformError, string>;
  /** Renews a lease; `conflict` when it has already ended. */
  renewLease(lease: string): EitherAsync<PlatformError, void>;
  /** Reads the lagging list of live and leaving VMs. */
  listVms(): EitherAsync<PlatformError, readonly Vm[]>;
}
