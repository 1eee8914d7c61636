/** The part of a target's load that one attempt holds. */

import type { LoadGate } from "../process/admission/load_gate.ts";
import type { WorkEstimate } from "../types/work.ts";

/** The load of one attempt, which shrinks as tokens are generated. */
export interface WorkShare {
  /** All work of the attempt, in work units per weight of 100. */
  readonly work: number;
  add(): void;
  /** Tells how many tokens the target has generated so far. */
  noteTokens(tokens: number): void;
  /** Takes away what is left. */
  remove(): void;
}

/** Creates the share of one attempt at a target of a weight. */
export function createWorkShare(
  gate: Pick<LoadGate, "add" | "remove">,
  options: { readonly estimate: WorkEstimate; readonly weight: number },
): WorkShare {
  const { promptTokens, cachedTokens, outputTokens } = options.estimate;
  const scale = 100 / options.weight;
  const prompt = Math.max(0, promptTokens - cachedTokens) * scale;
  const output = Math.max(1, outputTokens) * scale;
  const work = prompt + output;
  let held = 0;

  return { work, add, noteTokens, remove };

  function add(): void {
    gate.add(work);
    held = work;
  }

  function noteTokens(tokens: number): void {
    if (tokens === 0) return;
    // The first token says that the prompt has been computed. An answer
    // longer than its estimate holds one unit until its end.
    shrinkTo(Math.max(scale, output - tokens * scale));
  }

  function remove(): void {
    shrinkTo(0);
  }

  function shrinkTo(left: number): void {
    if (left >= held) return;
    gate.remove(held - left);
    held = left;
  }
}
