/**
 * Keeps a request that crashes targets from costing more than two of them.
 * What was in flight at a crash is suspect. A suspect runs only while no
 * other suspect runs here, so a second crash names the one request that is
 * then held back until its record expires.
 */

import type { CrashView } from "../types/view.ts";

/** Crashes after which a request is held back. */
export const condemnedAfterCrashes = 2;

/** What the quarantine says of a request. */
export type QuarantineVerdict =
  | { readonly kind: "clean" }
  | { readonly kind: "suspect"; readonly crashes: number }
  | { readonly kind: "condemned"; readonly crashes: number };

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
  enter(key: string, fingerprint: string): void;
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
  const inFlight = new Map<string, string>();

  return {
    check,
    enter: (key, fingerprint) => {
      inFlight.set(key, fingerprint);
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
    const fingerprint = inFlight.get(key);
    if (fingerprint === undefined) return;
    inFlight.delete(key);
    const recorded = host.crashes.getCrashes(fingerprint);
    const suspect = recorded > 0 && recorded < condemnedAfterCrashes;
    if (lived && suspect) host.crashes.clearCrashes(fingerprint);
  }

  function noteCrash(): readonly string[] {
    const fingerprints = [...new Set(inFlight.values())];
    inFlight.clear();
    fingerprints.forEach((fingerprint) => {
      host.crashes.recordCrash(fingerprint);
    });
    return fingerprints;
  }
}
