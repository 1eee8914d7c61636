/**
 * Records at which crashes something was in flight. A record is a set of crashed
 * processes, so that a crash counts once however many routers report it, and
 * records can be merged in any order. A response withdraws a record: it begins
 * the next generation, which replaces the earlier ones at all routers.
 */

/** Number of crashes, with no response between, that show their cause. */
const conclusiveCrashes = 3;

/** Time for which a record is kept after its last change, in milliseconds. */
const evidenceTtlMs = 20 * 60_000;

/** Maximum number of records. */
const maxRecords = 4_096;

/** Maximum number of crashed processes that a record names. */
const maxLives = 8;

/** One record as routers exchange it. */
export interface CrashEvidence {
  /** What was in flight at the crashes. */
  readonly key: string;
  /** Number of times that a response has withdrawn the record. */
  readonly generation: number;
  /** Hashes of the crashed processes, in ascending order. */
  readonly lives: readonly number[];
  /** Number of trials since the last response. */
  readonly trials: number;
  /** Time until the next trial, in milliseconds; 0 before the first is set. */
  readonly trialInMs: number;
  /** Time until the record expires, in milliseconds. */
  readonly expiresInMs: number;
}

/** A record with its times on the monotonic clock, in milliseconds. */
export interface StoredEvidence
  extends Omit<CrashEvidence, "expiresInMs" | "trialInMs"> {
  readonly trialAt: number;
  readonly expiresAt: number;
}

/** What the record of a peer changed, and whether the peer lacks something. */
export interface EvidenceMerge {
  readonly hasChanged: boolean;
  readonly isPeerBehind: boolean;
}

/** A bounded table of records that expire. */
export interface CrashEvidenceTable {
  /** Returns true without any record. */
  isEmpty(): boolean;
  tryGet(key: string): StoredEvidence | undefined;
  /** Adds a crashed process; returns false when it is known. */
  addLife(key: string, life: number): boolean;
  /** Sets the time of the next trial, and counts one that starts now. */
  setTrial(
    key: string,
    trial: { readonly trialAt: number; readonly startsNow: boolean },
  ): void;
  /** Withdraws a record; returns false when there is none. */
  clear(key: string): boolean;
  /** Merges the record of a peer. */
  merge(record: CrashEvidence): EvidenceMerge;
  /** Returns the unexpired records, withdrawn ones included. */
  getAll(): readonly StoredEvidence[];
}

/** Creates an empty table. */
export function createCrashEvidenceTable(): CrashEvidenceTable {
  const records = new Map<string, StoredEvidence>();

  return {
    isEmpty: () => records.size === 0,
    tryGet,
    addLife,
    setTrial,
    clear,
    merge,
    getAll: () => [...records.keys()].flatMap((key) => tryGet(key) ?? []),
  };

  function tryGet(key: string): StoredEvidence | undefined {
    const record = records.get(key);
    if (record === undefined) return undefined;
    if (record.expiresAt > performance.now()) return record;
    records.delete(key);
    return undefined;
  }

  function addLife(key: string, life: number): boolean {
    const { generation = 0, lives = [], trials = 0, trialAt = 0 } =
      tryGet(key) ?? {};
    const united = uniteLives(lives, [life]);
    if (!hasMore(united, lives)) return false;
    put({ key, generation, lives: united, trials, trialAt });
    return true;
  }

  function setTrial(
    key: string,
    { trialAt, startsNow }: {
      readonly trialAt: number;
      readonly startsNow: boolean;
    },
  ): void {
    const record = tryGet(key);
    if (record === undefined) return;
    put({ ...record, trialAt, trials: record.trials + (startsNow ? 1 : 0) });
  }

  function clear(key: string): boolean {
    const record = tryGet(key);
    if (record === undefined || record.lives.length === 0) return false;
    const generation = record.generation + 1;
    put({ key, generation, lives: [], trials: 0, trialAt: 0 });
    return true;
  }

  function merge(update: CrashEvidence): EvidenceMerge {
    const known = tryGet(update.key);
    const knownGeneration = known?.generation ?? 0;
    if (update.generation < knownGeneration) {
      return { hasChanged: false, isPeerBehind: true };
    }
    if (known === undefined || update.generation > knownGeneration) {
      if (update.expiresInMs <= 0) return unchanged;
      putUpdate(update, getTrialAt(update));
      return { hasChanged: true, isPeerBehind: false };
    }
    const { lives, trials } = known;
    const united = uniteLives(lives, update.lives);
    const hasChanged = hasMore(united, lives) || update.trials > trials;
    if (hasChanged) {
      const isAhead = update.trials > trials || known.trialAt === 0;
      putUpdate(
        { ...update, lives: united, trials: Math.max(trials, update.trials) },
        isAhead ? getTrialAt(update) : known.trialAt,
      );
    }
    return {
      hasChanged,
      isPeerBehind: hasMore(united, update.lives) || trials > update.trials,
    };
  }

  function putUpdate(
    { key, generation, lives, trials, expiresInMs }: CrashEvidence,
    trialAt: number,
  ): void {
    put(
      { key, generation, lives: lives.slice(0, maxLives), trials, trialAt },
      { ttlMs: Math.min(evidenceTtlMs, expiresInMs) },
    );
  }

  function put(
    record: Omit<StoredEvidence, "expiresAt">,
    { ttlMs = evidenceTtlMs }: { readonly ttlMs?: number } = {},
  ): void {
    const { key } = record;
    records.delete(key);
    records.set(key, { ...record, expiresAt: performance.now() + ttlMs });
    if (records.size > maxRecords) dropOldest();
  }

  /** Drops the oldest record, a conclusive one only without others. */
  function dropOldest(): void {
    const [oldest] = records.values();
    const dropped =
      [...records.values()].find((record) => !isConclusive(record)) ?? oldest;
    if (dropped !== undefined) records.delete(dropped.key);
  }
}

/** The result of a merge that was no news to either side. */
const unchanged: EvidenceMerge = { hasChanged: false, isPeerBehind: false };

/** Returns true when a record names enough crashes for a quarantine. */
export function isConclusive(
  { lives }: Pick<CrashEvidence, "lives">,
): boolean {
  return lives.length >= conclusiveCrashes;
}

function getTrialAt({ trialInMs }: CrashEvidence): number {
  return trialInMs === 0 ? 0 : performance.now() + trialInMs;
}

/** Converts a record to the form in which routers exchange it. */
export function toUpdate(
  { trialAt, expiresAt, ...record }: StoredEvidence,
): CrashEvidence {
  const now = performance.now();
  return {
    ...record,
    trialInMs: trialAt === 0 ? 0 : Math.max(1, Math.round(trialAt - now)),
    expiresInMs: Math.max(0, Math.round(expiresAt - now)),
  };
}

function hasMore(left: readonly number[], right: readonly number[]): boolean {
  return left.some((life) => !right.includes(life));
}

/** Returns the lowest hashes of both, so that the order of merges is no matter. */
function uniteLives(
  left: readonly number[],
  right: readonly number[],
): readonly number[] {
  return [...new Set([...left, ...right])]
    .sort((first, second) => first - second)
    .slice(0, maxLives);
}
