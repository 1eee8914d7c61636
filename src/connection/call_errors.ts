/** Errors by which a client ends calls before or after they were sent. */

import type { Hold } from "../types/direct_calls.ts";

/** Error code of a request that was not sent because of a hold. */
const withheldErrorCode = "WITHHELD";

/** Error code of a request to which another response has arrived. */
export const spoiledErrorCode = "SPOILED";

/** The error of a request that was not sent because of a hold. */
interface WithheldError extends Error {
  readonly code: typeof withheldErrorCode;
  readonly hold: Hold;
}

/** Creates the error of a call that was not sent. */
export function createWithheldError(hold: Hold): WithheldError {
  return Object.assign(
    new Error(`The request is on hold: ${hold}`),
    {
      code: withheldErrorCode,
      hold,
    } as const,
  );
}

/** Returns true for the error of a call that was not sent. */
export function isWithheld(error: unknown): error is WithheldError {
  return hasCode(error, withheldErrorCode);
}

/** Returns true for an error with a code. */
export function hasCode(error: unknown, code: string): error is Error {
  return error instanceof Error &&
    (error as NodeJS.ErrnoException).code === code;
}
