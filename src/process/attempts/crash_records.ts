/** Holds which requests were in flight when targets crashed. */

/** Time a record is kept after its last crash. */
export const crashMemoryMs = 10 * 60_000;

/** Largest number of records. */
const maxRecords = 4_096;

/** Most crashes that a record counts. */
const maxCrashes = 255;

/** One record as it travels. */
export interface CrashRecordNews {
  readonly fingerprint: string;
  /** Crashes seen; 0 withdraws the record. */
  readonly crashes: number;
  readonly expiresAtMs: number;
}

/** A bounded table of crash records that expire. */
export interface CrashRecords {
  getCrashes(fingerprint: string): number;
  /** Adds one crash; returns the record to pass on. */
  recordCrash(fingerprint: string): CrashRecordNews;
  /** Withdraws a record; returns the news to pass on. */
  clear(fingerprint: string): CrashRecordNews | undefined;
  /** Takes a record from another member; true when it was new. */
  merge(record: CrashRecordNews): boolean;
  getAll(): readonly CrashRecordNews[];
}

/** Creates an empty table. */
export function createCrashRecords(): CrashRecords {
  const records = new Map<string, CrashRecordNews>();

  return { getCrashes, recordCrash, clear, merge, getAll };

  function getCrashes(fingerprint: string): number {
    return tryGetFresh(fingerprint)?.crashes ?? 0;
  }

  function recordCrash(fingerprint: string): CrashRecordNews {
    const crashes = Math.min(maxCrashes, getCrashes(fingerprint) + 1);
    return put({ fingerprint, crashes, expiresAtMs: getNextExpiry() });
  }

  /** The expiry orders records: a later one replaces an earlier one. */
  function getNextExpiry(): number {
    return Date.now() + crashMemoryMs;
  }

  function clear(fingerprint: string): CrashRecordNews | undefined {
    const held = tryGetFresh(fingerprint);
    if (held === undefined || held.crashes === 0) return undefined;
    const expiresAtMs = Math.max(getNextExpiry(), held.expiresAtMs + 1);
    return put({ fingerprint, crashes: 0, expiresAtMs });
  }

  function merge(record: CrashRecordNews): boolean {
    const latest = Date.now() + crashMemoryMs * 2;
    if (record.expiresAtMs <= Date.now()) return false;
    if (record.expiresAtMs > latest) return false;
    const held = tryGetFresh(record.fingerprint);
    if (held !== undefined && !isNewer(record, held)) return false;
    put(record);
    return true;
  }

  function put(record: CrashRecordNews): CrashRecordNews {
    records.delete(record.fingerprint);
    if (records.size >= maxRecords) dropOldest();
    records.set(record.fingerprint, record);
    return record;
  }

  function dropOldest(): void {
    const [oldest] = records.keys();
    if (oldest !== undefined) records.delete(oldest);
  }

  function tryGetFresh(fingerprint: string): CrashRecordNews | undefined {
    const held = records.get(fingerprint);
    if (held === undefined) return undefined;
    if (held.expiresAtMs > Date.now()) return held;
    records.delete(fingerprint);
    return undefined;
  }

  function getAll(): readonly CrashRecordNews[] {
    return [...records.keys()].flatMap((key) => tryGetFresh(key) ?? []);
  }
}

/**
 * More crashes win; a withdrawal wins over crashes recorded before it and
 * loses to those recorded after it.
 */
function isNewer(left: CrashRecordNews, right: CrashRecordNews): boolean {
  if (left.crashes === 0 || right.crashes === 0) {
    return left.expiresAtMs > right.expiresAtMs;
  }
  return left.crashes > right.crashes;
}
