/**
 * Keeps the software versions of services in the store, for the loss of all
 * routers at once. Only services whose streams may be resumed have an entry.
 *
 * Load pattern: all routers see that a version has come or gone at the same
 * time. Each waits for its turn, by its rank for the service, and one write is
 * enough; of two writes at once the store takes one. Nothing is taken from an
 * acknowledgement: a version is named when its entry was read.
 */

import type {
  DirectoryStore,
  SavedVersions,
} from "../../../types/directory.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Dump } from "../../../types/role.ts";
import type { RouteTable } from "../../../types/route_table.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";
import type { DirectoryChange } from "../directory/directory_replica.ts";
import type { ChangeSource } from "../directory/directory_tables.ts";
import { absenceMs, createPresentVersions } from "./present_versions.ts";
import {
  getFreshNames,
  getResumableServices,
  getServingNames,
  isNewTarget,
  tryGetNextRecord,
} from "./version_records.ts";

/**
 * Interval at which entries are compared with what is known, in milliseconds,
 * after changes of the directory or while a write is due.
 */
const checkIntervalMs = 100;

/** The same interval at other times, in milliseconds. */
const idleCheckIntervalMs = 500;

/** Waits of a router before it writes, in milliseconds. */
const turnDelaysMs = {
  /** Before the first in rank writes; joins changes of the same moment. */
  first: 100,
  perRank: 800,
  /** Per rank of routers of a new fleet, which all know the same. */
  perRankOfNewFleet: 250,
  /** Before a first entry that does not tell of streams that began before. */
  unknownPast: 2_000,
  /** Before the entry of a service without resumable streams is removed. */
  removal: 5_000,
  /** After a write, until its result was read or it is tried again. */
  retry: 1_000,
  /** As `retry`, after many writes; a store may refuse them for long. */
  maxRetry: 30_000,
} as const;

/** Time for which a fleet counts as new to its first routers, in ms. */
const newFleetMs = 30_000;

/**
 * Time since the store was last read after which the entries here may be old,
 * in milliseconds: a watch without changes and a slow round trip.
 */
const maxAgeMs = 1_500;

/**
 * Time after which streams begin at a newly named version, in milliseconds. By
 * then other routers have read its name, so that none takes a stream of it for
 * one of the versions before.
 */
const settlingMs = 1_500;

/** What the entries need from the process. */
export interface VersionStoreHost {
  readonly store: Pick<
    DirectoryStore,
    | "decodeVersions"
    | "getEra"
    | "removeVersions"
    | "resolveKey"
    | "saveVersions"
  >;
  readonly log: Pick<Log, "info" | "warn">;
  readonly metrics: Pick<Metrics, "count" | "gauge">;
  /** Returns all targets in any state. */
  getTargets(): readonly DirectTarget[];
  /** Returns a 32-bit hash. */
  hash(text: string): number;
  /** Returns this router's rank for a key, from 0. */
  getRank(key: string): number;
  /** Returns the era of the entries here. */
  getEra(): number;
  /** Returns the time since the copy here was up to date, in milliseconds. */
  getAgeMs(): number;
}

/** The entries as one router sees and writes them. */
export interface VersionStore {
  /** Applies changes of the directory; other keys are ignored. */
  apply(changes: readonly DirectoryChange[], source: ChangeSource): void;
  /** Applies the configuration, which tells whose streams may be resumed. */
  setRoutes(table: Pick<RouteTable, "routes">): void;
  start(): void;
  stop(): void;
  /** Returns the versions of a service as last read, of any age. */
  tryGet(service: string): SavedVersions | undefined;
  /** Identifies the resumable routes of a service in the configuration. */
  getRoutes(service: string): string;
  /** Returns the named versions at which streams of a service may begin. */
  getUsableNames(service: string): ReadonlySet<string>;
  /**
   * Returns the era of the entries, 0 if the store names none; undefined when
   * they may be old.
   */
  tryGetCurrentEra(): number | undefined;
  dump(): Dump;
}

/** An entry as it was read. */
interface ReadEntry {
  readonly revision: number;
  /** Undefined when the entry is unreadable. */
  readonly saved: SavedVersions | undefined;
  /** When each version was first read as named, on the monotonic clock. */
  readonly namedTimes: ReadonlyMap<string, number>;
}

/** Creates the entries of a router that has read nothing. */
export function createVersionStore(host: VersionStoreHost): VersionStore {
  const startedAt = performance.now();
  const entries = new Map<string, ReadEntry>();
  const present = createPresentVersions();
  /** Times since when entries differ from what is known, by service. */
  const differsSince = new Map<string, number>();
  /** Resumable routes by service. */
  let services: ReadonlyMap<string, string> = new Map();
  /** When the first entries were applied, on the monotonic clock. */
  let firstReadAt: number | undefined;
  let hasRoutes = false;
  let hasChanged = false;
  let checkedAt = Number.NEGATIVE_INFINITY;
  let isNewFleet = false;
  /** Writes whose result was not read, and when the next is due, by service. */
  const retries = new Map<
    string,
    { readonly count: number; readonly at: number }
  >();
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  host.metrics.gauge("named_versions", countNamed);

  return {
    apply,
    setRoutes: (table) => {
      services = getResumableServices(table);
      hasRoutes = true;
    },
    start: () => {
      timer = setInterval(check, checkIntervalMs);
      timer.unref();
    },
    stop: () => clearInterval(timer),
    tryGet: (service) => entries.get(service)?.saved,
    getRoutes,
    getUsableNames,
    tryGetCurrentEra,
    dump,
  };

  function apply(
    changes: readonly DirectoryChange[],
    source: ChangeSource,
  ): void {
    if (firstReadAt === undefined) {
      // Before the first changes of a watch, a listing found no entry at all.
      isNewFleet = source === "watch" ||
        source === "listing" && !changes.some(isOfEarlierFleet);
    }
    changes.forEach(applyChange);
    firstReadAt ??= performance.now();
    hasChanged = true;
  }

  /** Returns true for entries that outlast the routers that wrote them. */
  function isOfEarlierFleet({ key, revision }: DirectoryChange): boolean {
    return host.store.resolveKey(key)?.kind === "router" ||
      host.store.decodeVersions({ key, value: "", revision }) !== undefined;
  }

  function applyChange(change: DirectoryChange): void {
    const { key, value, revision, isLost = false } = change;
    const decoded = host.store.decodeVersions({
      ...{ key, value: value ?? "", revision },
    });
    if (decoded === undefined || isLost) return;
    const { service, versions: saved } = decoded;
    const before = entries.get(service);
    retries.delete(service);
    if (saved === undefined && value !== undefined) {
      host.log.warn("Versions of a service cannot be read", { service });
    }
    const names = saved === undefined
      ? new Set<string>()
      : getServingNames(saved);
    // At a first read, others may know less; a service needs one usable name.
    const hadNames = before !== undefined && before.namedTimes.size > 0;
    const unsettled = saved === undefined || hadNames
      ? names
      : getFreshNames(saved, { nowMs: Date.now(), settlingMs });
    const namedTimes = new Map(
      [...names].map((name) => {
        const readAt = unsettled.has(name) ? performance.now() : -Infinity;
        return [name, before?.namedTimes.get(name) ?? readAt] as const;
      }),
    );
    if (value === undefined) entries.delete(service);
    else entries.set(service, { revision, saved, namedTimes });
    logDifference(service, { before, names, revision });
  }

  function logDifference(
    service: string,
    { before, names, revision }: {
      readonly before: ReadEntry | undefined;
      readonly names: ReadonlySet<string>;
      readonly revision: number;
    },
  ): void {
    const namesBefore = before?.namedTimes ?? new Map<string, number>();
    const fields = { service, revision, era: host.getEra() };
    names.forEach((softwareVersion) => {
      if (namesBefore.has(softwareVersion)) return;
      host.log.info("Software version is named", {
        ...fields,
        softwareVersion,
      });
    });
    namesBefore.forEach((_, softwareVersion) => {
      if (names.has(softwareVersion)) return;
      host.log.info("Software version is gone", { ...fields, softwareVersion });
    });
  }

  function getUsableNames(service: string): ReadonlySet<string> {
    const since = performance.now() - settlingMs;
    const times = entries.get(service)?.namedTimes ?? new Map<string, number>();
    return new Set(
      [...times].filter(([, at]) => at <= since).map(([name]) => name),
    );
  }

  function tryGetCurrentEra(): number | undefined {
    return isCurrent() ? host.getEra() : undefined;
  }

  function isCurrent(): boolean {
    return host.getAgeMs() <= maxAgeMs &&
      host.store.getEra() <= host.getEra();
  }

  function check(): void {
    if (firstReadAt === undefined || !hasRoutes) return;
    const isIdle = !hasChanged && differsSince.size === 0;
    const now = performance.now();
    if (isIdle && now - checkedAt < idleCheckIntervalMs) return;
    checkedAt = now;
    hasChanged = false;
    present.record(host.getTargets());
    for (const service of new Set([...services.keys(), ...entries.keys()])) {
      checkService(service);
    }
    for (const service of differsSince.keys()) {
      if (services.has(service) || entries.has(service)) continue;
      differsSince.delete(service);
      retries.delete(service);
    }
  }

  function checkService(service: string): void {
    const isResumable = services.has(service);
    const entry = entries.get(service);
    const next = isResumable ? tryGetNext(service, entry?.saved) : undefined;
    if (isResumable ? next === undefined : entry === undefined) {
      return void differsSince.delete(service);
    }
    const now = performance.now();
    const since = differsSince.get(service) ?? now;
    differsSince.set(service, since);
    const turnAt = since + getTurnDelayMs(service, entry, isResumable);
    const retryAt = retries.get(service)?.at ?? 0;
    if (now < Math.max(turnAt, retryAt) || !isCurrent()) return;
    void write(service, { next, revision: entry?.revision ?? 0 });
  }

  function tryGetNext(
    service: string,
    saved: SavedVersions | undefined,
  ): SavedVersions | undefined {
    // A router cannot tell after its first read whether a version is gone.
    const readForMs = performance.now() - (firstReadAt ?? Infinity);
    const kept = readForMs < absenceMs && saved !== undefined
      ? getServingNames(saved)
      : [];
    return tryGetNextRecord(saved, {
      ...{ service, era: host.getEra(), nowMs: Date.now() },
      present: new Set([...present.get(service), ...kept]),
      ...{ isNewFleet: isOfNewFleet(), routes: getRoutes(service) },
    });
  }

  /** Identifies the resumable routes of a service, in a bounded text. */
  function getRoutes(service: string): string {
    return host.hash(services.get(service) ?? "").toString(16);
  }

  function isOfNewFleet(): boolean {
    return isNewFleet && performance.now() - startedAt < newFleetMs &&
      host.getTargets().every((target) => isNewTarget(target, Date.now()));
  }

  function getTurnDelayMs(
    service: string,
    entry: ReadEntry | undefined,
    isResumable: boolean,
  ): number {
    const rank = host.getRank(service);
    const { first, perRank, perRankOfNewFleet, unknownPast, removal } =
      turnDelaysMs;
    if (!isResumable) return removal + rank * perRank;
    if (entry !== undefined) return first + rank * perRank;
    return isOfNewFleet()
      ? first + rank * perRankOfNewFleet
      : unknownPast + rank * perRank;
  }

  async function write(
    service: string,
    { next, revision }: {
      /** Undefined to remove the entry. */
      readonly next: SavedVersions | undefined;
      readonly revision: number;
    },
  ): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    const call = next === undefined
      ? host.store.removeVersions(service, revision)
      : host.store.saveVersions(next, revision);
    const written = await call.run();
    isWriting = false;
    // Another router may have written, or its write may still take effect.
    if (entries.get(service)?.revision === (revision || undefined)) {
      deferRetry(service);
    }
    const result = written.caseOf<string>({
      Left: ({ kind }) => kind,
      Right: () => "written",
    });
    host.metrics.count("version_writes_total", { result });
    written.ifLeft(({ kind, message }) => {
      if (kind === "conflict") return;
      host.log.warn("Versions of a service could not be saved", {
        ...{ service, kind, reason: message },
      });
    });
  }

  function dump(): Dump {
    return [...entries.values()].flatMap(({ revision, saved }) =>
      saved === undefined ? [] : [{
        ...{ service: saved.service, revision, era: saved.era },
        completeSinceMs: saved.completeSinceMs,
        versions: saved.versions.map(({ softwareVersion, goneSinceMs }) => ({
          softwareVersion,
          goneSinceMs: goneSinceMs ?? 0,
        })),
      }]
    );
  }

  function deferRetry(service: string): void {
    const { retry, maxRetry, perRank } = turnDelaysMs;
    const count = retries.get(service)?.count ?? 0;
    const delayMs = Math.min(maxRetry, retry * 2 ** count) +
      host.getRank(service) * perRank;
    const at = performance.now() + delayMs;
    retries.set(service, { count: count + 1, at });
  }

  function countNamed(): number {
    return [...entries.values()]
      .reduce((sum, { namedTimes }) => sum + namedTimes.size, 0);
  }
}
