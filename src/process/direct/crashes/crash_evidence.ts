/**
 * Records at which crashes something was in flight. A record is a chain of crashed
 * processes: each was sent the key after the crash before it was known, so crashes
 * with a common cause, such as a loss of power, count as one. Requests that run at
 * several targets at once also count where these crash one after another. Parts of
 * prompts are at all targets all the time and don't. Of concurrent chains
 * the longest is kept, so that records can be merged in any order. A response
 * withdraws a record: it begins the next generation, which replaces the earlier
 * ones at all routers.
 */

import { createRankedMap } from "../../attempts/ranked_map.ts";

/** Number of crashes, with no response between, that show their cause. */
const conclusiveCrashes = 3;

/**
 * Time between two crashes from which they are not taken for one loss of power, in
 * milliseconds.
 */
const separateCrashMs = 1_000;

/** Time for which a record is kept after its last change, in milliseconds. */
const evidenceTtlMs = 20 * 60_000;

/** Maximum number of records; those with the fewest crashes are dropped first. */
const maxRecords = 4_096;

/** Maximum number of crashed processes that a record names. */
const maxLives = 8;

/** One record as routers exchange it. */
export interface CrashEvidence {
  /** What was in flight at the crashes. */
  readonly key: string;
  /** Number of times that a response has withdrawn the record. */
  readonly generation: number;
  /** Hashes of the crashed processes, in the order of their crashes. */
  readonly lives: readonly number[];
  /** Number of trials since the last response. */
  readonly trials: number;
  /** Time until the next trial, in milliseconds; 0 before the first is set. */
  readonly trialInMs: number;
  /** Time until the record expires, in milliseconds. */
  readonly expiresInMs: number;
  /** Variant of the request for which the same holds; undefined for none. */
  readonly variant?: number | undefined;
}

/** A record with its times on the monotonic clock, in milliseconds. */
export interface StoredEvidence
  extends Omit<CrashEvidence, "expiresInMs" | "trialInMs"> {
  readonly trialAt: number;
  readonly expiresAt: number;
  /** When the latest crash of the chain was known here. */
  readonly crashedAt: number;
  /** When the latest trial was known here. */
  readonly triedAt: number;
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
  /**
   * Adds a crashed process to which the key was sent at `sentAt`; returns false
   * when it is known or does not follow the crashes that are. A key that may
   * overlap also follows a crash that was known some time ago.
   */
  addLife(
    key: string,
    life: number,
    options: { readonly sentAt: number; readonly mayOverlap?: boolean },
  ): boolean;
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
  const records = createRankedMap<StoredEvidence>({ maxItems: maxRecords });

  return {
    isEmpty: () => records.getSize() === 0,
    tryGet,
    addLife,
    setTrial,
    clear,
    merge,
    getAll: () => records.keys().flatMap((key) => tryGet(key) ?? []),
  };

  function tryGet(key: string): StoredEvidence | undefined {
    const record = records.get(key);
    if (record === undefined) return undefined;
    if (record.expiresAt > performance.now()) return record;
    records.delete(key);
    return undefined;
  }

  function addLife(
    key: string,
    life: number,
    { sentAt, mayOverlap = false }: Parameters<
      CrashEvidenceTable["addLife"]
    >[2],
  ): boolean {
    const { generation, lives, trials, trialAt, crashedAt, triedAt } =
      tryGet(key) ?? emptyRecord;
    if (lives.includes(life) || lives.length >= maxLives) return false;
    const isSeparate = mayOverlap &&
      performance.now() >= crashedAt + separateCrashMs;
    if (sentAt < crashedAt && !isSeparate) return false;
    put({
      ...{ key, generation, trials, trialAt },
      ...{ lives: [...lives, life], crashedAt: performance.now(), triedAt },
    });
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
    put({
      ...{ ...record, trialAt },
      ...(startsNow
        ? { trials: record.trials + 1, triedAt: performance.now() }
        : {}),
    });
  }

  function clear(key: string): boolean {
    const record = tryGet(key);
    if (record === undefined || record.lives.length === 0) return false;
    const generation = record.generation + 1;
    put({ ...emptyRecord, key, generation });
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
    const isLonger = compareChains(update.lives, known.lives) > 0;
    const hasChanged = isLonger || update.trials > known.trials;
    if (hasChanged) {
      const isAhead = update.trials > known.trials || known.trialAt === 0;
      putUpdate(
        {
          ...update,
          lives: isLonger ? update.lives : known.lives,
          trials: Math.max(known.trials, update.trials),
        },
        isAhead ? getTrialAt(update) : known.trialAt,
      );
    }
    return {
      hasChanged,
      isPeerBehind: compareChains(known.lives, update.lives) > 0 ||
        known.trials > update.trials,
    };
  }

  function putUpdate(
    { key, generation, lives, trials, expiresInMs }: CrashEvidence,
    trialAt: number,
  ): void {
    put({
      ...{ key, generation, trials, trialAt },
      lives: lives.slice(0, maxLives),
      crashedAt: performance.now(),
      triedAt: trials > 0 ? performance.now() : emptyRecord.triedAt,
    }, { ttlMs: Math.min(evidenceTtlMs, expiresInMs) });
  }

  function put(
    record: Omit<StoredEvidence, "expiresAt">,
    { ttlMs = evidenceTtlMs }: { readonly ttlMs?: number } = {},
  ): void {
    const { key } = record;
    const expiresAt = performance.now() + ttlMs;
    records.set(key, { ...record, expiresAt }, record.lives.length);
  }
}

/** A record without a crash. */
const emptyRecord: Omit<StoredEvidence, "expiresAt" | "key"> = {
  ...{ generation: 0, lives: [], trials: 0 },
  ...{ trialAt: 0, crashedAt: 0, triedAt: Number.NEGATIVE_INFINITY },
};

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
  { key, generation, lives, trials, trialAt, expiresAt }: StoredEvidence,
): CrashEvidence {
  const now = performance.now();
  return {
    ...{ key, generation, lives, trials },
    trialInMs: trialAt === 0 ? 0 : Math.max(1, Math.round(trialAt - now)),
    expiresInMs: Math.max(0, Math.round(expiresAt - now)),
  };
}

/** Compares by length; an arbitrary order decides between equal lengths. */
function compareChains(
  left: readonly number[],
  right: readonly number[],
): number {
  if (left.length !== right.length) return left.length - right.length;
  const index = left.findIndex((life, position) => life !== right[position]);
  return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}
