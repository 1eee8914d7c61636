/**
 * Keeps a request that crashes targets from costing more than two of them.
 * What was in flight at a crash is suspect. A suspect runs only while no
 * other suspect runs here, so a second crash names the one request that is
 * then held back until its record expires.
 */

import type { CrashView } from "../../types/view.ts";

/** Crashes after which a request is held back. */
export const quarantineThreshold = 2;

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
  recordStart(key: string, request: CrashCandidate): void;
  /** Tells that the request ended; `lived` when its target answered whole. */
  recordEnd(key: string, options: { readonly targetSurvived: boolean }): void;
  /** Tells that the target crashed; returns what was in flight. */
  handleCrash(): readonly string[];
  getInFlight(): number;
}

/** Creates a quarantine with nothing in flight. */
export function createCrashQuarantine(
  host: CrashQuarantineHost,
): CrashQuarantine {
  const inFlight = new Map<string, CrashCandidate>();

  return {
    check,
    recordStart: (key, request) => {
      inFlight.set(key, request);
    },
    recordEnd,
    handleCrash,
    getInFlight: () => inFlight.size,
  };

  function check(
    fingerprint: string,
    knownCrashes: number,
  ): QuarantineVerdict {
    const recorded = host.crashes.getCrashes(fingerprint);
    const crashes = Math.max(recorded, knownCrashes);
    if (crashes >= quarantineThreshold) return { kind: "condemned", crashes };
    return crashes > 0 ? { kind: "suspect", crashes } : { kind: "clean" };
  }

  function recordEnd(
    key: string,
    { targetSurvived }: { readonly targetSurvived: boolean },
  ): void {
    const request = inFlight.get(key);
    if (request === undefined) return;
    inFlight.delete(key);
    const { fingerprint } = request;
    const recorded = host.crashes.getCrashes(fingerprint);
    const isSuspect = recorded > 0 && recorded < quarantineThreshold;
    if (targetSurvived && isSuspect) host.crashes.clearCrashes(fingerprint);
  }

  function handleCrash(): readonly string[] {
    const crashes = new Map<string, number>();
    inFlight.forEach(({ fingerprint, knownCrashes }) => {
      const previous = crashes.get(fingerprint) ?? 0;
      crashes.set(fingerprint, Math.max(previous, knownCrashes));
    });
    inFlight.clear();
    crashes.forEach((known, fingerprint) => addCrashes(fingerprint, known));
    return [...crashes.keys()];
  }

  /**
   * Adds one crash, and those that only the router knew of: their record may
   * still be on its way, and records that meet keep the larger number.
   */
  function addCrashes(fingerprint: string, knownCrashes: number): void {
    const recorded = host.crashes.getCrashes(fingerprint);
    const missing = Math.max(0, knownCrashes - recorded);
    for (let count = 0; count <= missing; count++) {
      host.crashes.recordCrash(fingerprint);
    }
  }
}
