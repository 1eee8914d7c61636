/**
 * Decides whether an attempt may enter the queue of its target. A refusal is
 * sent at once, so that the router can choose another target early.
 */

import type { CrashQuarantine } from "../process/attempts/crash_quarantine.ts";
import type { LoadGate } from "../process/admission/load_gate.ts";
import type { HealthChecker } from "../process/membership/health_checker.ts";
import type { WorkQueue } from "../process/admission/work_queue.ts";
import type { Refusal } from "../types/response.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { RunOrder } from "../types/run_order.ts";

/** Parts of the agent that admission reads. */
export interface AdmissionHost {
  readonly gate: LoadGate;
  readonly queue: WorkQueue;
  readonly quarantine: CrashQuarantine;
  readonly watch: Pick<HealthChecker, "isUp">;
  /** Returns true when the agent accepts no new work. */
  isLeaving(): boolean;
}

/** An attempt that asks for admission. */
export interface AdmissionRequest {
  readonly order: RunOrder;
  /** Work of the attempt, in work units per weight of 100. */
  readonly work: number;
  /** True when the target has the context of the chat in its cache. */
  readonly hasContext: boolean;
}

/**
 * Retry-after delay of a target that is down or unreachable, in milliseconds.
 */
export const downRetryAfterMs = 1_000;

/**
 * Returns the reason to refuse an attempt before it is queued, or undefined
 * when it may be queued.
 */
export function checkAdmission(
  host: AdmissionHost,
  { order, work, hasContext }: AdmissionRequest,
): Refusal | undefined {
  if (host.isLeaving()) return createRefusal("target_leaving", 0);
  if (!host.watch.isUp()) return createRefusal("no_target", downRetryAfterMs);
  const verdict = host.quarantine.check(order.fingerprint, order.crashes);
  if (verdict.kind === "quarantined") {
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
  return createRefusal("target_full", host.queue.estimateRetryAfterMs(excess));
}

/** Creates a refusal, which proves that the attempt does not run. */
export function createRefusal(
  code: DiagnosticCode,
  retryAfterMs: number,
): Refusal {
  return { kind: "refusal", code, retryAfterMs: Math.round(retryAfterMs) };
}
