/**
 * Saves the ready targets in the store, without a lease, for routers that start
 * after an outage in which all routers were lost and the targets' own entries
 * expired. Only while callers compete for capacity.
 *
 * Load pattern: targets come and go in series during a deployment, and all routers
 * see that at the same time. Changes are joined; the first router by rank writes
 * them, and another only if it does not. What is saved is a hint: a write that is
 * lost or late is corrected by the next one.
 */

import type { DirectoryStore } from "../../../types/directory.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";
import type { DirectoryChange } from "./directory_replica.ts";
import { getSavedTargetChanges } from "./saved_targets.ts";

/** Interval at which what is saved is compared with the targets, in ms. */
const checkIntervalMs = 500;

/** Time in which changes are joined before they are written, in milliseconds. */
const joinMs = 1_000;

/** Further wait of a router per router of higher rank, in milliseconds. */
const perRankMs = 1_500;

/** Minimum time between two writes of one router, in milliseconds. */
const minWriteIntervalMs = 1_000;

/** Maximum number of entries that the store takes in one write. */
const maxEntriesPerWrite = 32;

/** Time since the store was last read after which nothing is written, in ms. */
const maxAgeMs = 1_500;

/**
 * Time after a start at which what earlier routers saved is removed unless
 * callers compete for capacity again, in milliseconds.
 */
const removalDelayMs = 60_000;

/** Key by which the routers are ranked. */
const rankKey = "saved targets";

/** What the saver needs from the process. */
export interface TargetSaverHost {
  readonly store: Pick<
    DirectoryStore,
    "decodeSavedTarget" | "getEra" | "saveTargets"
  >;
  readonly log: Pick<Log, "warn">;
  readonly metrics: Pick<Metrics, "count" | "gauge">;
  /** Returns true while callers compete for capacity. */
  isActive(): boolean;
  /** Returns the ready targets of all services, with those of evacuated zones. */
  getReady(): readonly DirectTarget[];
  /** Returns this router's rank for a key, from 0. */
  getRank(key: string): number;
  /** Returns the era of the entries here. */
  getEra(): number;
  /** Returns the time since the store was last read, in milliseconds. */
  getAgeMs(): number;
}

/** The saved targets as one router sees and writes them. */
export interface TargetSaver {
  /** Applies changes of the directory; other keys are ignored. */
  apply(changes: readonly DirectoryChange[]): void;
  start(): void;
  stop(): void;
  /** Returns the targets that are saved, as last read. */
  getSaved(): readonly DirectTarget[];
}

/** Creates a saver that has read nothing. */
export function createTargetSaver(host: TargetSaverHost): TargetSaver {
  const startedAt = performance.now();
  /** Saved targets by id; without a target where an entry is unreadable. */
  const saved = new Map<string, DirectTarget | undefined>();
  let hasRead = false;
  let differsSince: number | undefined;
  let nextWriteAt = 0;
  let timer: NodeJS.Timeout | undefined;
  host.metrics.gauge("saved_targets", () => saved.size);

  return {
    apply,
    start: () => {
      timer = setInterval(check, checkIntervalMs);
      timer.unref();
    },
    stop: () => clearInterval(timer),
    getSaved: () =>
      [...saved.values()].filter((target) => target !== undefined),
  };

  function apply(changes: readonly DirectoryChange[]): void {
    for (const { key, value, revision, isLost } of changes) {
      const decoded = host.store.decodeSavedTarget({
        ...{ key, value: value ?? "", revision },
      });
      if (decoded === undefined || isLost === true) continue;
      if (value === undefined) saved.delete(decoded.id);
      else saved.set(decoded.id, decoded.target);
    }
    hasRead = true;
  }

  function check(): void {
    const now = performance.now();
    if (!hasRead || !isCurrent() || !isDue(now)) return;
    const { saved: added, removed } = getSavedTargetChanges(
      saved,
      host.isActive() ? host.getReady() : [],
    );
    if (added.length + removed.length === 0) {
      differsSince = undefined;
      return;
    }
    differsSince ??= now;
    const turnAt = differsSince + joinMs + host.getRank(rankKey) * perRankMs;
    if (now < Math.max(turnAt, nextWriteAt)) return;
    nextWriteAt = now + minWriteIntervalMs;
    void write({
      removed: removed.slice(0, maxEntriesPerWrite),
      saved: added.slice(0, Math.max(0, maxEntriesPerWrite - removed.length)),
    });
  }

  function isDue(now: number): boolean {
    return host.isActive() ||
      (saved.size > 0 && now - startedAt >= removalDelayMs);
  }

  function isCurrent(): boolean {
    return host.getAgeMs() <= maxAgeMs && host.store.getEra() <= host.getEra();
  }

  async function write(
    changes: Parameters<DirectoryStore["saveTargets"]>[0],
  ): Promise<void> {
    const written = await host.store.saveTargets(changes).run();
    host.metrics.count("saved_target_writes_total", {
      result: written.caseOf<string>({
        Left: ({ kind }) => kind,
        Right: () => "written",
      }),
    });
    written.ifLeft(({ kind, message }) => {
      host.log.warn("Targets could not be saved", { kind, reason: message });
    });
  }
}
