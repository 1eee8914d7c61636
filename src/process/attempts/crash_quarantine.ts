/**
 * Limits a request that crashes targets to two crashes. Requests in flight at
 * a crash become suspects. A suspect runs only while no other suspect runs at
 * this agent, so a second crash identifies the one request at fault. It is
 * quarantined until its record expires.
 */

import type { CrashView } from "../../types/view.ts";

/** Number of crashes after which a request is quarantined. */
export const quarantineThreshold = 2;

/** Verdict on a request; a quarantined one is not run again. */
export type QuarantineVerdict =
  | { readonly kind: "clean" }
  | { readonly kind: "suspect"; readonly crashes: number }
  | { readonly kind: "quarantined"; readonly crashes: number };

/** A request in flight, which may crash its target. */
export interface CrashCandidate {
  readonly fingerprint: string;
  /** Number of crashes that the router knows of. */
  readonly knownCrashes: number;
}

/** What the quarantine needs from its agent. */
export interface CrashQuarantineHost {
  /** Crash records that all agents share. */
  readonly crashes: CrashView;
}

/** Quarantine of one agent. */
export interface CrashQuarantine {
  /** Classifies a request by the shared records and its router's knowledge. */
  check(fingerprint: string, knownCrashes: number): QuarantineVerdict;
  /** Records that a request is sent to the target. */
  recordStart(key: string, request: CrashCandidate): void;
  /**
   * Records that a request has ended; `targetSurvived` when the target gave a
   * complete response.
   */
  recordEnd(key: string, options: { readonly targetSurvived: boolean }): void;
  /** Records a crash of the target; returns the fingerprints in flight. */
  handleCrash(): readonly string[];
  getInFlight(): number;
}

/** Creates a quarantine without requests in flight. */
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
    if (crashes >= quarantineThreshold) return { kind: "quarantined", crashes };
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
   * Records one crash, and those that only the router knew of: their record
   * may not have arrived yet, and merged records keep the larger number.
   */
  function addCrashes(fingerprint: string, knownCrashes: number): void {
    const recorded = host.crashes.getCrashes(fingerprint);
    const missing = Math.max(0, knownCrashes - recorded);
    for (let count = 0; count <= missing; count++) {
      host.crashes.recordCrash(fingerprint);
    }
  }
}
