/**
 * Estimates how many requests a second begin with a prompt part, over all
 * routers, and remembers copies of parts that have failed.
 *
 * Load pattern: for some seconds one long part gets a sixth of a service's
 * requests. Each router sees few of them: of 350 routers, one or two a second
 * each. So each reports the parts that it gets most often, a few bytes in each
 * digest, and the sum shows the rise after one round of digests.
 */

import type { PromptPart } from "../../../types/prompt.ts";

/**
 * Time constant of the mean rate, in milliseconds: a rise that lasts 4 s shows
 * in its first half second, and a single request is one a second.
 */
const smoothingMs = 1_000;

/**
 * Minimum size of a part whose demand is estimated, in tokens; prefilling a
 * smaller one again takes no longer than a request's own tokens.
 */
const minPartTokens = 1_000;

/** Maximum number of parts in one report, which has the space of two. */
export const maxReportedPartRates = 6;

/**
 * Lowest rate that is reported, in requests a second; more than that of a single
 * request, as six parts in each digest of 350 routers would be 16 KB/s.
 */
const minReportedPerS = 1.1;

/** Highest rate that one report may name, in requests a second. */
const maxReportedPerS = 10_000;

/** Time for which a peer's report is used, in ms; several report intervals. */
const reportTtlMs = 2_500;

/**
 * Time after the last request for which the rate of a part is kept, in
 * milliseconds; it is less than a hundredth by then.
 */
const rateTtlMs = 5_000;

/** Maximum number of parts whose rate is kept; the oldest is evicted. */
const maxParts = 2_000;

/** Time in which a failed copy is not repeated, in milliseconds. */
const failedCopyMs = 1_000;

/** Maximum number of failed copies that are remembered. */
const maxFailedCopies = 500;

/** The rate of requests for one part at one router. */
export interface PartRate {
  /** Hash of the part's id, of 32 bits; the same at all routers. */
  readonly hash: number;
  readonly perS: number;
}

/** Demand for parts, as far as this router knows it. */
export interface PartDemand {
  /** Records a request with these shared parts. */
  recordRequest(parts: readonly PromptPart[]): void;
  /** Records a peer's report, which replaces the previous one. */
  recordReport(peer: string, rates: readonly PartRate[]): void;
  /** Returns the highest rates of this router alone, as reported to peers. */
  getOwnRates(): readonly PartRate[];
  /**
   * Returns the requests a second for the largest of the parts from all
   * routers; undefined when this router had none lately.
   */
  tryGetPerS(parts: readonly PromptPart[]): number | undefined;
  /** Records that a target begins to copy parts for a request. */
  beginCopy(target: string, parts: readonly PromptPart[]): PartCopy;
  /**
   * Returns true while the target copies the parts for this router; a request
   * that came now would prefill them.
   */
  isCopying(target: string, parts: readonly PromptPart[]): boolean;
  /** Returns true when the target has just failed to copy the parts. */
  hasCopyFailed(target: string, parts: readonly PromptPart[]): boolean;
}

/** A copy of parts for one request. */
export interface PartCopy {
  /** Records that the target has responded, or has not; only once. */
  end(options: { readonly hasFailed: boolean }): void;
}

/** Requests for a part at this router, which decay over time. */
interface OwnRate {
  readonly hash: number;
  perS: number;
  at: number;
}

/** Creates the demand of a router that has had no request. */
export function createPartDemand(
  host: {
    /** Returns true while callers compete for capacity. */
    isActive(): boolean;
    /** Returns a hash of 32 bits, the same at all routers. */
    hash(text: string): number;
  },
): PartDemand {
  /** Rates by part id, the most recently requested part last. */
  const own = new Map<string, OwnRate>();
  /** Reports by peer, the oldest first. */
  const reports = new Map<
    string,
    { readonly at: number; readonly rates: readonly PartRate[] }
  >();
  /** Sums of the peers' rates, by hash. */
  const sums = new Map<number, number>();
  /** Times of failed copies by target and part, the oldest first. */
  const failedAt = new Map<string, number>();
  /** Numbers of running copies by target and part. */
  const copies = new Map<string, number>();

  return {
    recordRequest,
    recordReport,
    getOwnRates,
    tryGetPerS,
    ...{ beginCopy, isCopying },
    hasCopyFailed,
  };

  function recordRequest(parts: readonly PromptPart[]): void {
    if (!host.isActive()) return;
    const part = tryGetLargest(parts);
    if (part === undefined) return;
    const rate = own.get(part.id) ??
      { hash: host.hash(part.id) >>> 0, perS: 0, at: performance.now() };
    own.delete(part.id);
    own.set(part.id, rate);
    rate.perS = getRate(rate) + 1_000 / smoothingMs;
    rate.at = performance.now();
    removeOld();
  }

  function removeOld(): void {
    const oldest = performance.now() - rateTtlMs;
    for (const [id, { at }] of own) {
      if (at >= oldest && own.size <= maxParts) return;
      own.delete(id);
    }
  }

  function recordReport(peer: string, rates: readonly PartRate[]): void {
    if (rates.length === 0 && !reports.has(peer)) return;
    removeReport(peer);
    const valid = rates.filter(({ perS }) => perS <= maxReportedPerS);
    reports.set(peer, { at: performance.now(), rates: valid });
    valid.forEach((rate) => add(rate, 1));
  }

  function removeReport(peer: string): void {
    const report = reports.get(peer);
    if (report === undefined) return;
    reports.delete(peer);
    report.rates.forEach((rate) => add(rate, -1));
  }

  function removeExpired(): void {
    const oldest = performance.now() - reportTtlMs;
    for (const [peer, { at }] of reports) {
      if (at >= oldest) return;
      removeReport(peer);
    }
  }

  function add({ hash, perS }: PartRate, sign: 1 | -1): void {
    const sum = (sums.get(hash) ?? 0) + sign * perS;
    // Sums of fractions don't return to exactly 0.
    if (sum < minReportedPerS / 2) sums.delete(hash);
    else sums.set(hash, sum);
  }

  function getOwnRates(): readonly PartRate[] {
    if (!host.isActive()) return [];
    return [...own.values()]
      // Most parts have had a single request, which costs no exponential.
      .filter(({ perS }) => perS >= minReportedPerS)
      .map((rate) => ({ hash: rate.hash, perS: getRate(rate) }))
      .filter(({ perS }) => perS >= minReportedPerS)
      .sort((left, right) => right.perS - left.perS)
      .slice(0, maxReportedPartRates);
  }

  function tryGetPerS(parts: readonly PromptPart[]): number | undefined {
    if (!host.isActive()) return undefined;
    const part = tryGetLargest(parts);
    const rate = part && own.get(part.id);
    if (rate === undefined) return undefined;
    removeExpired();
    return getRate(rate) + (sums.get(rate.hash) ?? 0);
  }

  function beginCopy(target: string, parts: readonly PromptPart[]): PartCopy {
    const part = tryGetLargest(parts);
    if (part === undefined || !host.isActive()) return { end: () => undefined };
    const key = getKey(target, part);
    copies.set(key, (copies.get(key) ?? 0) + 1);
    let isEnded = false;
    return { end };

    function end({ hasFailed }: { readonly hasFailed: boolean }): void {
      if (isEnded) return;
      isEnded = true;
      const count = (copies.get(key) ?? 1) - 1;
      if (count > 0) copies.set(key, count);
      else copies.delete(key);
      failedAt.delete(key);
      if (hasFailed) failedAt.set(key, performance.now());
      if (failedAt.size > maxFailedCopies) deleteOldest(failedAt);
    }
  }

  function isCopying(target: string, parts: readonly PromptPart[]): boolean {
    if (copies.size === 0) return false;
    const part = tryGetLargest(parts);
    return part !== undefined && copies.has(getKey(target, part));
  }

  function hasCopyFailed(
    target: string,
    parts: readonly PromptPart[],
  ): boolean {
    if (failedAt.size === 0) return false;
    const part = tryGetLargest(parts);
    const at = part && failedAt.get(getKey(target, part));
    return at !== undefined && performance.now() - at < failedCopyMs;
  }
}

/** Returns the rate of now. */
function getRate({ perS, at }: OwnRate): number {
  return perS * Math.exp((at - performance.now()) / smoothingMs);
}

function tryGetLargest(parts: readonly PromptPart[]): PromptPart | undefined {
  let largest: PromptPart | undefined;
  for (const part of parts) {
    if (part.tokens < (largest?.tokens ?? minPartTokens)) continue;
    largest = part;
  }
  return largest;
}

function getKey(target: string, { id }: PromptPart): string {
  return `${target}/${id}`;
}

function deleteOldest(map: Map<string, unknown>): void {
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
