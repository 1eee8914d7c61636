/**
 * Counts work at a target that an earlier process of its agent has left
 * there. The target's report is late, so it is compared with what this
 * process had running at the report's time. All work passes through the
 * agent, so once reports reach past its start, what is left can only fall.
 */

/** A target's report of its own load. */
export interface OccupancyReport {
  /** Requests running and waiting at the target. */
  readonly requests: number;
  /** Time that the report describes, in epoch milliseconds. */
  readonly at: number;
}

/** What the count needs from outside. */
export interface OrphanLoadHost {
  /** Requests that this process has running at the target. */
  getRunning(): number;
  /** Work of a usual request, in work units per weight of 100. */
  getTypicalWork(): number;
  /** Takes the load that is not this process's own. */
  setForeignLoad(load: number): void;
}

/** The count of left work. */
export interface OrphanLoad {
  /** Takes a report, or the lack of one; call it about every second. */
  recordReport(report: OccupancyReport | undefined): void;
  /** Requests left by an earlier process. */
  getOrphans(): number;
}

/** Time for which own counts are kept, in milliseconds. */
const historyMs = 10_000;

/** Error allowed between a report's time and the own counts, in ms. */
const reportToleranceMs = 1_500;

/** Creates a count for a process that starts now. */
export function createOrphanLoad(host: OrphanLoadHost): OrphanLoad {
  const startedAt = Date.now();
  let history: { readonly at: number; readonly running: number }[] = [];
  let orphans = 0;

  return { recordReport, getOrphans: () => orphans };

  function recordReport(report: OccupancyReport | undefined): void {
    const now = Date.now();
    history = history.filter(({ at }) => at > now - historyMs);
    history.push({ at: now, running: host.getRunning() });
    if (report === undefined) return;
    const orphaned = Math.max(0, report.requests - getMinRunning(report.at));
    const mayGrow = report.at < startedAt + reportToleranceMs;
    orphans = mayGrow
      ? Math.max(orphans, orphaned)
      : Math.min(orphans, orphaned);
    host.setForeignLoad(orphans * host.getTypicalWork());
  }

  /** The least that ran about then, so that own work is never taken off. */
  function getMinRunning(at: number): number {
    const nearby = history.filter((sample) =>
      Math.abs(sample.at - at) < reportToleranceMs
    );
    if (nearby.length === 0) return 0;
    return Math.min(...nearby.map(({ running }) => running));
  }
}
