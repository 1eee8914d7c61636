/**
 * Calculates the steps of a pace: how far its bound rises and falls, what proves
 * a rise, and which of two routers' records is the newer one.
 *
 * Load pattern: hundreds of routers see a few responses each, learn of changes in
 * any order, and some digests are lost. Records are merged by an order on which
 * all agree: a fall outweighs all rises before it, and the highest of the rises
 * after it counts.
 */

import type { ReportedLoad } from "../../../types/direct_calls.ts";

/** The pace of a target as routers report it to each other. */
export interface PaceRecord {
  /** Hash of the target's id and its start time. */
  readonly hash: number;
  /** Number of falls and new beginnings. */
  readonly version: number;
  /** Concurrent requests over all routers. */
  readonly bound: number;
  /** Time since the pace began, in milliseconds. */
  readonly ageMs: number;
}

/**
 * How a target has responded to a request.
 *
 * - `healthy`: in the time of similar targets.
 * - `slow`: much later than similar targets.
 * - `full`: its load header says that requests wait for a slot.
 * - `failed`: with an error, or not at all.
 * - `refused`: it has not run the request.
 */
export type PaceOutcome = "healthy" | "slow" | "full" | "failed" | "refused";

/** Why a pace began; `peer`: another router has reported it. */
export type PaceReason = "started" | "recovered" | "paused" | "peer";

/** A pace as operators see it. */
export interface PaceState {
  readonly target: string;
  readonly reason: PaceReason;
  readonly bound: number;
  readonly slots: number;
  readonly ageMs: number;
}

/** First bound, as a share of the slots and in requests. */
const firstBound = { slotShare: 1 / 8, min: 3 } as const;

/** Factor of the bound in each step before it first falls. */
const riseFactor = 2;

/** Rise in each step after the bound has fallen, as a share of the bound. */
const cautiousRiseShare = 1 / 4;

/** Factor of the bound by the outcome that lowers it. */
const fallFactors: Readonly<Record<PaceOutcome, number>> = {
  healthy: 1,
  slow: 0.7,
  full: 0.7,
  failed: 0.5,
  refused: 0.5,
};

/**
 * Share of the requests that a router may have at the target whose responses it
 * needs for a rise.
 */
const neededShare = 1 / 2;

/**
 * Responses other than refusals that lower a bound at least, if the router gets
 * as many of the target.
 */
const minUnhealthy = 2;

/** Time relative to that of similar targets above which a response is slow. */
const slowMultiple = 2;

/**
 * Relative time up to which a response outweighs a header that says that the
 * target is full.
 */
const fastEnoughMultiple = 1.3;

/** Returns the bound of a target that begins. */
export function getInitialBound(slots: number): number {
  const { slotShare, min } = firstBound;
  return Math.min(Math.max(1, slots), Math.max(min, slots * slotShare));
}

/** Returns the bound after a step of healthy responses. */
export function getRaisedBound(
  { bound, hasFallen }: {
    readonly bound: number;
    readonly hasFallen: boolean;
  },
  slots: number,
): number {
  const raised = hasFallen
    ? bound + Math.max(1, bound * cautiousRiseShare)
    : bound * riseFactor;
  return Math.min(slots, Math.round(raised));
}

/** Returns the bound after an unhealthy response. */
export function getLoweredBound(bound: number, outcome: PaceOutcome): number {
  return Math.max(1, Math.floor(bound * fallFactors[outcome]));
}

/** Returns the healthy responses that a router needs to raise a bound. */
export function getHealthyNeeded(bound: number, part: number): number {
  return Math.max(1, Math.ceil(bound * part * neededShare));
}

/**
 * Returns true when the responses of a step lower the bound. A few slow ones or
 * errors are usual at any target; a refusal is not, as the bound is below the
 * slots.
 */
export function isFallProved(
  { healthy, unhealthy }: {
    readonly healthy: number;
    readonly unhealthy: number;
  },
  { outcome, needed }: {
    readonly outcome: PaceOutcome;
    /** As `getHealthyNeeded` returns it. */
    readonly needed: number;
  },
): boolean {
  if (outcome === "refused") return true;
  return unhealthy >= Math.min(minUnhealthy, needed) &&
    unhealthy > healthy / 2;
}

/** Orders two records of one target; above 0 when the first is newer. */
export function comparePaces(
  left: Pick<PaceRecord, "version" | "bound">,
  right: Pick<PaceRecord, "version" | "bound">,
): number {
  return left.version - right.version || left.bound - right.bound;
}

/**
 * Judges a response by its time relative to that of similar targets, undefined
 * while that is unknown, and by the load that the target reports.
 */
export function judgeResponse(
  relativeTime: number | undefined,
  load: ReportedLoad | undefined,
): PaceOutcome {
  if (relativeTime !== undefined && relativeTime > slowMultiple) return "slow";
  if (relativeTime !== undefined && relativeTime <= fastEnoughMultiple) {
    return "healthy";
  }
  const isFull = load !== undefined && load.waiting > 0 &&
    load.running >= load.slots;
  return isFull ? "full" : "healthy";
}
