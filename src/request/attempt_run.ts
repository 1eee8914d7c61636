/**
 * Follows one attempt from its dispatch to a verdict. Reads its events and,
 * after a lost connection, settles the attempt and resumes its response at the
 * offset where it stopped.
 */

import type {
  AgentCalls,
  AgentEvent,
  AgentEvents,
  Dispatch,
  PlacedAttempt,
} from "../types/agent_calls.ts";
import type { Usage } from "../types/response.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { NotRunProof } from "../types/not_run_proof.ts";
import { promisesNotRun } from "../types/promises.ts";
import type { ResponseAssembly } from "./response_assembly.ts";
import type { Delivery } from "./delivery.ts";
import { settleAttempt, waitUnlessAborted } from "./settlement.ts";
import { waitUntilWritable } from "./reply_wait.ts";

/** Maximum number of corrupted responses after which an attempt is given up. */
const maxCorruptions = 5;

/** Delay that each resumption without new bytes adds, in milliseconds. */
const resumeDelayMs = 100;

/** Maximum delay before a resumption, in milliseconds. */
const maxResumeDelayMs = 500;

/** What following an attempt needs from the process. */
export interface AttemptHost {
  readonly calls: AgentCalls;
  /** Records the result of a direct call in the member view. */
  recordContact(target: string, contact: "answered" | "failed"): void;
}

/** Response, delivery and limits of one attempt. */
export interface AttemptOptions {
  readonly response: ResponseAssembly;
  readonly delivery: Delivery;
  /** Aborted at the deadline or when the caller disconnects. */
  readonly signal: AbortSignal;
  /**
   * Returns true when the request can leave an attempt whose agent does not answer
   * for another target; what that takes is then reserved.
   */
  tryLeave(placed: PlacedAttempt): boolean;
  /** Returns true when the process of the attempt's agent has ended. */
  isGone(placed: PlacedAttempt): boolean;
  /** Called when the attempt was sent to its agent. */
  onSent?(): void;
  /**
   * Delay before a lost attempt is settled for the first time, in milliseconds.
   * An attempt that another router sent may still be on its way to the target.
   */
  readonly settleDelayMs?: number;
  /** Called when the target has sent something. */
  onEvent?(event: AgentEvent): void;
}

/**
 * Result of following one attempt:
 *
 * - `not_run`: it is proven that the attempt never ran and never will.
 * - `failed`: the target reports that the attempt failed and may have run.
 * - `unproved_refusal`: the target ran the attempt and its response has a status
 *   that promises a caller the opposite.
 * - `unknown`: nothing more can be learned about the attempt.
 * - `answer_gone`: the attempt ran, and its response is no longer retained.
 * - `cut`: the response has partly reached the caller and cannot be continued.
 * - `stopped`: the signal was aborted first.
 */
export type AttemptVerdict =
  | { readonly kind: "done"; readonly usage: Usage }
  | {
    readonly kind: "not_run";
    readonly proof: NotRunProof;
    readonly code: DiagnosticCode;
    readonly retryAfterMs: number;
    /** Load of the target that refused; undefined when it was not reached. */
    readonly load: number | undefined;
  }
  | { readonly kind: "failed"; readonly code: DiagnosticCode }
  | { readonly kind: "unproved_refusal" }
  | { readonly kind: "unknown" }
  | { readonly kind: "answer_gone" }
  | { readonly kind: "cut" }
  | { readonly kind: "stopped" };

type ReadResult =
  | AttemptVerdict
  | { readonly kind: "lost"; readonly sent: boolean }
  | { readonly kind: "corrupted" };

/** Sends an attempt and follows it. */
export function runAttempt(
  host: AttemptHost,
  dispatch: Dispatch,
  options: AttemptOptions,
): Promise<AttemptVerdict> {
  options.response.beginAttempt();
  return followAttempt(host, dispatch, {
    ...options,
    startStream: () => host.calls.run(dispatch, options.onSent),
  });
}

/**
 * Joins an attempt that a target knows, from the first byte of its response.
 */
export function joinAttempt(
  host: AttemptHost,
  placed: PlacedAttempt,
  options: AttemptOptions,
): Promise<AttemptVerdict> {
  options.response.beginAttempt();
  return followAttempt(host, placed, { ...options, startStream: undefined });
}

/** Reads events and settles losses until there is a verdict. */
async function followAttempt(
  host: AttemptHost,
  placed: PlacedAttempt,
  options: AttemptOptions & {
    readonly startStream: (() => AgentEvents) | undefined;
  },
): Promise<AttemptVerdict> {
  const { response, delivery, signal } = options;
  let events = options.startStream?.() ?? host.calls.attach(placed, 0);
  let isRunStream = options.startStream !== undefined;
  let corruptions = 0;
  let idleResumes = 0;
  // An attempt that still runs is resumed as often as its connection is lost.
  for (let resumes = 0;; resumes++) {
    const offset = response.getOffset();
    const result = await readEvents(host, events, {
      ...options,
      placed,
      isRunStream,
    });
    if (result.kind === "corrupted") {
      if (!delivery.isPending()) return { kind: "cut" };
      if (++corruptions >= maxCorruptions) return { kind: "unknown" };
      delivery.reset();
      response.reset();
    } else if (result.kind !== "lost") {
      return result;
    } else if (!result.sent && isRunStream) {
      return notReached;
    }
    if (resumes === 0 && options.settleDelayMs !== undefined) {
      await waitUnlessAborted(options.settleDelayMs, signal);
    }
    const verdict = await settleLostAttempt(host, placed, options);
    if (verdict !== undefined) return verdict;
    idleResumes = response.getOffset() > offset ? 0 : idleResumes + 1;
    await waitUnlessAborted(getResumeDelayMs(idleResumes), signal);
    if (signal.aborted) return { kind: "stopped" };
    events = host.calls.attach(placed, response.getOffset());
    isRunStream = false;
  }
}

function getResumeDelayMs(idleResumes: number): number {
  return Math.min(maxResumeDelayMs, resumeDelayMs * idleResumes);
}

/** Verdict on an attempt that was never sent, and so never runs. */
const notReached: AttemptVerdict = {
  kind: "not_run",
  proof: "unsent",
  code: "no_target",
  retryAfterMs: 0,
  load: undefined,
};

/** Settles a lost attempt; returns undefined when it can be resumed. */
async function settleLostAttempt(
  host: AttemptHost,
  placed: PlacedAttempt,
  options: AttemptOptions,
): Promise<AttemptVerdict | undefined> {
  const state = await settleAttempt(host, placed, {
    signal: options.signal,
    tryLeave: () => options.tryLeave(placed),
    isGone: () => options.isGone(placed),
  });
  if (options.signal.aborted) return { kind: "stopped" };
  switch (state) {
    case "not_run":
      return {
        kind: "not_run",
        proof: "settled",
        code: "attempt_settled",
        retryAfterMs: 0,
        load: undefined,
      };
    case "running":
    case "done":
      return undefined;
    case "done_answer_gone":
      return { kind: "answer_gone" };
    case "wrong_incarnation":
    case "no_answer":
      return { kind: "unknown" };
  }
}

/** Reads one stream of events until it ends or the signal is aborted. */
async function readEvents(
  host: AttemptHost,
  events: AgentEvents,
  options: AttemptOptions & {
    readonly placed: PlacedAttempt;
    /** False when the stream resumes an attempt that was sent before. */
    readonly isRunStream: boolean;
  },
): Promise<ReadResult> {
  const { signal } = options;
  const target = options.placed.target.id;
  const closeStream = (): void => void events.return?.(undefined);
  let hasResponded = false;
  signal.addEventListener("abort", closeStream, { once: true });
  try {
    if (signal.aborted) return { kind: "stopped" };
    for await (const event of events) {
      if (signal.aborted) return { kind: "stopped" };
      if (event.kind !== "lost") options.onEvent?.(event);
      if (event.kind === "lost") host.recordContact(target, "failed");
      else if (!hasResponded) host.recordContact(target, "answered");
      const result = handleEvent(event, {
        ...options,
        hasResponse: hasResponded,
      });
      hasResponded = true;
      if (result instanceof Promise) await waitUntilWritable(result, signal);
      else if (result !== undefined) return result;
    }
    return signal.aborted ? { kind: "stopped" } : { kind: "lost", sent: true };
  } finally {
    signal.removeEventListener("abort", closeStream);
  }
}

/**
 * Handles one event; returns a promise when the caller must read before the
 * next event.
 */
function handleEvent(
  event: AgentEvent,
  options: AttemptOptions & {
    readonly placed: PlacedAttempt;
    readonly isRunStream: boolean;
    /** True when a part of a response came before the event. */
    readonly hasResponse: boolean;
  },
): ReadResult | Promise<void> | undefined {
  switch (event.kind) {
    case "lost":
      return event;
    case "refusal":
      // The refusal of a repeated or resumed call proves nothing about the
      // call that was sent first, and neither does one after a response.
      if (
        !options.isRunStream || options.hasResponse ||
        event.code === "attempt_repeated"
      ) {
        return { kind: "lost", sent: true };
      }
      return { ...event, kind: "not_run", proof: "stated" };
    case "failure":
      if (!options.isRunStream && event.code === "answer_gone") {
        return { kind: "answer_gone" };
      }
      // The agent does not know the attempt; it can still be settled.
      if (!options.isRunStream && event.code === "outcome_unknown") {
        return { kind: "lost", sent: true };
      }
      // Only a refusal proves that nothing has run: a failure is that of an
      // attempt that was dispatched, and an absent field reads as false.
      return { kind: "failed", code: event.code };
    case "head":
    case "chunk":
    case "end":
      return handleResponseEvent(event, options);
  }
}

/** Adds one event to the response and forwards its data to the caller. */
function handleResponseEvent(
  event: Extract<AgentEvent, { readonly kind: "head" | "chunk" | "end" }>,
  options: AttemptOptions & { readonly placed: PlacedAttempt },
): ReadResult | Promise<void> | undefined {
  const { response, delivery, placed } = options;
  const step = response.accept(event);
  switch (step.kind) {
    case "head":
      if (promisesNotRun(step.head.status)) return { kind: "unproved_refusal" };
      delivery.setHead(step.head, placed.target.id);
      return undefined;
    case "data":
      return handleData(delivery, step.data);
    case "nothing":
      return undefined;
    case "done":
      return event.kind === "end"
        ? { kind: "done", usage: event.usage }
        : undefined;
    case "broken":
      if (step.fault === "gap") return { kind: "lost", sent: true };
      return { kind: step.fault === "corrupted" ? "corrupted" : "cut" };
  }
}

function handleData(
  delivery: Delivery,
  data: Uint8Array,
): ReadResult | Promise<void> | undefined {
  const writable = delivery.write(data);
  return delivery.isOverfull() ? { kind: "cut" } : writable;
}
