/** What running a direct request needs, and how one of its attempts ends. */

import type { RunTimes } from "../process/direct/limits/admission_estimate.ts";
import type { CachedParts } from "../process/direct/placement/cached_parts.ts";
import type { ReadPace } from "../process/admission/read_pace.ts";
import type { Quarantine } from "../process/direct/crashes/quarantine.ts";
import type { CrashSuspects } from "../process/direct/crashes/crash_suspects.ts";
import type { LoadView } from "../process/direct/targets/load_view.ts";
import type { MemoryBudget } from "../process/direct/limits/memory_budget.ts";
import type { PartDemand } from "../process/direct/placement/part_demand.ts";
import type { PartPrefills } from "../process/direct/placement/part_prefills.ts";
import type { PrefillTurns } from "../process/direct/placement/prefill_turns.ts";
import type { PromptSizes } from "../process/direct/placement/prompt_sizes.ts";
import type { EngineMemory } from "../process/direct/limits/engine_memory.ts";
import type { RepeatRecords } from "../process/direct/queue/repeat_records.ts";
import type { RequestQueue } from "../process/direct/queue/request_queue.ts";
import type { Contention } from "../process/direct/limits/contention.ts";
import type { RetryShare } from "../process/direct/limits/retry_share.ts";
import type { AbortedAttempts } from "../process/direct/crashes/aborted_attempts.ts";
import type { TargetCrashes } from "../process/direct/crashes/target_crashes.ts";
import type { TargetHealth } from "../process/direct/targets/target_health.ts";
import type { ServiceVersions } from "../process/direct/streams/service_versions.ts";
import type { StreamOrigins } from "../process/direct/streams/stream_origins.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import type { TargetPace } from "../process/direct/targets/target_pace.ts";
import type { TargetPauses } from "../process/direct/targets/target_pauses.ts";
import type { TargetSpeeds } from "../process/direct/targets/target_speeds.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { DirectCalls, DirectResult, Hold } from "../types/direct_calls.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import {
  getProof,
  type NotRunProof,
  type ProvenResult,
  tryGetProof,
} from "../types/not_run_proof.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { ChoiceHost } from "./direct_choice.ts";

/** What running a request needs from the process. */
export interface DirectHost extends ChoiceHost {
  readonly calls: DirectCalls;
  readonly targets: Pick<
    TargetTable,
    | "getAll"
    | "getEvacuated"
    | "getLeaving"
    | "getReady"
    | "isEvacuated"
    | "isUnconfirmed"
  >;
  readonly streamOrigins: Pick<
    StreamOrigins,
    "getVersion" | "lookUp" | "record"
  >;
  readonly serviceVersions: Pick<
    ServiceVersions,
    "isCurrent" | "mayBegin" | "tryGetOnly" | "tryGetOnlyAtStart"
  >;
  readonly health: Pick<
    TargetHealth,
    | "getUsable"
    | "isReachable"
    | "isUsable"
    | "recordOutcome"
    | "recordSent"
  >;
  readonly pauses: Pick<
    TargetPauses,
    "begin" | "getFirstEndMs" | "getUsable" | "isPaused"
  >;
  readonly limits: Pick<
    TargetLimits,
    | "areAllLimited"
    | "getUsable"
    | "isLimited"
    | "reserveReturn"
    | "tryGetSlotState"
    | "tryTake"
  >;
  readonly promptSizes: PromptSizes;
  readonly engineMemory: EngineMemory;
  readonly contention: Contention;
  readonly pace: Pick<TargetPace, "begin" | "getUsable" | "tryGetBound">;
  readonly speeds: TargetSpeeds;
  readonly queue: Pick<
    RequestQueue,
    | "enter"
    | "enterUnheld"
    | "hasTimeFor"
    | "preview"
    | "recordRefused"
    | "tryGetEngine"
  >;
  readonly repeats: Pick<RepeatRecords, "recordRefusal" | "tryGetPlaceTime">;
  readonly loads: Pick<LoadView, "getLoad" | "begin">;
  readonly cachedParts: Pick<CachedParts, "getCachedTokens" | "isCached"> & {
    /** Records that a target gets `parts` and prefills `prefillParts`. */
    recordParts(
      target: string,
      parts: readonly PromptPart[],
      prefillParts: readonly PromptPart[],
    ): void;
  };
  readonly partDemand: Pick<
    PartDemand,
    "beginCopy" | "hasCopyFailed" | "isCopying" | "recordRequest" | "tryGetPerS"
  >;
  readonly prefills: Pick<PartPrefills, "begin" | "wait">;
  /** Without turns, each router prefills what it does not know. */
  readonly prefillTurns?: PrefillTurns;
  readonly retries: Pick<
    RetryShare,
    "recordRequest" | "recordSent" | "recordUnsent" | "trySpend"
  >;
  readonly crashes: Pick<
    CrashSuspects,
    "canRetry" | "recordCrash" | "recordResponse"
  >;
  readonly quarantine: Quarantine;
  readonly targetCrashes: Pick<TargetCrashes, "check" | "hasCrashed">;
  readonly abortedAttempts: Pick<AbortedAttempts, "add">;
  readonly runTimes: RunTimes;
  readonly responseMemory: Pick<MemoryBudget, "begin">;
  readonly readPace: ReadPace;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "count">;
  /** Returns true when timers fire late, as the event loop has much to do. */
  isLoopBusy(): boolean;
}

/**
 * How one attempt ended.
 * - `done`: the response was forwarded to its end.
 * - `not_run`: it is proven that the target has not run the request; `arrived` is
 *   true when the request reached it.
 * - `error_answer`: the target's error response was forwarded.
 * - `repeat`: the target responded with an error and a retry is granted.
 * - `lost`: the target may have run the request, but its response is lost or
 *   incomplete.
 * - `stopped`: the deadline passed or the caller disconnected.
 */
export type AttemptEnd =
  | { readonly kind: "done" }
  | {
    readonly kind: "not_run";
    readonly code: DiagnosticCode;
    readonly proof: NotRunProof;
    readonly arrived: boolean;
  }
  | { readonly kind: "error_answer" }
  | { readonly kind: "repeat"; readonly code: DiagnosticCode }
  | {
    readonly kind: "lost";
    readonly code: DiagnosticCode;
    readonly reason: string;
  }
  | { readonly kind: "stopped" };

/** Creates the end of an attempt that the target has not run. */
export function createNotRun(
  code: DiagnosticCode,
  { kind }: ProvenResult,
): AttemptEnd {
  const proof = getProof(kind);
  return { kind: "not_run", code, proof, arrived: proof === "stated" };
}

/** Diagnostics of a request that was not sent. */
export const holdCodes = {
  leaving: "target_leaving",
  evacuated: "zone_evacuated",
  paused: "target_full",
  busy: "target_full",
  limited: "target_limited",
  quarantined: "request_crashes_targets",
  late: "deadline_passed",
} as const satisfies Readonly<Record<Hold, DiagnosticCode>>;

/**
 * Returns true when a request was not sent because the target to copy from is in
 * an evacuated zone and the chosen one is not, which then may still receive it.
 */
export function isOnlySourceEvacuated(
  { targets }: Pick<DirectHost, "targets">,
  hold: Hold,
  target: DirectTarget,
): boolean {
  return hold === "evacuated" && !targets.isEvacuated(target);
}

/** Returns true when the request of the call may have reached its target. */
export function mayHaveArrived({ kind }: DirectResult): boolean {
  const proof = tryGetProof(kind);
  return proof === undefined || proof === "stated";
}
