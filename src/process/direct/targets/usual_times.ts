/**
 * Learns the usual time of each kind of work in a service: the median over its
 * targets.
 *
 * Load pattern: the time to the first event depends on the tokens that are to be
 * prefilled and on the load, by factors that differ between deployments. Work is
 * put into classes by both, and a running median of each class is kept, which a
 * few very slow responses do not move.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";

/** Work of a request whose time is known. */
export interface TimedWork {
  /** The whole call, the time to the first event, or from event to event. */
  readonly kind: "call" | "first_event" | "event";
  /** Name of the route, as calls of one service may differ. */
  readonly route: string;
  /** Tokens that the target prefills for the request. */
  readonly prefillTokens: number;
  /** Requests that run or wait at the target, without this one. */
  readonly load: number;
}

/** Number of times after which the median of a class is used. */
const minTimes = 8;

/** Step of a median, as a share of the time: the first one and the least. */
const medianSteps = { first: 0.5, min: 0.02 } as const;

/** Number of classes of the load, up to a load of twice the slots. */
const loadClasses = 8;

/** Highest load that has a class of its own, as a multiple of the slots. */
const maxLoadMultiple = 2;

/** A running median. */
interface Median {
  /** Natural logarithm of the time in milliseconds. */
  value: number;
  count: number;
}

/** The usual times of all services. */
export interface UsualTimes {
  record(target: DirectTarget, work: TimedWork, tookMs: number): void;
  /** Returns the usual time in milliseconds, once enough times are known. */
  tryGetMs(target: DirectTarget, work: TimedWork): number | undefined;
}

/** Creates usual times of which none is known. */
export function createUsualTimes(): UsualTimes {
  const medians = new Map<string, Median>();

  return { record, tryGetMs };

  function record(
    target: DirectTarget,
    work: TimedWork,
    tookMs: number,
  ): void {
    const key = getClass(target, work);
    const median = medians.get(key);
    const value = Math.log(tookMs);
    if (median === undefined) {
      medians.set(key, { value, count: 1 });
      return;
    }
    median.count++;
    const step = Math.max(medianSteps.min, medianSteps.first / median.count);
    const difference = value - median.value;
    median.value += Math.max(-step, Math.min(step, difference));
  }

  function tryGetMs(
    target: DirectTarget,
    work: TimedWork,
  ): number | undefined {
    const median = medians.get(getClass(target, work));
    if (median === undefined || median.count < minTimes) return undefined;
    return Math.exp(median.value);
  }
}

/** Returns the key of the class; tokens are classed by powers of two. */
function getClass(
  { service, slots }: DirectTarget,
  { kind, route, prefillTokens, load }: TimedWork,
): string {
  const tokenClass = kind === "first_event"
    ? Math.floor(Math.log2(Math.max(64, prefillTokens)))
    : 0;
  const multiple = Math.min(maxLoadMultiple, load / Math.max(1, slots));
  const loadClass = Math.floor(multiple * loadClasses / maxLoadMultiple);
  return `${service} ${route} ${kind} ${tokenClass} ${loadClass}`;
}
