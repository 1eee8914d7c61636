/** Settles an attempt whose connection was lost, to learn its state. */

import type {
  AgentCalls,
  PlacedAttempt,
  SettleState,
} from "../types/agent_calls.ts";

/** Delays before the settle calls, in milliseconds. */
const callDelaysMs: readonly number[] = [0, 100, 300, 900, 1_500];

/** What settlement needs from the process. */
export interface SettlementHost {
  readonly calls: Pick<AgentCalls, "settle">;
}

/** Limits of one settlement. */
export interface SettlementOptions {
  /** Maximum number of calls; at most five. */
  readonly maxCalls: number;
  /** Ends the delays early; the result is then `no_answer`. */
  readonly signal: AbortSignal;
}

/**
 * Calls the agent until it responds. Once it has responded, an attempt that had
 * not started never runs.
 */
export async function settleAttempt(
  host: SettlementHost,
  placed: PlacedAttempt,
  options: SettlementOptions,
): Promise<SettleState> {
  for (const delayMs of callDelaysMs.slice(0, options.maxCalls)) {
    if (delayMs > 0) await waitUnlessAborted(delayMs, options.signal);
    if (options.signal.aborted) return "no_answer";
    const state = await host.calls.settle(placed);
    if (state !== "no_answer") return state;
  }
  return "no_answer";
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
