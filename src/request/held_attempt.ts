/**
 * Holds an attempt that is left for another target until the next one has the
 * request. The agent of the held attempt did not answer, but its target may still
 * run it; it goes on when the next target refuses the request.
 */

import type {
  AgentCalls,
  AgentEvent,
  PlacedAttempt,
} from "../types/agent_calls.ts";
import type { AttemptVerdict } from "./attempt_run.ts";

/**
 * Time in which an agent refuses a request that it does not take, in milliseconds.
 * Two attempts may run side by side for 400 ms at most.
 */
const refusalTimeMs = 200;

/** Events by which an agent says that there is no response. */
const refusalEvents: ReadonlySet<AgentEvent["kind"]> = new Set([
  "refusal",
  "failure",
]);

/** Verdicts on an attempt that has no response. */
const failedVerdicts: ReadonlySet<AttemptVerdict["kind"]> = new Set([
  "not_run",
  "failed",
  "unproved_refusal",
]);

/** The held attempt of one request. */
export interface HeldAttempt {
  /** Holds an attempt; one that was held before is cancelled. */
  hold(placed: PlacedAttempt): void;
  /** Records that the next attempt was sent to its agent. */
  recordSent(): void;
  /** Records what the next agent sends: with a part of a response, the hold ends. */
  recordEvent(event: Pick<AgentEvent, "kind">): void;
  /** Records how the next attempt ended: without a response, the hold goes on. */
  recordVerdict(verdict: Pick<AttemptVerdict, "kind">): void;
  /** Cancels the held attempt, as the next one has the request. */
  release(): void;
  /** Ends the hold and returns the attempt; undefined when none is held. */
  tryTake(): PlacedAttempt | undefined;
}

/** Creates a holder without an attempt. */
export function createHeldAttempt(
  host: { readonly calls: Pick<AgentCalls, "cancel"> },
): HeldAttempt {
  let held: PlacedAttempt | undefined;
  let timer: ReturnType<typeof setTimeout> | undefined;

  return {
    hold,
    recordSent,
    recordEvent: ({ kind }) => {
      if (!refusalEvents.has(kind)) release();
    },
    recordVerdict: ({ kind }) => {
      if (failedVerdicts.has(kind)) clearTimeout(timer);
      else release();
    },
    release,
    tryTake,
  };

  function hold(placed: PlacedAttempt): void {
    release();
    held = placed;
  }

  function recordSent(): void {
    if (held === undefined) return;
    clearTimeout(timer);
    const sent = held;
    // After a pause of the process, a refusal may be ready to be read.
    timer = setTimeout(
      () =>
        setImmediate(() => {
          if (held === sent) release();
        }),
      refusalTimeMs,
    );
  }

  function release(): void {
    const placed = tryTake();
    if (placed !== undefined) host.calls.cancel(placed);
  }

  function tryTake(): PlacedAttempt | undefined {
    clearTimeout(timer);
    const placed = held;
    held = undefined;
    return placed;
  }
}
