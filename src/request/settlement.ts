/** Settles an attempt whose connection was lost, to learn its state. */

import type {
  AgentCalls,
  PlacedAttempt,
  SettleState,
} from "../types/agent_calls.ts";
import { waitAtMost } from "./bounded_wait.ts";

/** Delays before the settle calls, in milliseconds; the last one is repeated. */
const callDelaysMs: readonly number[] = [0, 100, 300, 900, 1_500];

/** Settle calls without an answer after which an attempt can be given up. */
const minCalls = callDelaysMs.length;

/**
 * Time after its deadline in which an agent may withdraw an attempt, in
 * milliseconds. The caller must have a response 500 ms after the deadline.
 */
const withdrawalTimeMs = 250;

/** What settlement needs from the process. */
export interface SettlementHost {
  readonly calls: Pick<AgentCalls, "settle">;
}

/** When a settlement without an answer ends. */
export interface SettlementOptions {
  /** Ends the settlement; the result is then `no_answer`. */
  readonly signal: AbortSignal;
  /**
   * Returns true when the request can go to another target now. What that takes
   * is then reserved.
   */
  tryLeave(): boolean;
  /** Returns true when the agent's process has ended, as far as is known. */
  isGone(): boolean;
}

/**
 * Calls the agent until it responds, the request can go to another target or the
 * agent is gone. Once it has responded, an attempt that had not started never
 * runs.
 */
export async function settleAttempt(
  host: SettlementHost,
  placed: PlacedAttempt,
  options: SettlementOptions,
): Promise<SettleState> {
  for (let calls = 1;; calls++) {
    const delayMs = callDelaysMs[Math.min(calls, minCalls) - 1] ?? 0;
    await waitUnlessAborted(delayMs, options.signal);
    if (options.signal.aborted) return "no_answer";
    const state = await waitForState(host.calls.settle(placed), options.signal);
    if (state !== "no_answer" || options.signal.aborted) return state;
    if (calls >= minCalls && options.isGone()) return state;
    if (options.tryLeave()) return state;
  }
}

/**
 * Withdraws an attempt at the deadline of its caller, who cannot wait for long.
 * Returns its state, `no_answer` when the agent takes too long to respond.
 */
export async function withdrawAttempt(
  host: SettlementHost,
  placed: PlacedAttempt,
  deadlineAt: number,
): Promise<SettleState> {
  const settled = host.calls.settle(placed);
  let state: SettleState = "no_answer";
  await waitAtMost(
    settled.then((value) => {
      state = value;
    }),
    deadlineAt + withdrawalTimeMs - Date.now(),
  );
  return state;
}

/** Returns what a call resolves to, or `no_answer` when the signal is aborted. */
async function waitForState(
  settled: Promise<SettleState>,
  signal: AbortSignal,
): Promise<SettleState> {
  let stop = (): void => undefined;
  const aborted = new Promise<SettleState>((resolve) => {
    stop = () => resolve("no_answer");
  });
  signal.addEventListener("abort", stop, { once: true });
  try {
    return await Promise.race([settled, aborted]);
  } finally {
    signal.removeEventListener("abort", stop);
  }
}

/** Waits for a delay or until the signal is aborted. */
export function waitUnlessAborted(
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted || delayMs <= 0) return resolve();
    const timer = setTimeout(finish, delayMs);
    signal.addEventListener("abort", finish, { once: true });

    function finish(): void {
      clearTimeout(timer);
      signal.removeEventListener("abort", finish);
      resolve();
    }
  });
}
