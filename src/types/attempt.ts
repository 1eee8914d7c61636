/** Identity of attempts. An attempt sends one request to one target once. */

/**
 * A globally unique identifier of an attempt: a router never reuses a number,
 * and a restarted router has another incarnation.
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
