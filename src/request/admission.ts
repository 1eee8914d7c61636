/** Decides whether an attempt may join the line of its target. */

import type { CrashQuarantine } from "../process/attempts/crash_quarantine.ts";
import type { LoadGate } from "../process/admission/load_gate.ts";
import type { TargetWatch } from "../process/membership/target_watch.ts";
import type { WorkQueue } from "../process/admission/work_queue.ts";
import type { Refusal } from "../types/answer.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { RunOrder } from "../types/run_order.ts";

/** What admission uses of its agent. */
export interface AdmissionHost {
  readonly gate: LoadGate;
  readonly queue: WorkQueue;
  readonly quarantine: CrashQuarantine;
  readonly watch: Pick<TargetWatch, "isUp">;
  /** True when the agent takes no new work. */
  isLeaving(): boolean;
}

/** One attempt that asks for admission. */
export interface AdmissionRequest {
  readonly order: RunOrder;
  /** Its work, in work units per weight of 100. */
  readonly work: number;
  /** True when the target holds the context of the chat. */
  readonly hasContext: boolean;
}

/** Time after which a refused router may try this target again, in ms. */
export const downRetryAfterMs = 1_000;

/** Every reason to turn an attempt away before it is queued. */
export function checkAdmission(
  host: AdmissionHost,
  { order, work, hasContext }: AdmissionRequest,
): Refusal | undefined {
  if (host.isLeaving()) return createRefusal("target_leaving", 0);
  if (!host.watch.isUp()) return createRefusal("no_target", downRetryAfterMs);
  const verdict = host.quarantine.check(order.fingerprint, order.crashes);
  if (verdict.kind === "condemned") {
    return createRefusal("request_quarantined", 0);
  }
  if (order.onlyIfHeld && !hasContext) {
    return createRefusal("context_not_held", 0);
  }
  const decision = host.gate.check({
    work,
    observedLoads: order.observedLoads,
    silentTargets: order.silentTargets,
    isHeld: hasContext || !order.isChat,
  });
  if (decision.kind === "admitted") return undefined;
  const excess = host.gate.getLoad() + work - decision.bound;
  return createRefusal("target_full", host.queue.estimateMs(excess));
}

/** Builds the proof that an attempt does not run. */
export function createRefusal(
  code: DiagnosticCode,
  retryAfterMs: number,
): Refusal {
  return { kind: "refusal", code, retryAfterMs: Math.round(retryAfterMs) };
}
