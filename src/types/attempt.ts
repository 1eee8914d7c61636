/** Identity of attempts: one try of one request at one target. */

/**
 * Names one attempt for all time: a router never uses a number twice, and a
 * restarted router has another incarnation.
 */
export interface Attempt {
  readonly router: string;
  /** Start time of the router process, in milliseconds since the epoch. */
  readonly routerIncarnation: number;
  readonly number: number;
}

/** Returns the text form of an attempt, used as a map key and in logs. */
export function getAttemptKey(attempt: Attempt): string {
  return `${attempt.router}/${attempt.routerIncarnation}/${attempt.number}`;
}
