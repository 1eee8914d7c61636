/**
 * Decides which software versions of a service its record in the store names,
 * and what follows from the record for a stream that no router remembers.
 *
 * Load pattern: all routers die at once and start again, while targets of two
 * versions come and go. A stream that broke off then may be taken up only if it
 * can have begun at a single version. Clocks of routers differ by seconds, and
 * the store may have lost what was written last.
 */

import type { NamedVersion, SavedVersions } from "../../../types/directory.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { RouteTable } from "../../../types/route_table.ts";
import { streamRecordTtlMs } from "./stream_records.ts";

/** Maximum difference between the clocks of two routers, in milliseconds. */
export const clockDifferenceMs = 6_000;

/**
 * Time after which a version that is gone no longer counts, in milliseconds:
 * its streams are not remembered any longer by any router's clock.
 */
export const goneTtlMs = streamRecordTtlMs + clockDifferenceMs;

/** Time after which a version that is gone is removed, in milliseconds. */
const removalTtlMs = goneTtlMs + clockDifferenceMs;

/** Maximum number of versions of one service in its record. */
const maxVersions = 32;

/** What the writer of a record knows at this moment. */
export interface VersionState {
  readonly service: string;
  /** Era of the store; 0 when it names none. */
  readonly era: number;
  /** Routes whose streams may be resumed at the service. */
  readonly routes: string;
  /** Versions of the service's targets. */
  readonly present: ReadonlySet<string>;
  /** In epoch milliseconds. */
  readonly nowMs: number;
  /** True when no stream can have begun before a first record is written. */
  readonly isNewFleet: boolean;
}

/** Returns the record to write in place of another one; undefined if none. */
export function tryGetNextRecord(
  saved: SavedVersions | undefined,
  { service, era, routes, present, nowMs, isNewFleet }: VersionState,
): SavedVersions | undefined {
  const known = saved?.versions ?? [];
  const names = new Set(known.map(({ softwareVersion }) => softwareVersion));
  // Clocks differ; what is named later has the later time all the same.
  const namedSinceMs = saved === undefined ? undefined : Math.max(
    nowMs,
    ...known.map((version) => (version.namedSinceMs ?? 0) + 1),
  );
  const named = known
    .map((version) => updateVersion(version, { present, nowMs, namedSinceMs }))
    .filter(({ goneSinceMs }) =>
      goneSinceMs === undefined || nowMs - goneSinceMs <= removalTtlMs
    );
  const added = [...present].filter((name) => !names.has(name)).sort()
    .map((softwareVersion) => ({
      ...{ softwareVersion, goneSinceMs: undefined, namedSinceMs },
    }));
  const versions = [...named, ...added];
  const kept = versions.length <= maxVersions
    ? versions
    : versions.toSorted(compareEnds).slice(0, maxVersions);
  // What the store has lost, or the record has no place for, is not known.
  const isComplete = kept.length === versions.length &&
    (saved === undefined
      ? isNewFleet
      : saved.era === era && saved.routes === routes);
  const completeSinceMs = isComplete ? saved?.completeSinceMs ?? 0 : nowMs;
  const isSame = saved !== undefined && saved.era === era &&
    saved.routes === routes && kept.length === known.length &&
    kept.every((version, index) =>
      known[index]?.softwareVersion === version.softwareVersion &&
      known[index].goneSinceMs === version.goneSinceMs
    );
  return isSame
    ? undefined
    : { service, era, routes, completeSinceMs, versions: kept };
}

function updateVersion(
  version: NamedVersion,
  { present, nowMs, namedSinceMs }:
    & Pick<VersionState, "nowMs" | "present">
    & Pick<NamedVersion, "namedSinceMs">,
): NamedVersion {
  const { softwareVersion, goneSinceMs } = version;
  if (present.has(softwareVersion)) {
    return goneSinceMs === undefined
      ? version
      : { softwareVersion, goneSinceMs: undefined, namedSinceMs };
  }
  // A time far ahead is that of a wrong clock, and would never end.
  const isUsable = goneSinceMs !== undefined &&
    goneSinceMs <= nowMs + clockDifferenceMs;
  return { softwareVersion, goneSinceMs: isUsable ? goneSinceMs : nowMs };
}

/** Compares versions so that those that are gone for the longest come last. */
function compareEnds(left: NamedVersion, right: NamedVersion): number {
  return (right.goneSinceMs ?? Infinity) - (left.goneSinceMs ?? Infinity) || 0;
}

/** Returns the versions of a record that have targets. */
export function getServingNames(
  { versions }: SavedVersions,
): ReadonlySet<string> {
  return new Set(
    versions.filter(({ goneSinceMs }) => goneSinceMs === undefined)
      .map(({ softwareVersion }) => softwareVersion),
  );
}

/**
 * Returns the versions of a record that have targets and whose names may not have
 * reached every router: those named later than another, and not long ago.
 */
export function getFreshNames(
  { versions }: SavedVersions,
  { nowMs, settlingMs }: {
    readonly nowMs: number;
    /** Time in which all routers read a name, in milliseconds. */
    readonly settlingMs: number;
  },
): ReadonlySet<string> {
  const times = versions
    .filter(({ goneSinceMs }) => goneSinceMs === undefined)
    .map(({ softwareVersion, namedSinceMs = 0 }) =>
      [softwareVersion, namedSinceMs] as const
    );
  const first = Math.min(...times.map(([, at]) => at));
  const maxAgeMs = settlingMs + clockDifferenceMs;
  return new Set(
    times.filter(([, at]) => at > first && nowMs - at < maxAgeMs)
      .map(([name]) => name),
  );
}

/**
 * Returns true for a target at which no stream that still counts can have begun
 * before now. An older one may have served a fleet whose entries are lost.
 */
export function isNewTarget(
  { startedAtMs }: Pick<DirectTarget, "startedAtMs">,
  nowMs: number,
): boolean {
  return nowMs - startedAtMs < goneTtlMs;
}

/**
 * Returns the only version at which an interrupted stream can have begun;
 * undefined when there may be others, or when the record does not tell.
 */
export function tryGetOnlyNamed(
  saved: SavedVersions | undefined,
  { era, routes, seen, present, nowMs }: {
    /** Era of the store; 0 when it names none, undefined when it is unclear. */
    readonly era: number | undefined;
    /** Routes whose streams may be resumed at the service now. */
    readonly routes: string;
    /** Versions that this router has lately seen, named or not. */
    readonly seen: Iterable<string>;
    /** Versions of the targets that may serve now. */
    readonly present: ReadonlySet<string>;
    readonly nowMs: number;
  },
): string | undefined {
  // A store that names no era loses nothing; its entries have the era 0.
  if (saved === undefined || saved.era !== era) return undefined;
  if (saved.routes !== routes) return undefined;
  const { completeSinceMs } = saved;
  if (completeSinceMs > 0 && nowMs - completeSinceMs <= goneTtlMs) {
    return undefined;
  }
  const counted = saved.versions.filter(({ goneSinceMs }) =>
    goneSinceMs === undefined || nowMs - goneSinceMs <= goneTtlMs
  ).map(({ softwareVersion }) => softwareVersion);
  const possible = new Set([...counted, ...seen, ...present]);
  const [only] = possible;
  const isOnly = possible.size === 1 && only !== undefined && only !== "" &&
    present.has(only) && getServingNames(saved).has(only);
  return isOnly ? only : undefined;
}

/**
 * Returns the routes whose streams may be resumed, in one text for each service
 * that they lead to.
 */
export function getResumableServices(
  { routes }: Pick<RouteTable, "routes">,
): ReadonlyMap<string, string> {
  const services = new Map<string, string>();
  routes.filter(({ kind, isResumable }) => kind === "stream" && isResumable)
    .flatMap(({ host, prefix, shares }) =>
      shares.map(({ service }) => ({ service, name: `${host}${prefix}` }))
    )
    .sort((left, right) => (left.name < right.name ? -1 : 1))
    .forEach(({ service, name }) => {
      const before = services.get(service);
      services.set(service, before === undefined ? name : `${before} ${name}`);
    });
  return services;
}
