/**
 * Sums the demand for services that the other routers report in digests.
 *
 * Load pattern: hundreds of routers report some times a second, and each request
 * asks for the sum. The reports are summed when they arrive. A report counts in
 * full while the next one may still be on its way, and not at all once its
 * sender must be considered dead or cut off.
 */

import type { Log } from "../../telemetry/log.ts";

/** Demand of one router for one priority class of a service. */
export interface ServiceDemand {
  readonly service: string;
  /** Priority class from 0 (most urgent) to 9. */
  readonly priorityClass: number;
  /** Requests that the router has sent and whose attempts have not ended. */
  readonly running: number;
  /** Requests that wait in the router. */
  readonly waiting: number;
}

/** Requests that run and wait, of one priority class. */
export interface ClassDemand {
  readonly running: number;
  readonly waiting: number;
}

/** Number of priority classes. */
export const classCount = 10;

/** Maximum number of demands in one report, which has little space. */
export const maxReportedDemands = 8;

/** Time for which a peer's report is used, in ms; several report intervals. */
const reportTtlMs = 2_500;

/** Largest number of requests that one report may name. */
const maxReported = 100_000;

/** Demand of all peers, as far as they have reported it. */
export interface PeerDemand {
  /** Records a peer's report, which replaces the previous one. */
  recordReport(peer: string, demands: readonly ServiceDemand[]): void;
  /** Returns the sums of a service by priority class. */
  getDemand(service: string): readonly ClassDemand[];
  /** Returns the number of peers that have reported lately. */
  countHeard(): number;
}

const noDemand: readonly ClassDemand[] = Array.from(
  { length: classCount },
  () => ({ running: 0, waiting: 0 }),
);

/** Creates the demand of peers that have reported nothing. */
export function createPeerDemand(log: Pick<Log, "info">): PeerDemand {
  let hasLoggedInvalid = false;
  /** Reports by peer, the oldest first. */
  const reports = new Map<
    string,
    { readonly at: number; readonly demands: readonly ServiceDemand[] }
  >();
  const sums = new Map<string, ClassDemand[]>();

  return { recordReport, getDemand, countHeard };

  function recordReport(
    peer: string,
    demands: readonly ServiceDemand[],
  ): void {
    const valid = demands.filter(isValid);
    if (valid.length < demands.length && !hasLoggedInvalid) {
      hasLoggedInvalid = true;
      const invalid = demands.find((demand) => !isValid(demand));
      log.info("Peer reports demand that cannot be used", { peer, ...invalid });
    }
    removeReport(peer);
    reports.set(peer, { at: performance.now(), demands: valid });
    valid.forEach((demand) => add(demand, 1));
  }

  function removeReport(peer: string): void {
    const report = reports.get(peer);
    if (report === undefined) return;
    reports.delete(peer);
    report.demands.forEach((demand) => add(demand, -1));
  }

  function add(
    { service, priorityClass, running, waiting }: ServiceDemand,
    sign: 1 | -1,
  ): void {
    const classes = sums.get(service) ?? [...noDemand];
    const sum = classes[priorityClass] ?? { running: 0, waiting: 0 };
    classes[priorityClass] = {
      running: sum.running + sign * running,
      waiting: sum.waiting + sign * waiting,
    };
    const isEmpty = classes.every((demand) =>
      demand.running === 0 && demand.waiting === 0
    );
    if (isEmpty) sums.delete(service);
    else sums.set(service, classes);
  }

  function removeExpired(): void {
    const oldest = performance.now() - reportTtlMs;
    for (const [peer, { at }] of reports) {
      if (at >= oldest) return;
      removeReport(peer);
    }
  }

  function getDemand(service: string): readonly ClassDemand[] {
    removeExpired();
    return sums.get(service) ?? noDemand;
  }

  function countHeard(): number {
    removeExpired();
    return reports.size;
  }
}

/** Any process may send digests, so counts of another form are left out. */
function isValid(
  { priorityClass, running, waiting }: ServiceDemand,
): boolean {
  return priorityClass < classCount && running <= maxReported &&
    waiting <= maxReported;
}
