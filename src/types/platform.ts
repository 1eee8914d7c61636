/** The platform's key-value service and VM list, as a narrow host. */

import type { EitherAsync } from "purify-ts";

/** A key with its value and the revision of its last write. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  /** Increases with every write to the service. */
  readonly revision: number;
}

/**
 * The kind of a platform error:
 *
 * - `conflict`: the compare-and-swap found another revision.
 * - `unavailable`: the service did not accept the call; nothing was written.
 * - `unknown`: the response was lost; a write may have taken effect.
 * - `over_budget`: the process has exhausted its own call budget.
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

/** A change that a watch reports; `value` is undefined for a removal. */
export interface WatchEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A VM on the platform's list, which lags behind the actual state. */
export interface Vm {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
}

/** Options of a write. */
export interface PutOptions {
  /** Writes only if the key has this revision; 0 means it must be absent. */
  readonly expectedRevision: number;
  /** Lease that the key is bound to; the key is removed when it expires. */
  readonly lease?: string;
}

/** The calls to the platform. */
export interface Platform {
  /** Reads one key; `undefined` when it is absent. */
  get(key: string): EitherAsync<PlatformError, Entry | undefined>;
  /** Reads up to `limit` entries with a prefix, in key order. */
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
  /** Removes a key if it has the expected revision. */
  remove(
    key: string,
    expectedRevision: number,
  ): EitherAsync<PlatformError, void>;
  /** Waits for changes under a prefix after a revision; empty on timeout. */
  watch(
    prefix: string,
    options: { readonly afterRevision: number; readonly waitMs: number },
  ): EitherAsync<PlatformError, readonly WatchEvent[]>;
  /** Creates a lease that expires after `ttlMs` unless it is renewed. */
  createLease(ttlMs: number): EitherAsync<PlatformError, string>;
  /** Renews a lease; fails with `conflict` when it has already expired. */
  renewLease(lease: string): EitherAsync<PlatformError, void>;
  /** Reads the list of live and leaving VMs, which may be outdated. */
  listVms(): EitherAsync<PlatformError, readonly Vm[]>;
}
