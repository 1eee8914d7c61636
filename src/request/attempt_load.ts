/** Tracks the share of a target's load that one attempt takes up. */

import type { LoadGate } from "../process/admission/load_gate.ts";
import type { WorkEstimate } from "../types/work.ts";

/** Load of one attempt, which decreases as tokens are generated. */
export interface AttemptLoad {
  /** Total work of the attempt, in work units per weight of 100. */
  readonly work: number;
  /** Adds the total work to the load of the target. */
  add(): void;
  /** Records how many tokens the target has generated so far. */
  recordTokens(tokens: number): void;
  /** Removes the remaining load from the target. */
  remove(): void;
}

/** Creates the load of one attempt at a target of the given weight. */
export function createAttemptLoad(
  gate: Pick<LoadGate, "add" | "remove">,
  options: { readonly estimate: WorkEstimate; readonly weight: number },
): AttemptLoad {
  const { promptTokens, cachedTokens, outputTokens } = options.estimate;
  const scale = 100 / options.weight;
  const promptWork = Math.max(0, promptTokens - cachedTokens) * scale;
  const outputWork = Math.max(1, outputTokens) * scale;
  const work = promptWork + outputWork;
  let currentLoad = 0;

  return { work, add, recordTokens, remove };

  function add(): void {
    gate.add(work);
    currentLoad = work;
  }

  function recordTokens(tokens: number): void {
    if (tokens === 0) return;
    // The first token shows that the prefill is done. A response longer than
    // its estimate counts as one token of load until its end.
    reduceTo(Math.max(scale, outputWork - tokens * scale));
  }

  function remove(): void {
    reduceTo(0);
  }

  function reduceTo(remaining: number): void {
    if (remaining >= currentLoad) return;
    gate.remove(currentLoad - remaining);
    currentLoad = remaining;
  }
}
