/**
 * Stops the retries of a request that crashes the targets that run it.
 *
 * Load pattern: such a request comes again and again, at any router, as its
 * caller gets no answer. Each retry takes another target from the callers of the
 * service for seconds. Routers therefore share which requests lost the connection
 * to their targets. Requests are told apart by caller, path and body, and those that
 * share these also by their prompts. A response withdraws the records of its
 * request, so that one that is sent often is not taken for the cause of other
 * crashes.
 */

import type { Log } from "../../telemetry/log.ts";
import {
  type CrashRecordUpdate,
  createCrashRecords,
} from "../../attempts/crash_records.ts";
import {
  type CrashCandidate,
  getFingerprints,
  joinVariant,
  trySplitVariant,
} from "./crash_keys.ts";

/** Number of lost targets after which a request is not retried. */
const maxCrashes = 3;

/** Requests that may crash targets. */
export interface CrashSuspects {
  /**
   * Records that a target was lost while it may have run the request; returns how
   * many such losses are known, at any router.
   */
  recordCrash(request: CrashCandidate): number;
  /** As `recordCrash`, for the request with these fingerprints. */
  recordLoss(fingerprints: readonly string[]): number;
  /** Returns true when a loss of the request with the fingerprints is known. */
  hasLosses(fingerprints: readonly string[]): boolean;
  /** Records that a target responded to the request. */
  recordResponse(request: CrashCandidate): void;
  /** Returns false for a request that is not to be sent to another target. */
  canRetry(request: CrashCandidate): boolean;
  /** Applies the record of a peer. */
  merge(record: CrashRecordUpdate): void;
}

/** Creates a record without suspects. */
export function createCrashSuspects(
  host: {
    readonly log: Log;
    /** Reports a changed record to the peers. */
    report(record: CrashRecordUpdate): void;
    /** Called when a target has responded to a suspect at another router. */
    handlePeerResponse(fingerprint: string): void;
  },
): CrashSuspects {
  const records = createCrashRecords();
  let hasRecords = false;

  return {
    recordCrash: (request) => recordLoss(getFingerprints(request)),
    recordLoss,
    hasLosses: (fingerprints) => hasRecords && getLosses(fingerprints) > 0,
    recordResponse,
    canRetry: (request) =>
      !hasRecords || getLosses(getFingerprints(request)) < maxCrashes,
    merge,
  };

  function getLosses(fingerprints: readonly string[]): number {
    return Math.max(0, ...fingerprints.map(records.getCrashes));
  }

  function merge({ variant, ...record }: CrashRecordUpdate): void {
    mergeOne(record);
    if (variant === undefined) return;
    const fingerprint = joinVariant(record.fingerprint, variant);
    mergeOne({ ...record, fingerprint });
  }

  function mergeOne(record: CrashRecordUpdate): void {
    const previous = records.getCrashes(record.fingerprint);
    if (records.merge(record)) {
      hasRecords = true;
      if (record.crashes === 0) host.handlePeerResponse(record.fingerprint);
      return logSuspect(record, { previous, source: "peer" });
    }
    // A peer that has just started does not know the crashes before.
    const known = records.tryGet(record.fingerprint);
    if (known !== undefined && isLower(record, known)) host.report(known);
  }

  function recordLoss(fingerprints: readonly string[]): number {
    hasRecords = true;
    const changed = fingerprints.map((fingerprint) => {
      const previous = records.getCrashes(fingerprint);
      const record = records.recordCrash(fingerprint);
      logSuspect(record, { previous, source: "own" });
      return record;
    });
    joinRecords(changed).forEach(host.report);
    return getLosses(fingerprints);
  }

  function logSuspect(
    { fingerprint, crashes }: CrashRecordUpdate,
    { previous, source }: {
      readonly previous: number;
      readonly source: "own" | "peer";
    },
  ): void {
    if (crashes < maxCrashes || previous >= maxCrashes) return;
    host.log.warn("Request that may crash its targets is not retried", {
      ...{ fingerprint, crashes, source },
    });
  }

  function recordResponse(request: CrashCandidate): void {
    if (!hasRecords) return;
    const cleared = getFingerprints(request).flatMap((fingerprint) =>
      records.clear(fingerprint) ?? []
    );
    joinRecords(cleared).forEach(host.report);
  }
}

/** Joins the records of a request and its variant if the same holds for both. */
function joinRecords(
  records: readonly CrashRecordUpdate[],
): readonly CrashRecordUpdate[] {
  const [record, other] = records;
  if (record === undefined || other === undefined) return records;
  const { request, variant } = trySplitVariant(other.fingerprint) ?? {};
  const isSame = request === record.fingerprint &&
    other.crashes === record.crashes &&
    other.expiresAtMs === record.expiresAtMs;
  return isSame ? [{ ...record, variant }] : records;
}

function isLower(record: CrashRecordUpdate, known: CrashRecordUpdate): boolean {
  return record.crashes > 0 && record.crashes < known.crashes;
}
