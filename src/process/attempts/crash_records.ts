/** Records which requests were in flight when targets crashed. */

import { createRankedMap } from "./ranked_map.ts";

/** Time for which a record is kept after its last crash, in milliseconds. */
export const crashRecordTtlMs = 10 * 60_000;

/** Maximum number of records; those with the fewest crashes are dropped first. */
const maxRecords = 4_096;

/** Maximum number of crashes that a record counts. */
const maxCrashes = 255;

/** One record as members exchange it. */
export interface CrashRecordUpdate {
  readonly fingerprint: string;
  /** Number of crashes; 0 withdraws the record. */
  readonly crashes: number;
  readonly expiresAtMs: number;
  /** Variant of the request for which the same holds; undefined for none. */
  readonly variant?: number | undefined;
}

/** A bounded table of crash records that expire. */
export interface CrashRecords {
  getCrashes(fingerprint: string): number;
  /** Returns the record of a request, withdrawn or not. */
  tryGet(fingerprint: string): CrashRecordUpdate | undefined;
  /** Adds one crash; returns the record to propagate. */
  recordCrash(fingerprint: string): CrashRecordUpdate;
  /** Withdraws a record; returns the update to propagate, if any. */
  clear(fingerprint: string): CrashRecordUpdate | undefined;
  /** Merges a record of another member; true when it changed the table. */
  merge(record: CrashRecordUpdate): boolean;
  getAll(): readonly CrashRecordUpdate[];
}

/** Creates an empty table. */
export function createCrashRecords(): CrashRecords {
  const records = createRankedMap<CrashRecordUpdate>({ maxItems: maxRecords });

  return {
    getCrashes,
    tryGet: tryGetUnexpired,
    recordCrash,
    clear,
    merge,
    getAll,
  };

  function getCrashes(fingerprint: string): number {
    return tryGetUnexpired(fingerprint)?.crashes ?? 0;
  }

  function recordCrash(fingerprint: string): CrashRecordUpdate {
    const crashes = Math.min(maxCrashes, getCrashes(fingerprint) + 1);
    return put({ fingerprint, crashes, expiresAtMs: getNextExpiry() });
  }

  /** Returns the expiry of a new record, which also orders the updates. */
  function getNextExpiry(): number {
    return Date.now() + crashRecordTtlMs;
  }

  function clear(fingerprint: string): CrashRecordUpdate | undefined {
    const existing = tryGetUnexpired(fingerprint);
    if (existing === undefined || existing.crashes === 0) return undefined;
    const expiresAtMs = Math.max(getNextExpiry(), existing.expiresAtMs + 1);
    return put({ fingerprint, crashes: 0, expiresAtMs });
  }

  function merge(record: CrashRecordUpdate): boolean {
    const maxExpiresAtMs = Date.now() + crashRecordTtlMs * 2;
    if (record.expiresAtMs <= Date.now()) return false;
    if (record.expiresAtMs > maxExpiresAtMs) return false;
    const existing = tryGetUnexpired(record.fingerprint);
    if (existing !== undefined && !supersedes(record, existing)) return false;
    put(record);
    return true;
  }

  function put(record: CrashRecordUpdate): CrashRecordUpdate {
    records.set(record.fingerprint, record, record.crashes);
    return record;
  }

  function tryGetUnexpired(fingerprint: string): CrashRecordUpdate | undefined {
    const existing = records.get(fingerprint);
    if (existing === undefined) return undefined;
    if (existing.expiresAtMs > Date.now()) return existing;
    records.delete(fingerprint);
    return undefined;
  }

  function getAll(): readonly CrashRecordUpdate[] {
    return records.keys().flatMap((key) => tryGetUnexpired(key) ?? []);
  }
}

/**
 * Returns true when the left record replaces the right one. The higher count
 * wins; a withdrawal wins over crashes recorded before it and loses to those
 * recorded after it.
 */
function supersedes(
  left: CrashRecordUpdate,
  right: CrashRecordUpdate,
): boolean {
  if (left.crashes === 0 || right.crashes === 0) {
    return left.expiresAtMs > right.expiresAtMs;
  }
  return left.crashes > right.crashes;
}
