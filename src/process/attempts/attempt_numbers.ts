/** Numbers the attempts of this process; no number is used twice. */

import type { Attempt } from "../../types/attempt.ts";

/** Creates attempts with ascending numbers. */
export interface AttemptNumbers {
  createAttempt(): Attempt;
}

/** Creates a counter for one incarnation of a router. */
export function createAttemptNumbers(
  options: { readonly router: string; readonly routerIncarnation: number },
): AttemptNumbers {
  let number = 0;

  return { createAttempt };

  function createAttempt(): Attempt {
    number++;
    return {
      router: options.router,
      routerIncarnation: options.routerIncarnation,
      number,
    };
  }
}
