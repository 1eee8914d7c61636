/**
 * Lets a suspect run at one target of the whole fleet at a time, by a record
 * that is created if absent in the platform's service. Without it, a request
 * that is sent again through two routers at once could cost two more targets
 * before the news of the first crash has spread.
 */

import type { Platform } from "../../types/platform.ts";

/**
 * - `claimed`: no other target runs the request.
 * - `taken`: another target runs it, or has just crashed with it.
 * - `unavailable`: nobody can tell now.
 */
export type SuspectClaim = "claimed" | "taken" | "unavailable";

/** What the claims need from outside. */
export interface SuspectClaimsHost {
  readonly platform: Pick<Platform, "get" | "put" | "remove" | "createLease">;
}

/** Claims of one agent. */
export interface SuspectClaims {
  /** Claims a request for at most `longestMs`. */
  tryClaim(
    fingerprint: string,
    options: { readonly timeoutMs: number },
  ): Promise<SuspectClaim>;
  /** Gives a claim back; one after a crash is left to run out instead. */
  release(fingerprint: string): Promise<void>;
}

/** Time that a claim outlives the work, in milliseconds. */
const claimGraceMs = 5_000;

/** Creates the claims of an agent process with a unique name. */
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

  /** A write whose answer was lost may have taken effect. */
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
    // A claim that cannot be removed now ends with its lease.
    await host.platform.remove(getKey(fingerprint), revision).run();
  }
}

function getKey(fingerprint: string): string {
  return `suspect/${fingerprint}`;
}
