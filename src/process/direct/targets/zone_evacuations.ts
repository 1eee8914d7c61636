/**
 * Tracks the zones to whose targets nothing more is to be sent.
 *
 * Load pattern: an operator evacuates a zone under full load, while requests wait
 * for connections to its targets and routers start, and ends it a minute later,
 * when all targets of the zone come back at once.
 */

import type { Log } from "../../telemetry/log.ts";

/** The evacuations of all zones. */
export interface ZoneEvacuations {
  /** Begins the evacuation of a zone; one that lasts already goes on. */
  begin(zone: string, origin: Readonly<Record<string, unknown>>): void;
  /** Ends the evacuation of a zone, if there is one. */
  end(zone: string, origin: Readonly<Record<string, unknown>>): void;
  isEvacuated(zone: string): boolean;
  /** Returns the zones that are evacuated, sorted. */
  getAll(): readonly string[];
  /** Returns a number that changes with the set of evacuated zones. */
  getGeneration(): number;
  /**
   * Returns when the last evacuation of a zone ended, on the monotonic clock;
   * undefined when none has ended since this router started.
   */
  tryGetEndedAt(zone: string): number | undefined;
  /** Logs, once for each evacuation, that a zone has no targets. */
  reportUnknown(hasTargets: (zone: string) => boolean): void;
}

/** Maximum number of zones whose end is remembered; the oldest is dropped. */
const maxEnded = 256;

/** Creates a record without evacuated zones. */
export function createZoneEvacuations(
  host: {
    readonly log: Pick<Log, "info" | "warn">;
    /** Called when an evacuation has begun. */
    handleBegin?(): void;
  },
): ZoneEvacuations {
  const evacuated = new Set<string>();
  const endTimes = new Map<string, number>();
  /** Zones that were looked for among the targets. */
  const checked = new Set<string>();
  let generation = 0;

  return {
    begin,
    end,
    isEvacuated: (zone) => evacuated.has(zone),
    getAll: () => [...evacuated].sort(),
    getGeneration: () => generation,
    tryGetEndedAt: (zone) => endTimes.get(zone),
    reportUnknown,
  };

  function begin(
    zone: string,
    origin: Readonly<Record<string, unknown>>,
  ): void {
    if (evacuated.has(zone)) return;
    evacuated.add(zone);
    generation++;
    host.log.info("Zone is evacuated", { zone, ...origin });
    host.handleBegin?.();
  }

  function end(zone: string, origin: Readonly<Record<string, unknown>>): void {
    if (!evacuated.delete(zone)) return;
    checked.delete(zone);
    generation++;
    endTimes.delete(zone);
    endTimes.set(zone, performance.now());
    const [oldest] = endTimes.keys();
    if (endTimes.size > maxEnded && oldest !== undefined) {
      endTimes.delete(oldest);
    }
    host.log.info("Evacuation of a zone has ended", { zone, ...origin });
  }

  function reportUnknown(hasTargets: (zone: string) => boolean): void {
    if (checked.size === evacuated.size) return;
    for (const zone of evacuated) {
      if (checked.has(zone)) continue;
      checked.add(zone);
      if (hasTargets(zone)) continue;
      host.log.warn("Evacuated zone has no targets", { zone });
    }
  }
}
