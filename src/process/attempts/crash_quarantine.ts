/**
 * Keeps a request that crashes targets from costing more than two of them.
 * What was in flight at a crash is suspect. A suspect runs only while no
 * other suspect runs here, so a second crash names the one request that is
 * then held back until its record expires.
 */

import type { CrashView } from "../../types/view.ts";

/** Crashes after which a request is held back. */
export const condemnedAfterCrashes = 2;

/** What the quarantine says of a request. */
export type QuarantineVerdict =
  | { readonly kind: "clean" }
  | { readonly kind: "suspect"; readonly crashes: number }
  | { readonly kind: "condemned"; readonly crashes: number };

/** A request that may crash its target. */
export interface CrashCandidate {
  readonly fingerprint: string;
  /** Crashes that its router knows of. */
  readonly knownCrashes: number;
}

/** What the quarantine needs from outside. */
export interface CrashQuarantineHost {
  /** The records that all agents share. */
  readonly crashes: CrashView;
}

/** The quarantine of one agent. */
export interface CrashQuarantine {
  /** Judges a request by the shared records and by what its router knows. */
  check(fingerprint: string, knownCrashes: number): QuarantineVerdict;
  /** Tells that the target gets the request now. */
  enter(key: string, request: CrashCandidate): void;
  /** Tells that the request ended; `lived` when its target answered whole. */
  leave(key: string, options: { readonly lived: boolean }): void;
  /** Tells that the target crashed; returns what was in flight. */
  noteCrash(): readonly string[];
  getInFlight(): number;
}

/** Creates a quarantine with nothing in flight. */
export function createCrashQuarantine(
  host: CrashQuarantineHost,
): CrashQuarantine {
  const inFlight = new Map<string, CrashCandidate>();

  return {
    check,
    enter: (key, request) => {
      inFlight.set(key, request);
    },
    leave,
    noteCrash,
    getInFlight: () => inFlight.size,
  };

  function check(
    fingerprint: string,
    knownCrashes: number,
  ): QuarantineVerdict {
    const recorded = host.crashes.getCrashes(fingerprint);
    const crashes = Math.max(recorded, knownCrashes);
    if (crashes >= condemnedAfterCrashes) return { kind: "condemned", crashes };
    return crashes > 0 ? { kind: "suspect", crashes } : { kind: "clean" };
  }

  function leave(
    key: string,
    { lived }: { readonly lived: boolean },
  ): void {
    const request = inFlight.get(key);
    if (request === undefined) return;
    inFlight.delete(key);
    const { fingerprint } = request;
    const recorded = host.crashes.getCrashes(fingerprint);
    const suspect = recorded > 0 && recorded < condemnedAfterCrashes;
    if (lived && suspect) host.crashes.clearCrashes(fingerprint);
  }

  function noteCrash(): readonly string[] {
    const crashes = new Map<string, number>();
    inFlight.forEach(({ fingerprint, knownCrashes }) => {
      const before = crashes.get(fingerprint) ?? 0;
      crashes.set(fingerprint, Math.max(before, knownCrashes));
    });
    inFlight.clear();
    crashes.forEach((known, fingerprint) => record(fingerprint, known));
    return [...crashes.keys()];
  }

  /**
   * Adds one crash, and those that only the router knew of: their record may
   * still be on its way, and records that meet keep the larger number.
   */
  function record(fingerprint: string, knownCrashes: number): void {
    const recorded = host.crashes.getCrashes(fingerprint);
    const missing = Math.max(0, knownCrashes - recorded);
    for (let count = 0; count <= missing; count++) {
      host.crashes.recordCrash(fingerprint);
    }
  }
}
