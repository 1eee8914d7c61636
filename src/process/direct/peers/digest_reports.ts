/** Converts what routers report of targets and demand to messages and back. */

import type {
  PartRate as RateMessage,
  ServiceDemand as DemandMessage,
  TargetLeave as LeaveMessage,
  TargetLimit as LimitMessage,
  TargetLoadReport,
  TargetPace as PaceMessage,
} from "../../../generated/mimosatray/v1/peer_digest.ts";
import {
  limitCount,
  maxTokens,
  tryGetEpochMs,
} from "../../../types/stated_numbers.ts";
import type { LimitRecord } from "../limits/limit_records.ts";
import type { PartRate } from "../placement/part_demand.ts";
import type { ServiceDemand } from "../queue/peer_demand.ts";
import type { TargetLoad } from "../targets/load_view.ts";
import type { PaceRecord } from "../targets/pace_steps.ts";
import type { TargetLeave } from "../targets/target_table.ts";

/** Highest rate of a part that a report gives, in requests in 10 seconds. */
const maxPer10s = 100_000;

/** Maximum age that a report of a limit gives, in milliseconds. */
const maxLimitAgeMs = 3_600_000;

/** Converts the load of a target. */
export function toLoadReport(
  [target, load]: readonly [string, TargetLoad],
): TargetLoadReport {
  return {
    target,
    requests: load.requests,
    unreadTokens: limitCount(load.unreadTokens),
  };
}

/** A backlog that the reported requests cannot have is that of the largest. */
export function toLoad(
  { requests, unreadTokens }: TargetLoadReport,
): TargetLoad {
  const maxUnread = requests * maxTokens;
  return { requests, unreadTokens: Math.min(unreadTokens, maxUnread) };
}

/** A start time of another form, which an entry may have, is not reported. */
export function toLeaveReport(
  { id, startedAtMs }: TargetLeave,
): readonly LeaveMessage[] {
  const startedAt = tryGetEpochMs(startedAtMs);
  return startedAt === undefined
    ? []
    : [{ target: id, startedAtMs: startedAt }];
}

/** Converts a limit to a message with its age. */
export function toLimitReport(
  { address, perS, at }: LimitRecord,
): LimitMessage {
  const ageMs = Math.round(performance.now() - at);
  return { address, perS, ageMs: Math.max(0, Math.min(maxLimitAgeMs, ageMs)) };
}

/** A rate of another form, which no router sends, is left out. */
export function toLimitRecord(
  { address, perS, ageMs }: LimitMessage,
): readonly LimitRecord[] {
  return perS === undefined || (Number.isFinite(perS) && perS >= 0)
    ? [{ address, perS, at: performance.now() - ageMs }]
    : [];
}

/** Converts the bound of a target that has started or recovered. */
export function toPaceReport(
  { hash, version, bound, ageMs }: PaceRecord,
): PaceMessage {
  return { hash, version, bound, ageMs: Math.max(0, Math.round(ageMs)) };
}

/** Numbers of each priority class in the message of a service's demand. */
const countsPerClass = 3;

/** Converts demands to one message for each service. */
export function toDemandMessages(
  demands: readonly ServiceDemand[],
): DemandMessage[] {
  const countsByService = new Map<string, number[]>();
  for (const { service, priorityClass, running, waiting } of demands) {
    const counts = countsByService.get(service) ?? [];
    counts.push(priorityClass, running, waiting);
    countsByService.set(service, counts);
  }
  return [...countsByService].map(([service, counts]) => ({ service, counts }));
}

/** Numbers of a class that are not complete, which no router sends, are lost. */
export function toDemands(
  { service, counts }: DemandMessage,
): readonly ServiceDemand[] {
  const length = Math.floor(counts.length / countsPerClass);
  return Array.from({ length }, (_, index) => {
    const at = index * countsPerClass;
    const [priorityClass = 0, running = 0, waiting = 0] = counts
      .slice(at, at + countsPerClass);
    return { service, priorityClass, running, waiting };
  });
}

/** Converts the rate of requests for a part. */
export function toRateMessage({ hash, perS }: PartRate): RateMessage {
  return { hash, per10s: Math.min(maxPer10s, Math.round(perS * 10)) };
}
