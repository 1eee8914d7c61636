/**
 * Chooses which limits of targets the next digest carries.
 *
 * Load pattern: in a fleet of hundreds of routers, each has a small part of the
 * traffic of a target and hears of its limit late. The first that hears of a
 * change reports it. A limit that lasts is repeated now and then by one of those
 * that the target still names it to, whatever their number.
 */

import type { LimitRecord, LimitRecords } from "./limit_records.ts";

/** Number of digests that carry a change, as some datagrams are lost. */
const sendsPerReport = 2;

/** Maximum number of limits in one digest. */
export const maxLimitsPerDigest = 6;

/** Time after which a limit that lasts is reported again, in milliseconds. */
const repeatIntervalMs = 5_000;

/** Maximum number of limits that wait; the oldest is dropped first. */
const maxUnsent = 1_024;

/** The reports of one router. */
export interface LimitReports {
  /** Reports a record that this router has made, if peers need it. */
  offer(record: LimitRecord, previousPerS: number | undefined): void;
  /** Records that peers know of the target's limit now. */
  recordReceived(target: string): void;
  hasChanges(): boolean;
  /** Returns the records for the next digest. */
  take(): readonly LimitRecord[];
  /** Returns limits in force for a router that starts. */
  getForStart(): readonly LimitRecord[];
  /** Forgets the targets that are gone. */
  retain(isKnown: (target: string) => boolean): void;
}

/** Creates reports with nothing to report. */
export function createLimitReports(
  records: Pick<LimitRecords, "getAll" | "tryGet">,
): LimitReports {
  /** Number of digests that are still to carry a limit, by target. */
  const unsent = new Map<string, number>();
  /** When peers last knew of a limit, on the monotonic clock, by target. */
  const sharedTimes = new Map<string, number>();

  return {
    offer,
    recordReceived,
    hasChanges: () => unsent.size > 0,
    take,
    getForStart: () => records.getAll().slice(-maxLimitsPerDigest),
    retain,
  };

  function offer(
    { target, perS, at }: LimitRecord,
    previousPerS: number | undefined,
  ): void {
    const sharedAt = sharedTimes.get(target) ?? Number.NEGATIVE_INFINITY;
    if (perS === previousPerS && at - sharedAt < repeatIntervalMs) return;
    sharedTimes.set(target, at);
    unsent.set(target, sendsPerReport);
    const [oldest] = unsent.keys();
    if (unsent.size > maxUnsent && oldest !== undefined) unsent.delete(oldest);
  }

  function recordReceived(target: string): void {
    sharedTimes.set(target, performance.now());
    unsent.delete(target);
  }

  function take(): readonly LimitRecord[] {
    const targets = [...unsent.keys()].slice(0, maxLimitsPerDigest);
    return targets.flatMap((target) => {
      const sendsLeft = (unsent.get(target) ?? 0) - 1;
      unsent.delete(target);
      if (sendsLeft > 0) unsent.set(target, sendsLeft);
      return records.tryGet(target) ?? [];
    });
  }

  function retain(isKnown: (target: string) => boolean): void {
    for (const target of sharedTimes.keys()) {
      if (isKnown(target)) continue;
      sharedTimes.delete(target);
      unsent.delete(target);
    }
  }
}
