/** What the status of a response says of its request and its target. */

/** Lowest status that counts as a failure of the target. */
const minServerErrorStatus = 500;

/** Statuses that promise a caller that a request has not run and never will. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Returns true when the status promises a caller that its request has not run
 * and never will. A router sends such a status only with a proof.
 */
export function promisesNotRun(status: number): boolean {
  return promiseStatuses.has(status);
}

/** Returns true when the status counts as a failure of the target. */
export function isServerError(status: number): boolean {
  return status >= minServerErrorStatus;
}
