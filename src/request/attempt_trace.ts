/** Records how the attempts of one request ended, for the log. */

import type { AttemptVerdict } from "./attempt_run.ts";

/**
 * What held the next attempt of a request back: the budget of retries, no target
 * that is left, or what the caller has of the response already.
 */
export type RetryObstacle =
  | "retry_budget"
  | "no_target"
  | "crashes"
  | "begun"
  | "not_repeatable";

/** The attempts of one request, as the log tells them. */
export interface AttemptTrace {
  /** Records the start of an attempt. */
  recordStart(): void;
  /** Records that the target of the attempt sent something. */
  recordEvent(): void;
  recordEnd(verdict: AttemptVerdict): void;
  recordObstacle(value: RetryObstacle): void;
  /** Returns the values for the log; none for a single sound attempt. */
  describe(): Readonly<Record<string, string | number>>;
}

/** Maximum number of verdicts in one line. */
const maxVerdicts = 16;

/** Creates an empty trace. */
export function createAttemptTrace(): AttemptTrace {
  const verdicts: string[] = [];
  let obstacle: RetryObstacle | undefined;
  let heardAt = performance.now();
  let silentMs = 0;

  return {
    recordStart: recordEvent,
    recordEvent,
    recordEnd,
    recordObstacle: (value) => {
      obstacle = value;
    },
    describe,
  };

  function recordEvent(): void {
    heardAt = performance.now();
  }

  function recordEnd(verdict: AttemptVerdict): void {
    const code = "code" in verdict ? `:${verdict.code}` : "";
    if (verdicts.length < maxVerdicts) verdicts.push(verdict.kind + code);
    if (verdict.kind !== "done") silentMs = performance.now() - heardAt;
  }

  function describe(): Readonly<Record<string, string | number>> {
    if (verdicts.every((verdict) => verdict === "done")) return {};
    return {
      verdicts: verdicts.join(" "),
      silentMs: Math.round(silentMs),
      ...(obstacle === undefined ? {} : { heldBy: obstacle }),
    };
  }
}
