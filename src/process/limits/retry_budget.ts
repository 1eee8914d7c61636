/**
 * Keeps retries to a fraction of first tries, so that a failure is not
 * amplified. Each first try earns a part of a retry; the credit is bounded.
 */

/** Retries that may be saved up while nothing fails. */
const maxCredit = 20;

/** Credit of a service that has not been used yet. */
const initialCredit = 5;

/** The budget of all services of one process. */
export interface RetryBudget {
  /** Counts a first try at a service whose fraction is `perFirstTry`. */
  recordFirstAttempt(service: string, earnedCredit: number): void;
  /** Takes one retry; false when the budget is spent. */
  trySpend(service: string): boolean;
  /** Credit of each service, in retries. */
  getCredits(): ReadonlyMap<string, number>;
  /** Drops services that are no longer configured. */
  retain(isKnown: (service: string) => boolean): void;
}

/** Creates an empty budget. */
export function createRetryBudget(): RetryBudget {
  const credits = new Map<string, number>();

  return {
    recordFirstAttempt,
    trySpend,
    getCredits: () => credits,
    retain,
  };

  function recordFirstAttempt(service: string, earnedCredit: number): void {
    const credit = (credits.get(service) ?? initialCredit) + earnedCredit;
    credits.set(service, Math.min(maxCredit, credit));
  }

  function trySpend(service: string): boolean {
    const credit = credits.get(service) ?? initialCredit;
    if (credit < 1) return false;
    credits.set(service, credit - 1);
    return true;
  }

  function retain(isKnown: (service: string) => boolean): void {
    for (const service of credits.keys()) {
      if (!isKnown(service)) credits.delete(service);
    }
  }
}
