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
  /** Records that peers know of the limit at an address now. */
  recordReceived(address: string): void;
  hasChanges(): boolean;
  /** Returns the records for the next digest. */
  take(): readonly LimitRecord[];
  /** Returns limits in force for a router that starts. */
  getForStart(): readonly LimitRecord[];
  /** Forgets the targets that are gone. */
  retain(isKnown: (address: string) => boolean): void;
}

/** Creates reports with nothing to report. */
export function createLimitReports(
  records: Pick<LimitRecords, "getAll" | "tryGet">,
): LimitReports {
  /** Number of digests that are still to carry a limit, by address. */
  const unsent = new Map<string, number>();
  /** When peers last knew of a limit, on the monotonic clock, by address. */
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
    { address, perS, at }: LimitRecord,
    previousPerS: number | undefined,
  ): void {
    const sharedAt = sharedTimes.get(address) ?? Number.NEGATIVE_INFINITY;
    if (perS === previousPerS && at - sharedAt < repeatIntervalMs) return;
    sharedTimes.set(address, at);
    unsent.set(address, sendsPerReport);
    const [oldest] = unsent.keys();
    if (unsent.size > maxUnsent && oldest !== undefined) unsent.delete(oldest);
  }

  function recordReceived(address: string): void {
    sharedTimes.set(address, performance.now());
    unsent.delete(address);
  }

  function take(): readonly LimitRecord[] {
    const addresses = [...unsent.keys()].slice(0, maxLimitsPerDigest);
    return addresses.flatMap((address) => {
      const sendsLeft = (unsent.get(address) ?? 0) - 1;
      unsent.delete(address);
      if (sendsLeft > 0) unsent.set(address, sendsLeft);
      return records.tryGet(address) ?? [];
    });
  }

  function retain(isKnown: (address: string) => boolean): void {
    for (const address of sharedTimes.keys()) {
      if (isKnown(address)) continue;
      sharedTimes.delete(address);
      unsent.delete(address);
    }
  }
}
