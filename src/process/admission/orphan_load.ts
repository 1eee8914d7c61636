/**
 * Estimates the work that an earlier process of the agent left running at the
 * target, so that a restarted agent does not overload it. The target's report
 * lags, so it is compared with what this process had running at the report's
 * time. All work passes through the agent, so once reports describe a time
 * after its start, the orphaned work can only fall.
 */

/** The requests at a target, as the target reports them. */
export interface OccupancyReport {
  /** Requests running and waiting at the target. */
  readonly requests: number;
  /** Time that the report describes, in epoch milliseconds. */
  readonly at: number;
}

/** What the estimate needs from its agent. */
export interface OrphanLoadHost {
  /** Returns the number of requests that this process runs at the target. */
  getRunning(): number;
  /** Returns the work of a typical request, in work units per weight of 100. */
  getTypicalWork(): number;
  /** Sets the load that this process did not admit. */
  setForeignLoad(load: number): void;
}

/** The orphaned requests at one target. */
export interface OrphanLoad {
  /**
   * Records a report, or undefined when the target gave none. Must be called
   * about once a second.
   */
  recordReport(report: OccupancyReport | undefined): void;
  /** Returns the number of requests that an earlier process left. */
  getOrphans(): number;
}

/** Time for which samples of running requests are kept, in milliseconds. */
const historyMs = 10_000;

/** Tolerance between the times of a report and a sample, in milliseconds. */
const reportToleranceMs = 1_500;

/** Creates the estimate of a process that starts now. */
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

  /**
   * Returns the minimum number of requests that this process ran around a
   * time, so that the orphaned work is not underestimated.
   */
  function getMinRunning(at: number): number {
    const nearby = history.filter((sample) =>
      Math.abs(sample.at - at) < reportToleranceMs
    );
    if (nearby.length === 0) return 0;
    return Math.min(...nearby.map(({ running }) => running));
  }
}
