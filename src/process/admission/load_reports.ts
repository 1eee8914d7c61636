/**
 * Reports the load of this process, and estimates the mean load of each service
 * from the reports of other members.
 */

import type { LoadReport } from "../../generated/mimosatray/v1/control.ts";
import type { Member } from "../../types/member.ts";
import type { MeanLoadEstimate } from "../../types/view.ts";
import { createMeanEstimator, type MeanEstimator } from "./mean_estimator.ts";
import type { Membership } from "../membership/membership.ts";

/** Load reports sent and received by this process. */
export interface LoadReports {
  /** Sets how this process's load is read, in work units per weight of 100. */
  setLoadSource(read: () => number): void;
  /** Returns the report of this process; undefined if it accepts no work. */
  tryGetOwnReport(): LoadReport | undefined;
  /** Records the report of a member. */
  recordReport(id: string, report: LoadReport | undefined): void;
  /** Removes the report of a member that no longer serves. */
  removeReport(member: Member): void;
  getMean(service: string): MeanLoadEstimate;
}

/** Creates load reports; none is received yet. */
export function createLoadReports(
  membership: Membership,
  options: Parameters<typeof createMeanEstimator>[0],
): LoadReports {
  const estimators = new Map<string, MeanEstimator>();
  let readLoad: () => number = () => 0;

  return {
    setLoadSource: (read) => {
      readLoad = read;
    },
    tryGetOwnReport,
    recordReport,
    removeReport: (member) =>
      estimators.get(member.service)?.removeReport(member.id),
    getMean,
  };

  function tryGetOwnReport(): LoadReport | undefined {
    const self = membership.getSelf();
    if (self.role !== "agent" || self.state !== "live") return undefined;
    return {
      service: self.service,
      load: Math.round(readLoad()),
      mean: Math.round(getMean(self.service).mean),
    };
  }

  function recordReport(id: string, report: LoadReport | undefined): void {
    if (report === undefined || report.service === "") return;
    const member = membership.table.tryGet(id);
    if (member?.service !== report.service) return;
    if (member.state === "leaving" || member.state === "dead") return;
    getOrCreateEstimator(report.service).recordReport(id, report);
  }

  function getOrCreateEstimator(service: string): MeanEstimator {
    let estimator = estimators.get(service);
    if (estimator === undefined) {
      estimator = createMeanEstimator(options);
      estimators.set(service, estimator);
    }
    return estimator;
  }

  function getMean(service: string): MeanLoadEstimate {
    const self = membership.getSelf();
    const isOwn = self.service === service && self.role === "agent";
    const targets = membership.countTargets(service);
    const ownLoad = isOwn ? readLoad() : undefined;
    const estimator = estimators.get(service);
    if (estimator !== undefined) return estimator.get(targets, ownLoad);
    return { mean: ownLoad ?? 0, targets, ageMs: 0 };
  }
}
