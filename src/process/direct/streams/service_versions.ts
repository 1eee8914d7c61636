/**
 * Knows at which software versions the streams of a service begin, and whether
 * they can have begun at one only.
 */

import type { SavedVersions } from "../../../types/directory.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import { streamRecordTtlMs, unknownVersion } from "./stream_records.ts";
import { tryGetOnlyNamed } from "./version_records.ts";

/**
 * Time after the start of this router for which others may be starting too, in
 * milliseconds. Routers that should know a stream then don't answer.
 */
const startMs = 10_000;

/** Time for which the versions at which streams begin are used, in ms. */
const beginTtlMs = 50;

/** The only version at which a stream can have begun. */
export interface OnlyVersion {
  readonly version: number;
  /**
   * - `only_version`: this router has seen no other for long.
   * - `named_version`: the store names no other.
   */
  readonly source: "named_version" | "only_version";
}

/** The versions of all services. */
export interface ServiceVersions {
  /** Records the versions of all targets that are known now. */
  record(): void;
  /**
   * Returns the version if it is the only one at which a stream of the service
   * can have begun; undefined if that is not known.
   */
  tryGetOnly(service: string): OnlyVersion | undefined;
  /**
   * As `tryGetOnly` for a stream that the routers which should know it have not
   * answered for: only while this router and those may have just started.
   */
  tryGetOnlyAtStart(service: string): OnlyVersion | undefined;
  /** Returns false while the entries here may be old, and no version is known. */
  isCurrent(): boolean;
  /** Returns true when a stream that may be resumed may begin at the target. */
  mayBegin(target: DirectTarget): boolean;
  /** Tells the same for a dry run, and records nothing. */
  readonly preview: Pick<
    ServiceVersions,
    "isCurrent" | "mayBegin" | "tryGetOnly" | "tryGetOnlyAtStart"
  >;
}

/** What the versions need from the process. */
export interface ServiceVersionsHost {
  /** Returns the targets in any state, of one service or of all. */
  getTargets(service?: string): readonly DirectTarget[];
  /** Returns true for a target whose process may be another one now. */
  isUnconfirmed(id: string): boolean;
  /** Returns the targets of a service that take requests now. */
  getUsable(service: string): readonly DirectTarget[];
  /** Identifies a version among those of its service. */
  getVersion(
    target: Pick<DirectTarget, "service" | "softwareVersion">,
  ): number;
  /** Returns the versions that the store names for a service. */
  tryGetSaved(service: string): SavedVersions | undefined;
  /** Identifies the resumable routes of a service in the configuration. */
  getRoutes(service: string): string;
  /** Returns the named versions at which streams may begin. */
  getUsableNames(service: string): ReadonlySet<string>;
  /** Returns the era of the store's entries; undefined when they may be old. */
  tryGetCurrentEra(): number | undefined;
}

/** Creates versions of services that are not known yet. */
export function createServiceVersions(
  host: ServiceVersionsHost,
): ServiceVersions {
  const startedAt = performance.now();
  /** When versions were last seen, on the monotonic clock, by service. */
  const seenTimes = new Map<string, Map<string, number>>();
  /** Versions at which streams begin; undefined for all, by service. */
  const beginNames = new Map<string, {
    readonly at: number;
    readonly names: ReadonlySet<string> | undefined;
  }>();

  return {
    record,
    tryGetOnly: (service) => {
      record();
      return peekOnly(service);
    },
    tryGetOnlyAtStart: (service) => {
      record();
      return peekOnlyAtStart(service);
    },
    isCurrent,
    mayBegin: (target) => mayBegin(target, getBeginNames),
    preview: {
      isCurrent,
      tryGetOnly: peekOnly,
      tryGetOnlyAtStart: peekOnlyAtStart,
      mayBegin: (target) => mayBegin(target, peekBeginNames),
    },
  };

  function record(): void {
    const now = performance.now();
    for (const { service, softwareVersion } of host.getTargets()) {
      const times = seenTimes.get(service) ?? new Map<string, number>();
      seenTimes.set(service, times);
      times.set(softwareVersion, now);
    }
    seenTimes.forEach((times, service) => {
      times.forEach((seenAt, version) => {
        if (now - seenAt > streamRecordTtlMs) times.delete(version);
      });
      if (times.size === 0) seenTimes.delete(service);
    });
  }

  function peekOnly(service: string): OnlyVersion | undefined {
    // Versions that went before this process started are not known to it.
    return performance.now() - startedAt < streamRecordTtlMs
      ? tryGetNamed(service)
      : tryGetSeen(service);
  }

  function peekOnlyAtStart(service: string): OnlyVersion | undefined {
    return performance.now() - startedAt < startMs
      ? tryGetNamed(service)
      : undefined;
  }

  function isCurrent(): boolean {
    return host.tryGetCurrentEra() !== undefined;
  }

  function tryGetSeen(service: string): OnlyVersion | undefined {
    // Streams may have begun at targets of which nothing is known here yet.
    if (!isCurrent()) return undefined;
    const names = getSeen(service);
    const [only = ""] = names;
    const version = host.getVersion({ service, softwareVersion: only });
    return names.length === 1 && version !== unknownVersion
      ? { version, source: "only_version" }
      : undefined;
  }

  /** Returns the versions that were seen lately or are present now. */
  function getSeen(service: string): readonly string[] {
    const oldest = performance.now() - streamRecordTtlMs;
    const seen = [...seenTimes.get(service) ?? []]
      .filter(([, seenAt]) => seenAt >= oldest).map(([name]) => name);
    const present = host.getTargets(service)
      .map(({ softwareVersion }) => softwareVersion);
    return [...new Set([...seen, ...present])];
  }

  function tryGetNamed(service: string): OnlyVersion | undefined {
    const only = tryGetOnlyNamed(host.tryGetSaved(service), {
      ...{ era: host.tryGetCurrentEra(), routes: host.getRoutes(service) },
      seen: getSeen(service),
      present: new Set(
        host.getTargets(service).map(({ softwareVersion }) => softwareVersion),
      ),
      nowMs: Date.now(),
    });
    if (only === undefined) return undefined;
    const version = host.getVersion({ service, softwareVersion: only });
    return version === unknownVersion
      ? undefined
      : { version, source: "named_version" };
  }

  function mayBegin(
    target: DirectTarget,
    getNames: (service: string) => ReadonlySet<string> | undefined,
  ): boolean {
    const { service, softwareVersion } = target;
    if (host.tryGetSaved(service) === undefined) return true;
    const names = getNames(service);
    return names === undefined ||
      (names.has(softwareVersion) && !host.isUnconfirmed(target.id));
  }

  function getBeginNames(service: string): ReadonlySet<string> | undefined {
    const names = peekBeginNames(service);
    const now = performance.now();
    const { at = -Infinity } = beginNames.get(service) ?? {};
    if (now - at >= beginTtlMs) beginNames.set(service, { at: now, names });
    return names;
  }

  function peekBeginNames(service: string): ReadonlySet<string> | undefined {
    const known = beginNames.get(service);
    const isKnown = known !== undefined &&
      performance.now() - known.at < beginTtlMs;
    if (isKnown) return known.names;
    const usable = host.getUsableNames(service);
    // The service goes before the resumption of its streams.
    const isServed = host.getUsable(service)
      .some((target) =>
        usable.has(target.softwareVersion) && !host.isUnconfirmed(target.id)
      );
    return isServed ? usable : undefined;
  }
}
