/** The ends of direct requests that have no whole response. */

import {
  getRetryAfterMs,
  type TargetQueue,
} from "../process/direct/limits/admission_estimate.ts";
import type { QuarantineRefusal } from "../process/direct/crashes/quarantine.ts";
import type { CrashKey } from "../process/direct/crashes/crash_keys.ts";
import { createReport, type DiagnosticCode } from "../types/diagnostics.ts";
import type { RequestEnd } from "../types/reply.ts";
import type { DirectChoice } from "./direct_choice.ts";
import type { DirectHost } from "./direct_host.ts";
import type { DirectStreamVersion } from "./direct_stream_version.ts";
import { createEnd } from "./request_end.ts";
import type { StopReason } from "./request_stop.ts";

/**
 * Time in which another target may have started for a service of which only targets
 * in evacuated zones are left, in milliseconds.
 */
const evacuatedDelayMs = 1_000;

/** Returns the queue at a chosen target. */
export function getTargetQueue(
  host: Pick<DirectHost, "runTimes">,
  { target: { service, slots }, load }: DirectChoice,
): TargetQueue {
  return { load, slots, meanRunMs: host.runTimes.tryGetMeanMs(service) };
}

/** Creates the end of a request that no target has taken. */
export function createUnservedEnd(
  host: {
    readonly limits: Pick<
      DirectHost["limits"],
      "areAllLimited" | "reserveReturn"
    >;
    readonly pauses: Pick<DirectHost["pauses"], "getFirstEndMs" | "getUsable">;
    readonly targets: Pick<DirectHost["targets"], "getEvacuated" | "getReady">;
    random(): number;
  },
  service: string,
  { lastRefusal: lastCode, lastQueue, timeLeftMs, streamVersion }: {
    readonly lastRefusal: DiagnosticCode | undefined;
    /** Queue of the last target that refused or would come too late. */
    readonly lastQueue: TargetQueue | undefined;
    readonly timeLeftMs: number;
    readonly streamVersion: Pick<
      DirectStreamVersion,
      "mayUse" | "tryGetRefusal"
    >;
  },
): RequestEnd {
  const ready = host.targets.getReady(service);
  const open = host.pauses.getUsable(ready).filter(streamVersion.mayUse);
  const versionRefusal = streamVersion.tryGetRefusal();
  const isEvacuated = ready.length === 0 &&
    host.targets.getEvacuated(service).length > 0;
  if (isEvacuated && versionRefusal !== "stream_version_gone") {
    return createEnd(createReport("zone_evacuated", { service }, {
      retryAfterMs: getRetryAfterMs(undefined, {
        ...{ timeLeftMs, pausedMs: evacuatedDelayMs, random: host.random() },
      }),
    }));
  }
  // Targets outside of the evacuated zone are left, and tell more.
  const lastRefusal = lastCode === "zone_evacuated" ? undefined : lastCode;
  const isLimited = lastRefusal === undefined ||
    lastRefusal === "target_limited";
  if (isLimited && host.limits.areAllLimited(open)) {
    return createEnd(createReport("target_limited", { service }, {
      retryAfterMs: host.limits.reserveReturn(service, open),
    }));
  }
  if (versionRefusal === "stream_version_gone") {
    return createEnd(createReport(versionRefusal, { service }));
  }
  const code = lastRefusal ?? versionRefusal ??
    (ready.length > 0 ? "target_full" : "no_target");
  return createEnd(createReport(code, { service }, {
    retryAfterMs: getRetryAfterMs(lastQueue, {
      timeLeftMs,
      pausedMs: host.pauses.getFirstEndMs(ready),
      random: host.random(),
    }),
  }));
}

/** Creates the end of a request that a target may have run. */
export function createLostEnd(
  code: DiagnosticCode | undefined,
  sentBytes: number,
): RequestEnd {
  return createEnd(
    createReport(code ?? "outcome_unknown", { bytes: sentBytes }),
  );
}

/** Creates the end of a request that stopped at its deadline or its caller. */
export function createStoppedEnd(
  reason: StopReason | undefined,
  mayHaveRun: boolean,
): RequestEnd {
  if (reason === "caller_gone") return createEnd(createReport("caller_gone"));
  return createEnd(
    createReport(mayHaveRun ? "deadline_exceeded" : "deadline_passed"),
  );
}

/** Diagnostics of what is quarantined. */
const quarantineCodes = {
  request: "request_crashes_targets",
  variant: "request_crashes_targets",
  part: "prompt_part_crashes_targets",
} as const satisfies Readonly<Record<CrashKey["kind"], DiagnosticCode>>;

/** Creates the end of a request that is quarantined. */
export function createQuarantinedEnd(
  { key, crashes, retryAfterMs }: QuarantineRefusal,
): RequestEnd {
  const code = quarantineCodes[key.kind];
  const values = { crashes, part: key.label };
  return createEnd(createReport(code, values, { retryAfterMs }));
}
