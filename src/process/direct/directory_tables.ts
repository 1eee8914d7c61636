/** Applies changes of the directory to the tables of one router. */

import type { DirectoryStore } from "../../types/directory.ts";
import type { RouterPeer } from "../../types/direct_target.ts";
import type { WatchEvent } from "../../types/platform.ts";
import type { RouteTable } from "../../types/route_table.ts";
import type { Log } from "../telemetry/log.ts";
import type { CachedParts } from "./cached_parts.ts";
import type { TargetHealth } from "./target_health.ts";
import type { TargetTable } from "./target_table.ts";

/** Source of a change; a `push` comes from a peer that reads the store. */
export type ChangeSource = "listing" | "watch" | "push" | "peer";

/** What the tables need from the process. */
export interface DirectoryTablesHost {
  readonly store: Pick<DirectoryStore, "decode" | "resolveKey">;
  readonly targets: TargetTable;
  readonly health: Pick<TargetHealth, "forget">;
  readonly cachedParts: Pick<CachedParts, "forgetTarget">;
  readonly log: Log;
  /**
   * Time after an outage in which targets whose entries expired during it can
   * register again, in milliseconds.
   */
  readonly expiryGraceMs: number;
  /** Returns when the store's last outage ended, on the monotonic clock. */
  getOutageEndedAt(): number;
  /** Handles a newer version of the configuration. */
  handleRouteTable(table: RouteTable): void;
}

/** Tables that are derived from the directory. */
export interface DirectoryTables {
  /** Applies changes, in order. */
  apply(changes: readonly WatchEvent[], source: ChangeSource): void;
  /** Registered routers by id. */
  readonly routers: ReadonlyMap<string, RouterPeer>;
  /** Returns the version of the active configuration; 0 before the first. */
  getVersion(): number;
}

/** Creates empty tables. */
export function createDirectoryTables(
  host: DirectoryTablesHost,
): DirectoryTables {
  const { store, targets, log } = host;
  const routers = new Map<string, RouterPeer>();
  let version = 0;

  return {
    apply: (changes, source) =>
      changes.forEach((change) => applyChange(change, source)),
    routers,
    getVersion: () => version,
  };

  function applyChange(change: WatchEvent, source: ChangeSource): void {
    const { key, value, revision } = change;
    if (value === undefined) return applyRemoval(change, source);
    const record = store.decode({ key, value, revision });
    switch (record.kind) {
      case "route_table":
        return applyRouteTable(record.table, { revision, source });
      case "target": {
        const { id, service, state, address } = record.target;
        if (targets.put(record.target)) {
          host.cachedParts.forgetTarget(id);
          host.health.forget(id);
        }
        log.info("Target changed", {
          ...{ target: id, service, state, address, revision, source },
        });
        return;
      }
      case "router":
        routers.set(record.router.id, record.router);
        return;
      case "unreadable":
        log.warn("Entry cannot be read", {
          ...{ key, revision, reason: record.reason },
        });
        return applyRemoval(change, source);
      case "other":
        return;
    }
  }

  function applyRouteTable(
    table: RouteTable,
    { revision, source }: {
      readonly revision: number;
      readonly source: ChangeSource;
    },
  ): void {
    if (table.version <= version) {
      return log.warn("Older configuration was ignored", {
        ...{ version: table.version, inForce: version, revision, source },
      });
    }
    version = table.version;
    log.info("Configuration is in force", {
      ...{ version, revision, source },
      routes: table.routes.length,
    });
    host.handleRouteTable(table);
  }

  function applyRemoval(
    { key, revision }: WatchEvent,
    source: ChangeSource,
  ): void {
    const removed = store.resolveKey(key);
    if (removed === undefined) return;
    if (removed.kind === "router") return void routers.delete(removed.id);
    const usableUntil = getUsableUntil(removed.id, source);
    targets.remove(removed.id, usableUntil);
    log.info("Target is gone", {
      target: removed.id,
      ...{ revision, source },
      usableForMs: Math.max(0, Math.round(usableUntil - performance.now())),
    });
  }

  /**
   * Returns the time until which a target stays usable after its entry was
   * removed. An entry that expired in an outage is registered again if its
   * target is alive.
   */
  function getUsableUntil(id: string, source: ChangeSource): number {
    const now = performance.now();
    if (source === "peer" || targets.tryGet(id)?.state === "draining") {
      return now;
    }
    return Math.max(now, host.getOutageEndedAt() + host.expiryGraceMs);
  }
}
