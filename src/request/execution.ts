/** The life of one attempt at the agent, from admission to its last event. */

import type {
  TargetClient,
  TargetError,
  TargetResponse,
} from "../connection/target_client.ts";
import { toTargetError } from "../connection/target_client.ts";
import type { AnswerBuffer } from "../process/attempts/answer_buffer.ts";
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
import type { TargetWatch } from "../process/membership/target_watch.ts";
import type { WorkQueue } from "../process/admission/work_queue.ts";
import type { Failure, Refusal, Usage } from "../types/answer.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { RunOrder } from "../types/run_order.ts";
import { createRefusal, downRetryAfterMs, tryRefuse } from "./admission.ts";
import { createAnswerScan } from "./answer_scan.ts";
import { readTargetStream, tryGetStreamId } from "./target_stream.ts";
import { createWorkShare } from "./work_share.ts";

/** What an execution uses of its agent. */
export interface ExecutionHost {
  readonly table: AttemptTable;
  readonly contexts: ContextIndex;
  readonly gate: LoadGate;
  readonly queue: WorkQueue;
  readonly quarantine: CrashQuarantine;
  readonly suspects: SuspectClaims;
  readonly target: Pick<TargetClient, "send" | "resume" | "cancelStream">;
  readonly watch: Pick<TargetWatch, "isUp" | "checkCrash">;
  readonly digests: BodyDigests;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Relative capacity of the target; 100 for a usual one. */
  getWeight(): number;
  /** True when the agent takes no new work. */
  isLeaving(): boolean;
}

/** One attempt in the hands of the agent. */
export interface Execution {
  /** Admits the attempt and queues it, or refuses it at once. */
  start(): void;
  /** Stops what may be stopped; work that may not repeat runs on. */
  cancel(): void;
  /** Resolves once the attempt has its last event. */
  readonly done: Promise<void>;
}

/** Unread bytes of one answer at which the target is read no further. */
const unreadBytes = 256 * 1024;

/** Time an attempt goes on without any router reading it, in ms. */
const unreadGraceMs = 10_000;

/** Time after which a suspect that waits its turn may come back, in ms. */
const suspectRetryAfterMs = 200;

/** Creates the execution of a new entry, whose answer must be set. */
export function createExecution(
  host: ExecutionHost,
  options: {
    readonly order: RunOrder;
    readonly entry: AttemptEntry;
    readonly answer: AnswerBuffer;
  },
): Execution {
  const { order, entry, answer } = options;
  const abort = new AbortController();
  const isHeld = order.isChat && host.contexts.isHeld(order);
  const share = createWorkShare(host.gate, {
    estimate: isHeld ? order.estimate : { ...order.estimate, cachedTokens: 0 },
    weight: host.getWeight(),
  });
  const startedAt = Date.now();
  let abortCode: DiagnosticCode = "caller_gone";
  let streamId: string | undefined;
  /** True when it runs only while no other suspect does. */
  let alone = false;
  let claimed = false;
  let graceTimer: ReturnType<typeof setTimeout> | undefined;
  let deadlineTimer: ReturnType<typeof setTimeout> | undefined;
  let noteRead = (): void => undefined;
  let resolveDone = (): void => undefined;
  const done = new Promise<void>((resolve) => {
    resolveDone = resolve;
  });

  return { start, cancel, done };

  function start(): void {
    answer.onRead(onRead);
    entry.withdraw = () => undefined;
    const refusal = tryRefuse(host, { order, work: share.work, isHeld });
    if (refusal !== undefined) return refuse(refusal);
    const verdict = host.quarantine.check(order.fingerprint, order.crashes);
    alone = verdict.kind === "suspect";
    share.add();
    const decision = host.queue.add({
      priority: order.priority,
      workspace: order.workspace,
      cost: share.work,
      deadlineAt: order.deadlineAt,
      alone,
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
    if (refusal !== undefined && answer.tryGetLast() === undefined) {
      answer.append(refusal);
      host.metrics.count("refusals_total", { code: refusal.code });
    }
    release();
  }

  async function run(): Promise<void> {
    try {
      if (await tryStart()) await dispatch();
    } catch (error) {
      host.log.error("Attempt broke", {
        request: order.requestId,
        attempt: entry.key,
        error: String(error),
      });
      if (entry.phase === "running") finishFailed("target_error");
    }
  }

  /** Starts unless the attempt was withdrawn or must not run now. */
  async function tryStart(): Promise<boolean> {
    const verdict = host.quarantine.check(order.fingerprint, order.crashes);
    if (verdict.kind === "clean") return host.table.tryStart(entry);
    if (verdict.kind === "condemned") {
      return turnAway(createRefusal("request_quarantined", 0));
    }
    // A crash since its admission: it has to come back as a suspect.
    if (!alone) return turnAway(createRefusal("target_full", 0));
    const claim = await host.suspects.tryClaim(order.fingerprint, {
      longestMs: Math.max(0, order.deadlineAt - Date.now()),
    });
    if (claim !== "claimed") {
      return turnAway(createRefusal("target_full", suspectRetryAfterMs));
    }
    claimed = host.table.tryStart(entry);
    if (!claimed) void host.suspects.release(order.fingerprint);
    return claimed;
  }

  function turnAway(refusal: Refusal): false {
    if (entry.phase === "queued") refuse(refusal);
    return false;
  }

  async function dispatch(): Promise<void> {
    host.metrics.record("queue_ms", Date.now() - startedAt);
    host.quarantine.enter(entry.key, {
      fingerprint: order.fingerprint,
      knownCrashes: order.crashes,
    });
    if (order.repeatable) watchDeadline();
    const sent = await host.target.send({ ...order, signal: abort.signal });
    await sent.caseOf({
      Left: (error) => endWithError(error),
      Right: (target) => passOn(target),
    });
  }

  async function passOn(target: TargetResponse): Promise<void> {
    const { status, headers } = target;
    const scan = createAnswerScan(headers);
    const digest = host.digests.create();
    answer.append({ kind: "head", status, headers });
    try {
      for await (const data of readBody(target)) {
        digest.update(data);
        scan.add(data);
        share.noteTokens(scan.getTokens());
        answer.append({ kind: "chunk", offset: answer.getLength(), data });
        if (answer.getUnreadBytes() >= unreadBytes) await waitForReader();
      }
    } catch (error) {
      return await endWithError(toTargetError(error));
    }
    if (!scan.isWhole()) return finishFailed("answer_cut");
    host.quarantine.leave(entry.key, { lived: true });
    const usage = scan.getUsage();
    noteContext(usage);
    answer.append({
      kind: "end",
      length: answer.getLength(),
      digest: digest.getText(),
      usage,
    });
    finish("done");
  }

  function noteContext(usage: Usage): void {
    if (!order.isChat) return;
    host.contexts.noteHeld(order);
    host.metrics.count("prompt_tokens_total", {}, usage.promptTokens);
    host.metrics.count("cached_tokens_total", {}, usage.cachedTokens);
  }

  function readBody(target: TargetResponse): AsyncIterable<Uint8Array> {
    streamId = tryGetStreamId(target);
    return readTargetStream(
      { target: host.target, checkCrash: host.watch.checkCrash },
      target,
      abort.signal,
    );
  }

  /** Waits until some reader has taken bytes, or nobody reads any more. */
  async function waitForReader(): Promise<void> {
    while (answer.getUnreadBytes() >= unreadBytes && !abort.signal.aborted) {
      await new Promise<void>((resolve) => {
        noteRead = resolve;
      });
    }
  }

  async function endWithError(error: TargetError): Promise<void> {
    if (error.kind === "aborted") return finishFailed(abortCode);
    if (error.kind === "not_sent") {
      host.quarantine.leave(entry.key, { lived: false });
      void host.watch.checkCrash();
      return refuse(createRefusal("no_target", downRetryAfterMs));
    }
    const crashed = await host.watch.checkCrash();
    // The claim of a crasher covers the time that its record needs to spread.
    if (crashed) claimed = false;
    finishFailed(crashed ? "target_crashed" : "target_error");
  }

  function finishFailed(code: DiagnosticCode): void {
    host.quarantine.leave(entry.key, { lived: false });
    const failure: Failure = { kind: "failure", code, mayHaveRun: true };
    answer.append(failure);
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
      bytes: answer.getLength(),
    });
    release();
    if (!order.repeatable) forgetAnswer();
  }

  /** The table keeps the answer; nothing of this attempt stays with it. */
  function forgetAnswer(): void {
    answer.onRead(() => undefined);
    entry.withdraw = () => undefined;
  }

  function release(): void {
    clearTimeout(deadlineTimer);
    if (claimed) void host.suspects.release(order.fingerprint);
    share.remove();
    resolveDone();
    onRead();
  }

  function onRead(): void {
    noteRead();
    clearTimeout(graceTimer);
    const reading = answer.getReaders() > 0;
    if (entry.phase === "done") {
      if (!reading && order.repeatable) releaseAnswerLater();
      return;
    }
    if (reading || entry.phase === "refused") return;
    graceTimer = setTimeout(cancel, unreadGraceMs);
  }

  /** A router that lost its connection has some time to fetch the rest. */
  function releaseAnswerLater(): void {
    graceTimer = setTimeout(() => host.table.release(entry), unreadGraceMs);
    graceTimer.unref();
  }

  function cancel(): void {
    if (entry.phase === "queued") {
      host.table.settle(entry.attempt);
      return;
    }
    if (entry.phase === "running" && order.repeatable) stop("caller_gone");
  }

  function watchDeadline(): void {
    deadlineTimer = setTimeout(
      () => stop("deadline_exceeded"),
      Math.max(0, order.deadlineAt - Date.now()),
    );
  }

  function stop(code: DiagnosticCode): void {
    abortCode = code;
    abort.abort();
    if (streamId !== undefined) host.target.cancelStream(streamId);
    noteRead();
  }
}
