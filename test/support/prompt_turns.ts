/** Turns of an event loop that reads everything as it arrives. */

import type { LoopTurns } from "../../src/process/telemetry/loop_turns.ts";

/** Creates turns that take no time. */
export function createPromptTurns(): Omit<LoopTurns, "stop"> {
  return {
    measure: (_kind, run) => run(),
    begin: () => () => undefined,
    isBusy: () => false,
    getTurn: () => {
      const now = performance.now();
      return { startedAt: now, arrivedAt: now };
    },
  };
}
