/** The part of a target's load that one attempt holds. */

import type { LoadGate } from "../process/admission/load_gate.ts";
import type { WorkEstimate } from "../types/work.ts";

/** The load of one attempt, which shrinks as tokens are generated. */
export interface AttemptLoad {
  /** All work of the attempt, in work units per weight of 100. */
  readonly work: number;
  add(): void;
  /** Tells how many tokens the target has generated so far. */
  recordTokens(tokens: number): void;
  /** Takes away what is left. */
  remove(): void;
}

/** Creates the share of one attempt at a target of a weight. */
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
    // The first token says that the prompt has been computed. An answer
    // longer than its estimate holds one unit until its end.
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
