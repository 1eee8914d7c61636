/** Finds out what became of an attempt whose connection was lost. */

import type {
  AgentCalls,
  PlacedAttempt,
  SettleState,
} from "../types/agent_calls.ts";

/** Waits before the tries, in milliseconds. */
const callDelaysMs: readonly number[] = [0, 100, 300, 900, 1_500];

/** What settlement needs from outside. */
export interface SettlementHost {
  readonly calls: Pick<AgentCalls, "settle">;
}

/** How hard the state of an attempt is sought. */
export interface SettlementOptions {
  /** Most tries; at most five. */
  readonly maxCalls: number;
  /** Ends the waits early; the answer is then `no_answer`. */
  readonly signal: AbortSignal;
}

/** Asks the agent until it answers; afterwards the attempt cannot start. */
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

/** Waits; an abort ends the wait. */
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
