/** Executes one attempt at the agent, from admission to its last event. */

import type {
  TargetClient,
  TargetError,
  TargetResponse,
} from "../connection/target_client.ts";
import { toTargetError } from "../connection/target_client.ts";
import type { ResponseBuffer } from "../process/attempts/response_buffer.ts";
import type {
  AttemptEntry,
  AttemptTable,
} from "../process/attempts/attempt_table.ts";
import type { BodyDigests } from "../process/attempts/body_digest.ts";
import type { ContextIndex } from "../process/placement/context_index.ts";
import type { CrashQuarantine } from "../process/attempts/crash_quarantine.ts";
import type { LoadGate } from "../process/admission/load_gate.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { SuspectClaims } from "../process/membership/suspect_claims.ts";
import type { HealthChecker } from "../process/membership/health_checker.ts";
import type { WorkQueue } from "../process/admission/work_queue.ts";
import { tryGetProof } from "../types/not_run_proof.ts";
import type { Failure, Refusal, Usage } from "../types/response.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { RunOrder } from "../types/run_order.ts";
import {
  checkAdmission,
  createRefusal,
  downRetryAfterMs,
} from "./admission.ts";
import { createResponseScan } from "./response_scan.ts";
import { readTargetStream, tryGetStreamId } from "./target_stream.ts";
import { createAttemptLoad } from "./attempt_load.ts";

/** Parts of the agent that an execution uses. */
export interface ExecutionHost {
  readonly table: AttemptTable;
  readonly contexts: ContextIndex;
  readonly gate: LoadGate;
  readonly queue: WorkQueue;
  readonly quarantine: CrashQuarantine;
  readonly suspects: SuspectClaims;
  readonly target: Pick<TargetClient, "send" | "resume" | "cancelStream">;
  readonly watch: Pick<HealthChecker, "isUp" | "checkCrash">;
  readonly digests: BodyDigests;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the relative capacity of the target; 100 is the default. */
  getWeight(): number;
  /** Returns true when the agent accepts no new work. */
  isLeaving(): boolean;
}

/** The execution of one attempt at the agent. */
export interface Execution {
  /** Admits and queues the attempt, or refuses it at once. */
  start(): void;
  /** Cancels the attempt, unless it is running and may not run twice. */
  cancel(): void;
  /** Resolves after the last event of the attempt. */
  readonly done: Promise<void>;
}

/**
 * Number of bytes that the fastest reader has not read yet at which reading
 * from the target pauses.
 */
const maxUnreadBytes = 256 * 1024;

/** Time that an attempt continues without a reader, in milliseconds. */
const noReaderGraceMs = 10_000;

/**
 * Time after its deadline for which work that may not run twice goes on, in
 * milliseconds. Its outcome can still be read, but a response that never ends
 * must not hold a slot of the target for ever.
 */
const maxOverrunMs = 600_000;

/**
 * Retry-after delay of a suspect while another target may be running it, in
 * milliseconds.
 */
const suspectRetryAfterMs = 200;

/** Creates the execution of a new entry, whose response must be set. */
export function createExecution(
  host: ExecutionHost,
  options: {
    readonly order: RunOrder;
    readonly entry: AttemptEntry;
    readonly response: ResponseBuffer;
  },
): Execution {
  const { order, entry, response } = options;
  const abortController = new AbortController();
  const hasContext = order.isChat && host.contexts.isHeld(order);
  const attemptLoad = createAttemptLoad(host.gate, {
    estimate: hasContext
      ? order.estimate
      : { ...order.estimate, cachedTokens: 0 },
    weight: host.getWeight(),
  });
  const startedAt = Date.now();
  let abortCode: DiagnosticCode = "caller_gone";
  let streamId: string | undefined;
  /** Status of the target's response, if there is one. */
  let status: number | undefined;
  /** True when the attempt runs only while no other suspect runs here. */
  let isSuspect = false;
  let hasSuspectClaim = false;
  let graceTimer: ReturnType<typeof setTimeout> | undefined;
  let deadlineTimer: ReturnType<typeof setTimeout> | undefined;
  let notifyRead = (): void => undefined;
  let resolveDone = (): void => undefined;
  const done = new Promise<void>((resolve) => {
    resolveDone = resolve;
  });

  return { start, cancel, done };

  function start(): void {
    response.onReaderChange(onRead);
    entry.withdraw = () => undefined;
    const refusal = checkAdmission(host, {
      order,
      work: attemptLoad.work,
      hasContext,
    });
    if (refusal !== undefined) return refuse(refusal);
    const verdict = host.quarantine.check(order.fingerprint, order.crashes);
    isSuspect = verdict.kind === "suspect";
    attemptLoad.add();
    const decision = host.queue.add({
      priority: order.priority,
      workspace: order.workspace,
      cost: attemptLoad.work,
      deadlineAt: order.deadlineAt,
      exclusive: isSuspect,
      run,
      onRefused: refuse,
    });
    if (decision.kind === "refused") return refuse(decision.refusal);
    entry.withdraw = () => {
      decision.withdraw();
      finishRefused(entry.refusal);
    };
  }

  function refuse(refusal: Refusal): void {
    host.table.refuse(entry, refusal);
    finishRefused(refusal);
  }

  function finishRefused(refusal: Refusal | undefined): void {
    if (refusal !== undefined && response.tryGetLastEvent() === undefined) {
      response.append(refusal);
      host.metrics.count("refusals_total", { code: refusal.code });
    }
    release();
  }

  async function run(): Promise<void> {
    try {
      if (await tryStart()) await dispatch();
    } catch (error) {
      host.log.error("Attempt failed with an unexpected error", {
        request: order.requestId,
        attempt: entry.key,
        error: String(error),
      });
      if (entry.phase === "running") finishFailed("target_error");
    }
  }

  /** Starts the attempt unless it was withdrawn or must not run now. */
  async function tryStart(): Promise<boolean> {
    const verdict = host.quarantine.check(order.fingerprint, order.crashes);
    if (verdict.kind === "clean") return host.table.tryStart(entry);
    if (verdict.kind === "quarantined") {
      return refuseIfQueued(createRefusal("request_quarantined", 0));
    }
    // The request became a suspect after it was queued as a normal job, so it
    // must be admitted again as a suspect.
    if (!isSuspect) return refuseIfQueued(createRefusal("target_full", 0));
    const claim = await host.suspects.tryClaim(order.fingerprint, {
      timeoutMs: Math.max(0, order.deadlineAt - Date.now()),
    });
    if (claim !== "claimed") {
      return refuseIfQueued(createRefusal("target_full", suspectRetryAfterMs));
    }
    hasSuspectClaim = host.table.tryStart(entry);
    if (!hasSuspectClaim) void host.suspects.release(order.fingerprint);
    return hasSuspectClaim;
  }

  /** Refuses the attempt unless it was withdrawn in the meantime. */
  function refuseIfQueued(refusal: Refusal): false {
    if (entry.phase === "queued") refuse(refusal);
    return false;
  }

  async function dispatch(): Promise<void> {
    host.metrics.record("queue_ms", Date.now() - startedAt);
    host.quarantine.recordStart(entry.key, {
      fingerprint: order.fingerprint,
      knownCrashes: order.crashes,
    });
    startDeadlineTimer(order.repeatable ? 0 : maxOverrunMs);
    const sendResult = await host.target.send({
      ...order,
      signal: abortController.signal,
    });
    await sendResult.caseOf({
      Left: (error) => finishWithError(error),
      Right: (targetResponse) => forwardResponse(targetResponse),
    });
  }

  async function forwardResponse(
    targetResponse: TargetResponse,
  ): Promise<void> {
    const { headers } = targetResponse;
    status = targetResponse.status;
    const scan = createResponseScan(headers);
    const digest = host.digests.create();
    response.append({ kind: "head", status, headers });
    try {
      for await (const data of readBody(targetResponse)) {
        digest.update(data);
        scan.add(data);
        attemptLoad.recordTokens(scan.getTokens());
        response.append({ kind: "chunk", offset: response.getLength(), data });
        if (response.getUnreadBytes() >= maxUnreadBytes) await waitForReader();
      }
    } catch (error) {
      return await finishWithError(toTargetError(error));
    }
    if (!scan.isComplete()) return finishFailed("answer_cut");
    host.quarantine.recordEnd(entry.key, { targetSurvived: true });
    const usage = scan.getUsage();
    recordContext(usage);
    response.append({
      kind: "end",
      length: response.getLength(),
      digest: digest.getHex(),
      usage,
    });
    finish("done");
  }

  function recordContext(usage: Usage): void {
    if (!order.isChat) return;
    host.contexts.recordTurn(order);
    host.metrics.count("prompt_tokens_total", {}, usage.promptTokens);
    host.metrics.count("cached_tokens_total", {}, usage.cachedTokens);
  }

  function readBody(targetResponse: TargetResponse): AsyncIterable<Uint8Array> {
    streamId = tryGetStreamId(targetResponse);
    return readTargetStream(
      { target: host.target, checkCrash: host.watch.checkCrash },
      targetResponse,
      abortController.signal,
    );
  }

  /**
   * Waits until a reader has taken enough bytes, no reader is left, or the
   * attempt is aborted.
   */
  async function waitForReader(): Promise<void> {
    while (
      response.getUnreadBytes() >= maxUnreadBytes &&
      !abortController.signal.aborted
    ) {
      await new Promise<void>((resolve) => {
        notifyRead = resolve;
      });
    }
  }

  async function finishWithError(error: TargetError): Promise<void> {
    if (error.kind === "aborted") return finishFailed(abortCode);
    if (tryGetProof(error.kind) !== undefined) {
      host.quarantine.recordEnd(entry.key, { targetSurvived: false });
      void host.watch.checkCrash();
      return refuse(createRefusal("no_target", downRetryAfterMs));
    }
    const crashed = await host.watch.checkCrash();
    // After a crash the claim is left to expire, so that no other target runs
    // the request before the record of the crash has spread.
    if (crashed) hasSuspectClaim = false;
    finishFailed(crashed ? "target_crashed" : "target_error");
  }

  function finishFailed(code: DiagnosticCode): void {
    host.quarantine.recordEnd(entry.key, { targetSurvived: false });
    const failure: Failure = { kind: "failure", code, mayHaveRun: true };
    response.append(failure);
    finish(code);
  }

  function finish(outcome: string): void {
    host.table.finish(entry);
    host.metrics.count("attempts_total", { outcome });
    host.metrics.record("attempt_ms", Date.now() - startedAt);
    host.log.info("Attempt ended", {
      request: order.requestId,
      attempt: entry.key,
      outcome,
      status,
      bytes: response.getLength(),
    });
    release();
    if (!order.repeatable) detachCallbacks();
  }

  /**
   * Detaches this execution from the response that the table retains, so that
   * nothing else of the attempt is kept in memory.
   */
  function detachCallbacks(): void {
    response.onReaderChange(() => undefined);
    entry.withdraw = () => undefined;
  }

  function release(): void {
    clearTimeout(deadlineTimer);
    if (hasSuspectClaim) void host.suspects.release(order.fingerprint);
    attemptLoad.remove();
    resolveDone();
    onRead();
  }

  function onRead(): void {
    notifyRead();
    clearTimeout(graceTimer);
    const hasReaders = response.getReaderCount() > 0;
    if (entry.phase === "done") {
      if (!hasReaders && order.repeatable) scheduleResponseRelease();
      return;
    }
    if (hasReaders || entry.phase === "refused") return;
    graceTimer = setTimeout(cancel, noReaderGraceMs);
  }

  /**
   * Releases the response after a grace period, in which a router that lost its
   * connection can fetch the rest.
   */
  function scheduleResponseRelease(): void {
    graceTimer = setTimeout(
      () => host.table.releaseResponse(entry),
      noReaderGraceMs,
    );
    graceTimer.unref();
  }

  function cancel(): void {
    if (entry.phase === "queued") {
      host.table.settle(entry.attempt);
      return;
    }
    if (entry.phase === "running" && order.repeatable) stop("caller_gone");
  }

  function startDeadlineTimer(overrunMs: number): void {
    deadlineTimer = setTimeout(
      () => stop("deadline_exceeded"),
      Math.max(0, order.deadlineAt - Date.now()) + overrunMs,
    );
  }

  function stop(code: DiagnosticCode): void {
    abortCode = code;
    abortController.abort();
    if (streamId !== undefined) host.target.cancelStream(streamId);
    notifyRead();
  }
}
