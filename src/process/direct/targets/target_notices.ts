/** Applies what targets say of themselves in their responses. */

import type { AskedPause, TargetNotice } from "../../../types/direct_calls.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";
import type { TargetLimits } from "../limits/target_limits.ts";
import type { TargetPauses } from "./target_pauses.ts";
import type { TargetTable } from "./target_table.ts";

/** What the notices need from the process. */
export interface TargetNoticesHost {
  readonly targets: Pick<TargetTable, "recordLeaving">;
  readonly pauses: Pick<TargetPauses, "recordPause">;
  readonly limits: Pick<TargetLimits, "record" | "recordWarmUp">;
  readonly metrics: Pick<Metrics, "count">;
  readonly log: Log;
}

/** The notices of all targets. */
export interface TargetNotices {
  /** Applies the notice of one response. */
  handle(
    target: DirectTarget,
    notice: TargetNotice,
    options: {
      /**
       * When the request was sent, on the monotonic clock; undefined when the
       * response may belong to another one.
       */
      readonly sentAt: number | undefined;
    },
  ): void;
}

/** Creates the handler of notices. */
export function createTargetNotices(host: TargetNoticesHost): TargetNotices {
  return { handle };

  function handle(
    target: DirectTarget,
    { isLeaving, pause, limit, warmUp }: TargetNotice,
    { sentAt }: { readonly sentAt: number | undefined },
  ): void {
    if (isLeaving) handleLeaving(target);
    host.limits.record(target.address, limit, { sentAt });
    host.limits.recordWarmUp(target, warmUp);
    handlePause(target, pause);
  }

  function handlePause(target: DirectTarget, pause: AskedPause): void {
    switch (pause.kind) {
      case "none":
        return;
      case "asked":
        host.metrics.count("target_pauses_total");
        return host.pauses.recordPause(target, pause.ms);
      case "unreadable":
        return host.metrics.count("target_pauses_unreadable_total");
    }
  }

  function handleLeaving(target: DirectTarget): void {
    const entryState = host.targets.recordLeaving(target);
    if (entryState === undefined) return;
    const { id, service } = target;
    host.log.info("Target says that it leaves", {
      ...{ target: id, service, entryState },
      first: entryState === "ready" ? "response" : "entry",
    });
  }
}
