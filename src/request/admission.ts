/** Decides whether an attempt may join the line of its target. */

import type { CrashQuarantine } from "../process/attempts/crash_quarantine.ts";
import type { LoadGate } from "../process/admission/load_gate.ts";
import type { HealthChecker } from "../process/membership/health_checker.ts";
import type { WorkQueue } from "../process/admission/work_queue.ts";
import type { Refusal } from "../types/answer.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { RunOrder } from "../types/run_order.ts";

/** What admission uses of its agent. */
export interface AdmissionHost {
  readonly gate: LoadGate;
  readonly queue: WorkQueue;
  readonly quarantine: CrashQuarantine;
  readonly watch: Pick<HealthChecker, "isUp">;
  /** True when the agent takes no new work. */
  isLeaving(): boolean;
}

/** One attempt that asks for admission. */
export interface AdmissionQuestion {
  readonly order: RunOrder;
  /** Its work, in work units per weight of 100. */
  readonly work: number;
  /** True when the target holds the context of the chat. */
  readonly isHeld: boolean;
}

/** Time after which a refused router may try this target again, in ms. */
export const downRetryAfterMs = 1_000;

/** Every reason to turn an attempt away before it is queued. */
export function tryRefuse(
  host: AdmissionHost,
  { order, work, isHeld }: AdmissionQuestion,
): Refusal | undefined {
  if (host.isLeaving()) return createRefusal("target_leaving", 0);
  if (!host.watch.isUp()) return createRefusal("no_target", downRetryAfterMs);
  const verdict = host.quarantine.check(order.fingerprint, order.crashes);
  if (verdict.kind === "condemned") {
    return createRefusal("request_quarantined", 0);
  }
  if (order.onlyIfHeld && !isHeld) {
    return createRefusal("context_not_held", 0);
  }
  const decision = host.gate.check({
    work,
    observedLoads: order.observedLoads,
    silentTargets: order.silentTargets,
    isHeld: isHeld || !order.isChat,
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
