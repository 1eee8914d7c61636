/** Reports the own load and keeps the mean loads that others' reports give. */

import type { LoadReport } from "../../generated/mimosatray/v1/control.ts";
import type { Member } from "../../types/member.ts";
import type { MeanLoadEstimate } from "../../types/view.ts";
import { createMean, type Mean } from "./mean_estimate.ts";
import type { Membership } from "../membership/membership.ts";

/** Loads of the own service and of others. */
export interface LoadReports {
  setSource(read: () => number): void;
  /** The report of this process; `undefined` when it takes no work. */
  tryGetOwn(): LoadReport | undefined;
  /** Takes the report of a member. */
  note(id: string, report: LoadReport | undefined): void;
  /** Forgets the report of a member that serves no more. */
  forget(member: Member): void;
  getMean(service: string): MeanLoadEstimate;
}

/** Creates reports without any load. */
export function createLoadReports(
  membership: Membership,
  options: Parameters<typeof createMean>[0],
): LoadReports {
  const means = new Map<string, Mean>();
  let readLoad: () => number = () => 0;

  return {
    setSource: (read) => {
      readLoad = read;
    },
    tryGetOwn,
    note,
    forget: (member) => means.get(member.service)?.forget(member.id),
    getMean,
  };

  function tryGetOwn(): LoadReport | undefined {
    const self = membership.getSelf();
    if (self.role !== "agent" || self.state !== "live") return undefined;
    return {
      service: self.service,
      load: Math.round(readLoad()),
      mean: Math.round(getMean(self.service).mean),
    };
  }

  function note(id: string, report: LoadReport | undefined): void {
    if (report === undefined || report.service === "") return;
    const member = membership.table.tryGet(id);
    if (member?.service !== report.service) return;
    if (member.state === "leaving" || member.state === "dead") return;
    getOrCreate(report.service).note(id, report);
  }

  function getOrCreate(service: string): Mean {
    let mean = means.get(service);
    if (mean === undefined) {
      mean = createMean(options);
      means.set(service, mean);
    }
    return mean;
  }

  function getMean(service: string): MeanLoadEstimate {
    const self = membership.getSelf();
    const isOwn = self.service === service && self.role === "agent";
    const targets = membership.countTargets(service);
    const ownLoad = isOwn ? readLoad() : undefined;
    const mean = means.get(service);
    if (mean !== undefined) return mean.get(targets, ownLoad);
    return { mean: ownLoad ?? 0, targets, ageMs: 0 };
  }
}
