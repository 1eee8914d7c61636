/** Entries about crashes in a store that a fleet of routers shares. Needs paused time. */

import { EitherAsync, Right } from "purify-ts";
import type { EvidenceStore } from "../../src/process/direct/crashes/evidence_store.ts";
import type {
  DirectoryError,
  DirectoryStore,
  SavedEvidence,
} from "../../src/types/directory.ts";

/** Time from a write until all routers have read it, in milliseconds. */
const readDelayMs = 400;

/** The store, and how often it was written. */
export interface FleetStore extends
  Pick<
    DirectoryStore,
    "decodeEvidence" | "removeEvidence" | "saveEvidence"
  > {
  /** Tells all entries to all routers, which have just started. */
  tellAll(): void;
  getWrites(): { readonly writes: number; readonly peakWritesPerS: number };
}

/** Creates an empty store. */
export function createFleetStore(
  getRouters: () => readonly { readonly evidenceStore: EvidenceStore }[],
): FleetStore {
  const entries = new Map<string, SavedEvidence>();
  const writtenAt: number[] = [];

  return {
    decodeEvidence: ({ key, value }) => ({
      key,
      evidence: value === "" ? undefined : JSON.parse(value) as SavedEvidence,
    }),
    saveEvidence: (evidence) => write(evidence.key, evidence),
    removeEvidence: (key) => write(key, undefined),
    tellAll: () => [...entries.keys()].forEach(tell),
    getWrites,
  };

  function write(
    key: string,
    evidence: SavedEvidence | undefined,
  ): EitherAsync<DirectoryError, void> {
    writtenAt.push(performance.now());
    if (evidence === undefined) entries.delete(key);
    else entries.set(key, evidence);
    setTimeout(() => tell(key), readDelayMs);
    return EitherAsync.liftEither(Right(undefined));
  }

  function tell(key: string): void {
    const evidence = entries.get(key);
    const value = evidence && JSON.stringify(evidence);
    for (const { evidenceStore } of getRouters()) {
      evidenceStore.apply([{ key, value, revision: 1 }]);
    }
  }

  function getWrites() {
    const perS = writtenAt.map((from) =>
      writtenAt.filter((at) => at >= from && at < from + 1_000).length
    );
    return { writes: writtenAt.length, peakWritesPerS: Math.max(0, ...perS) };
  }
}
