/** Saves the targets of a router in the store, and uses what others saved. */

import type { DirectoryChange } from "../process/direct/directory/directory_replica.ts";
import type { DirectorySync } from "../process/direct/directory/directory_sync.ts";
import type {
  ChangeSource,
  DirectoryTables,
} from "../process/direct/directory/directory_tables.ts";
import { getExpiredTargets } from "../process/direct/directory/saved_targets.ts";
import {
  createTargetSaver,
  type TargetSaver,
  type TargetSaverHost,
} from "../process/direct/directory/target_saver.ts";
import type { Contention } from "../process/direct/limits/contention.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";

/** What the use of saved targets needs from the process. */
export interface SavedTargetUseHost extends
  Pick<
    TargetSaverHost,
    "getEra" | "getRank" | "log" | "metrics" | "store"
  > {
  readonly sync: Pick<DirectorySync, "getAgeMs" | "getOutageEndedAt">;
  readonly targets: Pick<
    TargetTable,
    "getAll" | "getEvacuated" | "getReady" | "getServices"
  >;
  readonly directoryTables: Pick<DirectoryTables, "getVersion" | "putExpired">;
  readonly contention: Pick<Contention, "assume" | "isActive">;
}

/** The saved targets of one router. */
export interface SavedTargetUse extends Pick<TargetSaver, "start" | "stop"> {
  /** Applies changes of the directory, which its tables know already. */
  apply(changes: readonly DirectoryChange[], source: ChangeSource): void;
}

/** Creates the use by a router that has read nothing. */
export function createSavedTargetUse(
  host: SavedTargetUseHost,
): SavedTargetUse {
  const { sync, targets, contention, directoryTables } = host;
  const saver = createTargetSaver({
    ...host,
    getAgeMs: sync.getAgeMs,
    isActive: contention.isActive,
    getReady: () =>
      targets.getServices().flatMap((service) => [
        ...targets.getReady(service),
        ...targets.getEvacuated(service),
      ]),
  });
  let hasUsed = false;

  return {
    start: saver.start,
    stop: saver.stop,
    apply: (changes, source) => {
      saver.apply(changes);
      useOnce(source);
    },
  };

  /**
   * Uses what earlier routers saved, if entries expired in an outage. Pushes before
   * the first listing or copy hold a few changes only.
   */
  function useOnce(source: ChangeSource): void {
    const isComplete = source === "listing" || source === "peer";
    if (hasUsed || !isComplete || directoryTables.getVersion() === 0) return;
    hasUsed = true;
    const saved = saver.getSaved();
    if (saved.length > 0) contention.assume();
    directoryTables.putExpired(getExpiredTargets(saved, {
      registered: new Set(targets.getAll().map(({ id }) => id)),
      wasUnavailable: sync.getOutageEndedAt() > 0,
    }));
  }
}
