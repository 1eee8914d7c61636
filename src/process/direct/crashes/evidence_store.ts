/**
 * Keeps what is quarantined, or was at two crashes, in the store for the loss of all
 * routers at once.
 *
 * Load pattern: all routers see that an entry is missing, outdated or left over at
 * the same time. Each waits for its turn, by its rank for the key, and one write
 * is enough. What was at two crashes is written by the router that saw the second,
 * and its writes are spread, as crashes name sound requests too. Nothing depends on
 * the store while it is away.
 */

import type { EitherAsync } from "purify-ts";
import type {
  DirectoryError,
  DirectoryStore,
  SavedEvidence,
} from "../../../types/directory.ts";
import type { WatchEvent } from "../../../types/platform.ts";
import type { Log } from "../../telemetry/log.ts";
import { type CrashEvidence, isConclusive } from "./crash_evidence.ts";

/** Interval at which entries are compared with what is known, in ms. */
const checkIntervalMs = 500;

/**
 * Time for which entries have to differ before the first router in rank writes,
 * and further time per rank, in milliseconds. A write of another one is known by
 * then.
 */
const turnDelaysMs = { first: 500, perRank: 2_000 } as const;

/**
 * Further time per rank for what is not quarantined, in milliseconds. Hundreds of
 * routers that see the same crashes then write over seconds.
 */
const suspectDelayPerRankMs = 10;

/** Maximum number of entries; further keys are known to running routers only. */
const maxEntries = 64;

/** Maximum number of entries about what is not quarantined. */
const maxSuspectEntries = 32;

/** What the entries need from the process. */
export interface EvidenceStoreHost {
  readonly store: Pick<
    DirectoryStore,
    "decodeEvidence" | "removeEvidence" | "saveEvidence"
  >;
  readonly log: Pick<Log, "warn">;
  /** As `Quarantine.getRecords`. */
  getRecords(): readonly CrashEvidence[];
  /** As `Quarantine.mayStaySaved`. */
  mayStaySaved(key: string): boolean;
  /** Applies a record that was saved. */
  merge(record: CrashEvidence): void;
  /** Returns this router's rank for a key, from 0. */
  getRank(key: string): number;
}

/** The entries as one router sees and writes them. */
export interface EvidenceStore {
  /** Applies changes of the directory; other keys are ignored. */
  apply(changes: readonly WatchEvent[]): void;
  start(): void;
  stop(): void;
}

/** Creates the entries of a router that has read nothing. */
export function createEvidenceStore(host: EvidenceStoreHost): EvidenceStore {
  const saved = new Map<string, SavedEvidence>();
  /** Times since when entries differ from what is known, by key. */
  const differsSince = new Map<string, number>();
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  return {
    apply: (changes) => changes.forEach(applyChange),
    start: () => {
      timer = setInterval(check, checkIntervalMs);
      timer.unref();
    },
    stop: () => clearInterval(timer),
  };

  function applyChange({ key, value, revision }: WatchEvent): void {
    const decoded = host.store.decodeEvidence({
      ...{ key, value: value ?? "", revision },
    });
    if (decoded === undefined) return;
    const { evidence } = decoded;
    if (evidence === undefined) return void saved.delete(decoded.key);
    saved.set(decoded.key, evidence);
    const expiresInMs = evidence.expiresAtMs - Date.now();
    if (expiresInMs > 0) {
      host.merge({ ...evidence, expiresInMs, trialInMs: 0 });
    }
  }

  function check(): void {
    const records = new Map(
      chooseRecords().map((record) => [record.key, record] as const),
    );
    const differing = new Set([
      ...[...records.values()]
        .filter((record) => differs(saved.get(record.key), record))
        .map(({ key }) => key),
      ...[...saved.keys()].filter((key) => !host.mayStaySaved(key)),
    ]);
    for (const key of differsSince.keys()) {
      if (!differing.has(key)) differsSince.delete(key);
    }
    for (const key of differing) {
      const since = differsSince.get(key) ?? performance.now();
      differsSince.set(key, since);
      const record = records.get(key);
      const perRankMs = record === undefined || isConclusive(record)
        ? turnDelaysMs.perRank
        : suspectDelayPerRankMs;
      const turnAt = since + turnDelaysMs.first +
        host.getRank(key) * perRankMs;
      if (performance.now() >= turnAt) void write(key, record);
    }
  }

  function chooseRecords(): readonly CrashEvidence[] {
    const records = host.getRecords();
    const places = maxSuspectEntries -
      [...saved.values()].filter((record) => !isConclusive(record)).length;
    const suspects = records.filter((record) => !isConclusive(record));
    return [
      ...records.filter(isConclusive).slice(-maxEntries),
      ...suspects.filter(({ key }) => saved.has(key)),
      ...suspects.filter(({ key }) => !saved.has(key))
        .slice(0, Math.max(0, places)),
    ];
  }

  async function write(
    key: string,
    record: CrashEvidence | undefined,
  ): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    const call: EitherAsync<DirectoryError, void> = record === undefined
      ? host.store.removeEvidence(key)
      : host.store.saveEvidence(toSaved(record));
    const written = await call.run();
    isWriting = false;
    // Without an acknowledgement, or before it is read, it is tried again later.
    differsSince.set(key, performance.now());
    written.ifLeft(({ kind, message }) =>
      host.log.warn("Quarantine could not be saved", {
        ...{ quarantined: key, kind, reason: message },
      })
    );
  }
}

function differs(
  saved: SavedEvidence | undefined,
  record: CrashEvidence,
): boolean {
  return saved === undefined || saved.generation !== record.generation ||
    saved.trials < record.trials ||
    record.lives.some((life) => !saved.lives.includes(life));
}

function toSaved(
  { key, generation, lives, trials, expiresInMs }: CrashEvidence,
): SavedEvidence {
  const expiresAtMs = Date.now() + expiresInMs;
  return { key, generation, lives, trials, expiresAtMs };
}
