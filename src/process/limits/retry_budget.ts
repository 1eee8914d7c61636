/**
 * Decides whether a request may be retried. Retries are limited to a fraction
 * of first attempts, so that they do not amplify the load when a failure
 * affects many requests at once. Each first attempt earns a fraction of a
 * retry, and the credit is bounded.
 */

/** Maximum credit of a service, in retries. */
const maxCredit = 20;

/** Credit of a service before its first request, in retries. */
const initialCredit = 5;

/** The retry budgets of all services in one process. */
export interface RetryBudget {
  /** Adds the credit that a first attempt earns, in retries. */
  recordFirstAttempt(service: string, earnedCredit: number): void;
  /** Spends the credit of one retry; false when the budget is exhausted. */
  trySpend(service: string): boolean;
  /** Returns the credit of each service, in retries. */
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
