/**
 * Chooses which paces the next digest carries.
 *
 * Load pattern: in a fleet of hundreds of routers, many see the same target, and
 * some digests are lost. The router that changes a bound reports it at once.
 * Records of running paces, and those that a peer has not got, are repeated with
 * ordinary digests, by those that have not heard them repeated lately.
 */

import type { PaceRecord } from "./pace_steps.ts";

/** Number of digests that carry a change, as some datagrams are lost. */
const sendsPerReport = 2;

/** Maximum number of paces in one digest. */
export const maxPacesPerDigest = 6;

/** Minimum interval at which a record is repeated, in milliseconds. */
const repeatIntervalMs = 1_000;

/** The reports of one router. */
export interface PaceReports {
  /** Reports a change that this router has made. */
  offer(id: string): void;
  /** Repeats a record that a peer has not got, with the next digest. */
  repeat(id: string): void;
  /** Records that peers know the record. */
  recordReceived(id: string): void;
  /** Returns true while a change waits to be sent. */
  hasChanges(): boolean;
  /** Returns the records for the next digest. */
  take(): readonly PaceRecord[];
  forget(id: string): void;
}

/** Creates reports with nothing to report. */
export function createPaceReports(
  host: {
    getRecord(id: string): PaceRecord | undefined;
    /** Returns the ids of the targets whose pace is running. */
    getRunning(): readonly string[];
  },
): PaceReports {
  /** Number of digests that are still to carry a change, by target id. */
  const changes = new Map<string, number>();
  const repeats = new Set<string>();
  /** When a record was last sent or received, on the monotonic clock. */
  const sharedTimes = new Map<string, number>();

  return {
    offer: (id) => void changes.set(id, sendsPerReport),
    repeat,
    recordReceived,
    hasChanges: () => changes.size > 0,
    take,
    forget,
  };

  function repeat(id: string): void {
    const sharedAt = sharedTimes.get(id) ?? Number.NEGATIVE_INFINITY;
    if (performance.now() - sharedAt >= repeatIntervalMs) repeats.add(id);
  }

  function recordReceived(id: string): void {
    sharedTimes.set(id, performance.now());
    changes.delete(id);
    repeats.delete(id);
  }

  function take(): readonly PaceRecord[] {
    host.getRunning().forEach(repeat);
    const ids = [...new Set([...changes.keys(), ...repeats])]
      .slice(0, maxPacesPerDigest);
    return ids.flatMap((id) => {
      const sendsLeft = (changes.get(id) ?? 0) - 1;
      changes.delete(id);
      repeats.delete(id);
      if (sendsLeft > 0) changes.set(id, sendsLeft);
      sharedTimes.set(id, performance.now());
      return host.getRecord(id) ?? [];
    });
  }

  function forget(id: string): void {
    changes.delete(id);
    repeats.delete(id);
    sharedTimes.delete(id);
  }
}
