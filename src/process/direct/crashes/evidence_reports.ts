/**
 * Chooses which records of crashes the next digest carries. Changed records go
 * first, those that name the most crashes before others. Conclusive records
 * are repeated in turn, for routers that have just started or that were cut
 * off, so that no message about it has to arrive.
 */

import {
  type CrashEvidence,
  type CrashEvidenceTable,
  isConclusive,
  type StoredEvidence,
  toUpdate,
} from "./crash_evidence.ts";
import { joinVariant, trySplitVariant } from "./crash_keys.ts";

/** Times that differ by less are told as one, in milliseconds. */
const sameTimeMs = 50;

/** Number of digests that carry a change, as some datagrams are lost. */
const sendsPerChange = 2;

/** Maximum number of changed records in one digest. */
const changesPerDigest = 5;

/** Maximum number of repeated records in one digest. */
const repeatsPerDigest = 2;

/** Maximum number of changed records that wait; the oldest is dropped first. */
const maxUnsent = 1_024;

/** Maximum number of keys that are remembered as known to peers. */
const maxSharedKeys = 4_096;

/** The reports of one router. */
export interface EvidenceReports {
  /** Queues a record that has changed. */
  queue(key: string): void;
  /** Records that peers know the key, as one of them has reported it. */
  recordReceived(key: string): void;
  /** Returns true when a peer knows the key, or is about to. */
  isShared(key: string): boolean;
  /**
   * Queues a record that was withdrawn, unless no peer has heard of it before.
   */
  queueWithdrawal(key: string): void;
  hasChanges(): boolean;
  /** Returns the records for the next digest. */
  take(): readonly CrashEvidence[];
}

/** Creates reports about a table, with nothing to report. */
export function createEvidenceReports(
  table: Pick<CrashEvidenceTable, "getAll" | "isEmpty" | "tryGet">,
): EvidenceReports {
  /** Number of digests that are still to carry a record, by key. */
  const unsent = new Map<string, number>();
  /** Keys that were sent to peers or received from them. */
  const shared = new Set<string>();
  let nextRepeat = 0;

  return {
    queue,
    recordReceived: share,
    isShared: (key) => shared.has(key) || unsent.has(key),
    queueWithdrawal,
    hasChanges: () => unsent.size > 0,
    take,
  };

  function queue(key: string): void {
    unsent.delete(key);
    unsent.set(key, sendsPerChange);
    dropOldest(unsent, maxUnsent);
  }

  function queueWithdrawal(key: string): void {
    if (shared.has(key)) queue(key);
    else unsent.delete(key);
  }

  function share(key: string): void {
    shared.delete(key);
    shared.add(key);
    dropOldest(shared, maxSharedKeys);
  }

  function take(): readonly CrashEvidence[] {
    if (table.isEmpty()) return [];
    const changed = joinRecords(
      [...unsent.keys()].flatMap((key) => tryGetUnsent(key) ?? []),
    )
      .sort((left, right) => right.lives.length - left.lives.length)
      .slice(0, changesPerDigest);
    changed.flatMap(getKeys).forEach(countSent);
    return [...changed, ...takeRepeats(changed)]
      .map(({ variant, ...record }) => ({ ...toUpdate(record), variant }));
  }

  function tryGetUnsent(key: string): StoredEvidence | undefined {
    const record = table.tryGet(key);
    if (record === undefined) unsent.delete(key);
    return record;
  }

  function countSent(key: string): void {
    share(key);
    const left = (unsent.get(key) ?? 0) - 1;
    if (left > 0) unsent.set(key, left);
    else unsent.delete(key);
  }

  function takeRepeats(
    changed: readonly JointRecord[],
  ): readonly JointRecord[] {
    const sent = new Set(changed.map(({ key }) => key));
    const conclusive = joinRecords(table.getAll().filter(isConclusive));
    if (conclusive.length === 0) return [];
    const start = nextRepeat % conclusive.length;
    nextRepeat = start + repeatsPerDigest;
    return [...conclusive.slice(start), ...conclusive.slice(0, start)]
      .slice(0, repeatsPerDigest)
      .filter(({ key }) => !sent.has(key));
  }
}

/** A record that may stand for one of its variants too. */
interface JointRecord extends StoredEvidence {
  readonly variant?: number;
}

/** Joins the records of requests and of those variants for which the same holds. */
function joinRecords(
  records: readonly StoredEvidence[],
): JointRecord[] {
  const byKey = new Map<string, JointRecord>(
    records.map((record) => [record.key, record]),
  );
  for (const record of records) {
    const { request, variant } = trySplitVariant(record.key) ?? {};
    const joint = request === undefined ? undefined : byKey.get(request);
    if (joint === undefined || joint.variant !== undefined) continue;
    if (!isSame(joint, record)) continue;
    byKey.delete(record.key);
    byKey.set(joint.key, { ...joint, variant: variant ?? 0 });
  }
  return [...byKey.values()];
}

function isSame(left: StoredEvidence, right: StoredEvidence): boolean {
  return left.generation === right.generation &&
    left.trials === right.trials &&
    Math.abs(left.trialAt - right.trialAt) < sameTimeMs &&
    left.lives.length === right.lives.length &&
    left.lives.every((life, index) => life === right.lives[index]);
}

function getKeys({ key, variant }: JointRecord): readonly string[] {
  return variant === undefined ? [key] : [key, joinVariant(key, variant)];
}

function dropOldest(
  items: Pick<Map<string, unknown>, "delete" | "keys" | "size">,
  maxItems: number,
): void {
  if (items.size <= maxItems) return;
  const [oldest] = items.keys();
  if (oldest !== undefined) items.delete(oldest);
}
