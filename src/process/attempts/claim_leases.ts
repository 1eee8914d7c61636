/**
 * Provides leases that many claims share, so that claims expire without one
 * call for each. A lease is given to new claims for a limited time and then
 * expires without renewal.
 */

import { EitherAsync, Left, Right } from "purify-ts";
import type { Platform, PlatformError } from "../../types/platform.ts";

/** Minimum lifetime of a claim, in milliseconds. */
export const minClaimLifetimeMs = 3_600_000;

/** Time for which a lease is given to new claims, in milliseconds. */
const leaseReuseMs = 600_000;

/** The shared lease for new claims. */
export interface ClaimLeases {
  /** Returns the lease for claims made now. */
  getLease(): EitherAsync<PlatformError, string>;
  /** Stops giving out a lease that may have expired. */
  discard(lease: string): void;
}

/** Creates the leases; the first one is requested on first use. */
export function createClaimLeases(
  host: { readonly platform: Pick<Platform, "createLease"> },
): ClaimLeases {
  let current:
    | { readonly id: string; readonly usableUntil: number }
    | undefined;
  let pending: Promise<void> | undefined;
  let lastError: PlatformError | undefined;

  return { getLease: () => EitherAsync.fromPromise(resolveLease), discard };

  function discard(lease: string): void {
    if (current?.id === lease) current = undefined;
  }

  async function resolveLease() {
    if (!isUsable()) await (pending ??= createNextLease());
    if (current !== undefined && isUsable()) return Right(current.id);
    return Left(
      lastError ?? {
        kind: "unavailable" as const,
        message: "There is no lease for claims",
        retryAfterMs: 0,
      },
    );
  }

  function isUsable(): boolean {
    return current !== undefined && Date.now() < current.usableUntil;
  }

  async function createNextLease(): Promise<void> {
    const usableUntil = Date.now() + leaseReuseMs;
    const created = await host.platform.createLease(
      minClaimLifetimeMs + leaseReuseMs,
    );
    created.caseOf({
      Left: (error) => {
        lastError = error;
      },
      Right: (id) => {
        current = { id, usableUntil };
      },
    });
    pending = undefined;
  }
}
