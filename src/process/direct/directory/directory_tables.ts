/**
 * Applies changes of the directory to the tables of one router.
 *
 * After a return of the store from an older copy, entries may be older than what
 * this router knows. What is known stays in force then: the configuration until
 * an equal or newer version is written, which no time bounds here, as the
 * operator writes again what was lost; draining and removed targets until their
 * entries change; live targets without an entry for the time in which they
 * register again; and evacuations until their entries change.
 */

import type { DirectoryStore } from "../../../types/directory.ts";
import type { DirectTarget, RouterPeer } from "../../../types/direct_target.ts";
import type { RouteTable } from "../../../types/route_table.ts";
import type { Log } from "../../telemetry/log.ts";
import type { CachedParts } from "../placement/cached_parts.ts";
import type { DirectoryChange } from "./directory_replica.ts";
import type { TargetHealth } from "../targets/target_health.ts";
import type { TargetTable } from "../targets/target_table.ts";
import type { TargetLimits } from "../limits/target_limits.ts";
import type { StoreContactRecord } from "../store/store_availability.ts";
import type { ZoneEvacuations } from "../targets/zone_evacuations.ts";

/** Source of a change; a `push` comes from a peer that reads the store. */
export type ChangeSource = "listing" | "watch" | "push" | "peer";

/**
 * Time until a change in the store is known here, in milliseconds: the pause of
 * a watcher after other changes, and its push. A target that registers again in
 * time is then not dropped before this is known.
 */
const changeDelayMs = 400;

/** Maximum number of removed targets kept; the oldest is evicted first. */
const maxRemovedTargets = 4_096;

/** What the tables need from the process. */
export interface DirectoryTablesHost {
  readonly store: Pick<DirectoryStore, "decode" | "resolveKey">;
  readonly targets: TargetTable;
  readonly evacuations: Pick<
    ZoneEvacuations,
    "begin" | "end" | "reportUnknown"
  >;
  readonly limits: Pick<TargetLimits, "recordEntry">;
  readonly health: Pick<TargetHealth, "forget">;
  readonly cachedParts: Pick<CachedParts, "forgetTarget">;
  readonly log: Log;
  /**
   * Time after an outage in which targets whose entries expired during it can
   * register again, in milliseconds.
   */
  readonly expiryGraceMs: number;
  /** Returns the era of all changes that are applied now, for the log. */
  getEra(): number;
  /** Returns when the store's last outage ended, on the monotonic clock. */
  getOutageEndedAt(): number;
  /** Returns what is known of the store's responses, for the log. */
  describeContact(): StoreContactRecord;
  /**
   * Returns when the store was first known to have returned from an older copy
   * for the last time, on the monotonic clock.
   */
  getReturnedAt(): number;
  /** Handles a newer version of the configuration. */
  handleRouteTable(table: RouteTable): void;
}

/** Tables that are derived from the directory. */
export interface DirectoryTables {
  /** Applies changes, in order. */
  apply(changes: readonly DirectoryChange[], source: ChangeSource): void;
  /** Routers by id, those included whose entries the store has lost. */
  readonly routers: ReadonlyMap<string, RouterPeer>;
  /** Returns a router as its entry in the store describes it, if any. */
  tryGetRegistered(id: string): RouterPeer | undefined;
  /** Returns the version of the active configuration; 0 before the first. */
  getVersion(): number;
  /** Ends the use of targets that rested on an outage which was none. */
  handleOutageRevised(): void;
  /**
   * Uses the saved targets whose entries expired in an outage, for the time in
   * which they register again.
   */
  putExpired(saved: readonly DirectTarget[]): void;
}

/** Creates empty tables. */
export function createDirectoryTables(
  host: DirectoryTablesHost,
): DirectoryTables {
  const { store, targets, log } = host;
  const routers = new Map<string, RouterPeer>();
  const registeredRouters = new Map<string, RouterPeer>();
  /** Start times of removed targets by id, in epoch milliseconds. */
  const removedTargets = new Map<string, number>();
  /** Ends of use of the targets whose entries expired in an outage, by id. */
  const expiredTargets = new Map<string, number>();
  let version = 0;

  return {
    apply,
    routers,
    tryGetRegistered: (id) => registeredRouters.get(id),
    getVersion: () => version,
    handleOutageRevised,
    putExpired,
  };

  function putExpired(saved: readonly DirectTarget[]): void {
    const endedAt = host.getOutageEndedAt();
    // No router saw an outage that took place before this one started.
    const since = Number.isFinite(endedAt) ? endedAt : performance.now();
    const usableUntil = since + host.expiryGraceMs;
    const ids = saved
      .filter((target) => targets.putSaved(target, usableUntil))
      .map(({ id }) => id);
    if (ids.length === 0) return;
    log.info("Saved targets are used until they register again", {
      targets: ids.length,
      usableForMs: Math.round(usableUntil - performance.now()),
      era: host.getEra(),
    });
  }

  function apply(
    changes: readonly DirectoryChange[],
    source: ChangeSource,
  ): void {
    changes.forEach((change) => applyChange(change, source));
    host.evacuations.reportUnknown((zone) =>
      targets.getAll().some((target) => target.zone === zone)
    );
  }

  function applyChange(change: DirectoryChange, source: ChangeSource): void {
    const { key, value, revision, isRestored = false } = change;
    if (change.isLost === true) return applyLost(change, source);
    if (value === undefined) return applyRemoval(change, source);
    const record = store.decode({ key, value, revision });
    switch (record.kind) {
      case "route_table":
        return applyRouteTable(record.table, { revision, source });
      case "target":
        return isRestored && isOutdated(record.target)
          ? ignoreRestored(record.target, change, source)
          : putTarget(record.target, { revision, source, isRestored });
      case "router": {
        const { router } = record;
        registeredRouters.set(router.id, router);
        // A router writes its own entry again when the store has lost it.
        if (!isRestored || !routers.has(router.id)) {
          routers.set(router.id, router);
        }
        return;
      }
      case "evacuation":
        return host.evacuations.begin(
          record.zone,
          getOrigin(revision, source),
        );
      case "unreadable":
        log.warn("Entry cannot be read", {
          ...{ key, era: host.getEra(), revision, reason: record.reason },
        });
        return applyRemoval(change, source);
      case "other":
        return;
    }
  }

  /** Applies what a peer knows of an entry beyond the store. */
  function applyLost(change: DirectoryChange, source: ChangeSource): void {
    const { key, value, revision } = change;
    if (value === undefined) return applyLostRemoval(change, source);
    const record = store.decode({ key, value, revision });
    switch (record.kind) {
      case "route_table":
        return applyRouteTable(record.table, { revision, source });
      case "target": {
        const { id, state, startedAtMs } = record.target;
        const known = targets.tryGet(id);
        // A target whose entry is missing writes it again.
        if (known === undefined || startedAtMs < known.startedAtMs) return;
        if (state === "draining") {
          return putTarget(record.target, {
            ...{ revision, source, isRestored: true },
          });
        }
        // The entry in the store is that of an earlier process.
        if (startedAtMs > known.startedAtMs) applyRemoval(change, source);
        return;
      }
      case "router":
        if (!routers.has(record.router.id)) {
          routers.set(record.router.id, record.router);
        }
        return;
      case "evacuation":
        return host.evacuations.begin(
          record.zone,
          getOrigin(revision, source),
        );
      case "unreadable":
      case "other":
        return;
    }
  }

  /** An evacuation whose removal the store has lost is in force again. */
  function applyLostRemoval(
    change: DirectoryChange,
    source: ChangeSource,
  ): void {
    const isEvacuation = store.resolveKey(change.key)?.kind === "evacuation";
    if (!isEvacuation) applyRemoval(change, source);
  }

  function putTarget(
    target: DirectTarget,
    { revision, source, isRestored }: {
      readonly revision: number;
      readonly source: ChangeSource;
      readonly isRestored: boolean;
    },
  ): void {
    const { id, service, state, address, softwareVersion } = target;
    removedTargets.delete(id);
    expiredTargets.delete(id);
    host.limits.recordEntry(target, { isRestored });
    if (targets.put(target)) {
      host.cachedParts.forgetTarget(id);
      host.health.forget(id);
    }
    log.info("Target changed", {
      ...{ target: id, service, state, address, softwareVersion },
      ...getOrigin(revision, source),
    });
  }

  /** Returns true when more is known of the target than a restored entry. */
  function isOutdated({ id, state, startedAtMs }: DirectTarget): boolean {
    const removed = removedTargets.get(id);
    if (removed !== undefined && startedAtMs <= removed) return true;
    const known = targets.tryGet(id);
    if (known === undefined) return false;
    return startedAtMs < known.startedAtMs ||
      (startedAtMs === known.startedAtMs && known.state === "draining" &&
        state === "ready");
  }

  function ignoreRestored(
    { id, state, startedAtMs }: DirectTarget,
    { revision }: DirectoryChange,
    source: ChangeSource,
  ): void {
    const known = targets.tryGet(id);
    const isRemoved = removedTargets.has(id);
    log.info("Restored entry of a target was ignored", {
      ...{ target: id, state },
      ...getOrigin(revision, source),
      known: isRemoved ? "removed" : known?.state,
    });
    // The entry of the process that runs now is missing.
    if (!isRemoved && known !== undefined && known.startedAtMs > startedAtMs) {
      targets.remove(id, getUsableUntil(id, { source, isRestored: true }));
    }
  }

  /** Returns the log fields that tell where a change comes from. */
  function getOrigin(revision: number, source: ChangeSource) {
    return { era: host.getEra(), revision, source };
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
        ...{ version: table.version, inForce: version },
        ...getOrigin(revision, source),
      });
    }
    version = table.version;
    log.info("Configuration is in force", {
      version,
      ...getOrigin(revision, source),
      routes: table.routes.length,
    });
    host.handleRouteTable(table);
  }

  function applyRemoval(
    { key, revision, isRestored = false }: DirectoryChange,
    source: ChangeSource,
  ): void {
    const removed = store.resolveKey(key);
    if (removed === undefined) return;
    const { id } = removed;
    if (removed.kind === "evacuation") {
      if (!isRestored) host.evacuations.end(id, getOrigin(revision, source));
      return;
    }
    if (removed.kind === "router") {
      registeredRouters.delete(id);
      if (!isRestored) routers.delete(id);
      return;
    }
    const usableUntil = getUsableUntil(id, { source, isRestored });
    targets.remove(id, usableUntil);
    expiredTargets.delete(id);
    if (!isRestored && usableUntil > performance.now()) {
      expiredTargets.set(id, usableUntil);
    }
    const isDraining = targets.tryGet(id)?.state === "draining";
    if (!isRestored || isDraining) recordRemoved(id);
    log.info("Target is gone", {
      target: id,
      ...getOrigin(revision, source),
      usableForMs: Math.max(0, Math.round(usableUntil - performance.now())),
      ...host.describeContact(),
    });
  }

  function recordRemoved(id: string): void {
    removedTargets.delete(id);
    removedTargets.set(
      id,
      targets.tryGet(id)?.startedAtMs ?? Number.POSITIVE_INFINITY,
    );
    if (removedTargets.size <= maxRemovedTargets) return;
    const [oldest] = removedTargets.keys();
    if (oldest !== undefined) removedTargets.delete(oldest);
  }

  /**
   * Returns the time until which a target stays usable after its entry was
   * removed. An entry that expired in an outage, or that the store has lost, is
   * registered again if its target is alive.
   */
  function getUsableUntil(
    id: string,
    { source, isRestored }: {
      readonly source: ChangeSource;
      readonly isRestored: boolean;
    },
  ): number {
    const now = performance.now();
    if (targets.tryGet(id)?.state === "draining") return now;
    if (isRestored) {
      const graceMs = host.expiryGraceMs + changeDelayMs;
      return Math.max(now, host.getReturnedAt() + graceMs);
    }
    if (source === "peer") return now;
    return Math.max(now, host.getOutageEndedAt() + host.expiryGraceMs);
  }

  function handleOutageRevised(): void {
    const now = performance.now();
    const graceEndsAt = host.getOutageEndedAt() + host.expiryGraceMs;
    for (const [id, usableUntil] of [...expiredTargets]) {
      expiredTargets.delete(id);
      if (usableUntil <= now) continue;
      const revised = Math.max(now, Math.min(usableUntil, graceEndsAt));
      targets.remove(id, revised);
      if (revised > now) expiredTargets.set(id, revised);
      else log.info("Target did not expire in an outage", { target: id });
    }
  }
}
