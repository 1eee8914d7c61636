/**
 * Lets a suspect request run at only one target of the fleet at a time, by a
 * record that is created if absent in the platform's key-value service.
 * Without the claim, a request that two routers retry at once could crash two
 * more targets before the record of the first crash has spread.
 */

import type { Platform } from "../../types/platform.ts";

/**
 * Result of a claim:
 *
 * - `claimed`: no other target runs the request.
 * - `taken`: another target runs it, or has just crashed with it.
 * - `unavailable`: it is unknown whether another target runs it.
 */
export type SuspectClaim = "claimed" | "taken" | "unavailable";

/** What the claims need from their environment. */
export interface SuspectClaimsHost {
  readonly platform: Pick<Platform, "get" | "put" | "remove" | "createLease">;
}

/** The claims of one agent. */
export interface SuspectClaims {
  /** Claims a request that runs for at most `timeoutMs`. */
  tryClaim(
    fingerprint: string,
    options: { readonly timeoutMs: number },
  ): Promise<SuspectClaim>;
  /** Releases a claim. After a crash the caller lets it expire instead. */
  release(fingerprint: string): Promise<void>;
}

/** Time that a claim's lease outlives the request's timeout. */
const claimGraceMs = 5_000;

/** Creates the claims of an agent process; `holder` is its unique name. */
export function createSuspectClaims(
  host: SuspectClaimsHost,
  holder: string,
): SuspectClaims {
  const revisions = new Map<string, number>();
  let count = 0;

  return { tryClaim, release };

  async function tryClaim(
    fingerprint: string,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<SuspectClaim> {
    const lease = await host.platform
      .createLease(timeoutMs + claimGraceMs).run();
    if (lease.isLeft()) return "unavailable";
    const value = `${holder}/${++count}`;
    const put = await host.platform.put(getKey(fingerprint), value, {
      expectedRevision: 0,
      lease: lease.unsafeCoerce(),
    }).run();
    if (put.isRight()) {
      revisions.set(fingerprint, put.unsafeCoerce());
      return "claimed";
    }
    return await readBack(fingerprint, value);
  }

  /** Checks the record: a write whose response was lost may have succeeded. */
  async function readBack(
    fingerprint: string,
    value: string,
  ): Promise<SuspectClaim> {
    const read = await host.platform.get(getKey(fingerprint)).run();
    if (read.isLeft()) return "unavailable";
    const entry = read.unsafeCoerce();
    if (entry === undefined) return "unavailable";
    if (entry.value !== value) return "taken";
    revisions.set(fingerprint, entry.revision);
    return "claimed";
  }

  async function release(fingerprint: string): Promise<void> {
    const revision = revisions.get(fingerprint);
    if (revision === undefined) return;
    revisions.delete(fingerprint);
    // A claim that cannot be removed now expires with its lease.
    await host.platform.remove(getKey(fingerprint), revision).run();
  }
}

function getKey(fingerprint: string): string {
  return `suspect/${fingerprint}`;
}
