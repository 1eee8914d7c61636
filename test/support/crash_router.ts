/** What one router of a replay knows of crashes, and how it tells the others. */

import {
  type AbortedAttempts,
  createAbortedAttempts,
} from "../../src/process/direct/crashes/aborted_attempts.ts";
import {
  type CrashSuspects,
  createCrashSuspects,
} from "../../src/process/direct/crashes/crash_suspects.ts";
import {
  createEvidenceStore,
  type EvidenceStore,
  type EvidenceStoreHost,
} from "../../src/process/direct/crashes/evidence_store.ts";
import {
  createQuarantine,
  type Quarantine,
} from "../../src/process/direct/crashes/quarantine.ts";
import {
  createDigestPace,
  type DigestPace,
} from "../../src/process/direct/peers/digest_pace.ts";
import {
  createDigestWriter,
  type DigestWriter,
} from "../../src/process/direct/peers/peer_digests.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createMetrics } from "../../src/process/telemetry/metrics.ts";
import type { DirectTarget } from "../../src/types/direct_target.ts";

/** Records of crashes and digests of one router. */
export interface CrashRouter {
  readonly suspects: CrashSuspects;
  readonly quarantine: Quarantine;
  readonly abortedAttempts: AbortedAttempts;
  readonly evidenceStore: EvidenceStore;
  readonly writer: DigestWriter;
  readonly pace: DigestPace;
  /** Bytes of crash records sent, by second. */
  readonly bytes: number[];
}

/** Creates a router that knows of no crash. */
export function createCrashRouter(
  { rank, routers, seconds, store, checkAborted, hasEntry }: {
    readonly rank: number;
    /** Number of routers. */
    readonly routers: number;
    /** Length of the replay, in seconds. */
    readonly seconds: number;
    readonly store: EvidenceStoreHost["store"];
    checkAborted(target: DirectTarget): Promise<boolean>;
    hasEntry(target: DirectTarget): boolean;
  },
): CrashRouter {
  const writer = createDigestWriter(`router-${rank}`);
  const suspects = createCrashSuspects({
    log: createSilentLog(),
    report: writer.queueCrash,
    handlePeerResponse: (fingerprint) =>
      quarantine.recordPeerResponse(fingerprint),
  });
  const quarantine = createQuarantine({
    log: createSilentLog(),
    metrics: createMetrics(),
    tryGetTrialDelayMs: () => rank * 250,
    announce: () => undefined,
  });
  const abortedAttempts = createAbortedAttempts({
    ...{ crashes: suspects, quarantine },
    targetCrashes: { checkAborted, hasCrashed: () => false },
    targets: {
      ...{ getAll: () => [], tryGet: () => undefined },
      ...{ isEvacuated: () => false, isLeaving: () => false },
      mayReceive: hasEntry,
    },
  });
  const evidenceStore = createEvidenceStore({
    ...{ log: createSilentLog(), store },
    getRecords: quarantine.getRecords,
    mayStaySaved: quarantine.mayStaySaved,
    merge: quarantine.merge,
    getRank: (key) => (hash(key) + rank) % routers,
  });
  // Routers check at different times.
  setTimeout(evidenceStore.start, rank * 37 % 500);
  return {
    ...{ suspects, quarantine, abortedAttempts, evidenceStore, writer },
    pace: createDigestPace(),
    bytes: Array.from({ length: seconds }, () => 0),
  };
}

function hash(text: string): number {
  return [...text].reduce(
    (sum, character) => (sum * 31 + character.charCodeAt(0)) % 1_000_003,
    7,
  );
}
