/**
 * Chooses the records of crashes that are saved in the store.
 *
 * Load pattern: a herd of crashes names thousands of sound requests, many of them
 * twice. What crashes targets by itself is seldom beside more than a few others.
 */

import { isConclusive, type StoredEvidence } from "./crash_evidence.ts";

/**
 * Time since its last crash for which a record that is not conclusive is saved, in
 * milliseconds. What crashes targets comes again within seconds.
 */
const suspectTtlMs = 60_000;

/** Records of two crashes within `herdMs` from which a herd is their cause. */
const herdRecords = 32;
const herdMs = 2_000;

/** Maximum number of suspects; the oldest is dropped first. */
const maxSuspects = 256;

/** Returns true for a record that is worth an entry now. */
export function isWorthSaving(
  record: Pick<StoredEvidence, "crashedAt" | "lives">,
): boolean {
  return isConclusive(record) ||
    (record.lives.length > 0 && getAgeMs(record) < suspectTtlMs);
}

/** What one router may save. */
export interface EvidenceChoice {
  /** Records that a router has lost a second target with a key, seen here. */
  addSuspect(key: string): void;
  /**
   * Returns the records that the router may save: conclusive ones, then those of
   * its suspects with the most crashes first, but none while a herd brings more.
   */
  choose(records: readonly StoredEvidence[]): readonly StoredEvidence[];
}

/** Creates the choice of a router without suspects. */
export function createEvidenceChoice(): EvidenceChoice {
  /** In the order of their latest crashes. */
  const suspects = new Set<string>();

  return { addSuspect, choose };

  function addSuspect(key: string): void {
    suspects.delete(key);
    suspects.add(key);
    const [oldest] = suspects;
    if (suspects.size > maxSuspects && oldest !== undefined) {
      suspects.delete(oldest);
    }
  }

  function choose(
    records: readonly StoredEvidence[],
  ): readonly StoredEvidence[] {
    const conclusive = records.filter(isConclusive);
    const recent = records.filter((record) =>
      record.lives.length > 1 && !isConclusive(record) &&
      getAgeMs(record) < herdMs
    );
    if (recent.length > herdRecords) return conclusive;
    const chosen = records.filter((record) =>
      !isConclusive(record) && suspects.has(record.key) &&
      isWorthSaving(record)
    );
    chosen.sort((left, right) =>
      right.lives.length - left.lives.length ||
      right.crashedAt - left.crashedAt
    );
    return [...conclusive, ...chosen];
  }
}

function getAgeMs({ crashedAt }: Pick<StoredEvidence, "crashedAt">): number {
  return performance.now() - crashedAt;
}
