/** What all parts of the judge use: contact of routers, indexes and times. */

import {
  type Arrival,
  bounds,
  type Observations,
  type Span,
} from "./observations.ts";

/** A rule that a soak judges. */
export type RuleName = Violation["rule"];

/** One case in which a rule was broken. */
export interface Violation {
  readonly rule:
    | ("REFUSED" | "TWICE" | "MIXED" | "ORDER" | "LOST" | "UNASKED")
    | ("BUDGET" | "DRAIN" | "EVAC" | "CONFIG" | "LIMIT");
  /** What was seen, with its times since the start of the run. */
  readonly text: string;
}

/** What was seen in one run, with views of it. */
export type JudgeContext = ReturnType<typeof createJudgeContext>;

/** Creates the views of one run. */
export function createJudgeContext(observations: Observations) {
  const { routers, storeSpans, largeSpans, startedAt } = observations;
  const spansById = new Map(routers.map(({ id, spans }) => [id, spans]));
  const starvedById = new Map(routers.map(({ id, starved }) => [id, starved]));
  const reloadsById = new Map(routers.map(({ id, reloads }) => [id, reloads]));

  return {
    ...observations,
    arrivalsById: groupBy(observations.arrivals, ({ requestId }) => requestId),
    ...{ getSpans, isInTouch, isStoreStable, isDisturbed, getLifeStart },
    ...{ getReloads, getStarved, hasWideLinks },
    formatTime: (at: number) => `${((at - startedAt) / 1_000).toFixed(3)} s`,
  };

  function getSpans(router: string) {
    return spansById.get(router) ?? [];
  }

  function getReloads(router: string): readonly number[] {
    return reloadsById.get(router) ?? [];
  }

  /** Returns when the machine did not let the router run. */
  function getStarved(router: string): readonly Span[] {
    return starvedById.get(router) ?? [];
  }

  /** Returns true when the router was in touch, as the rules define it. */
  function isInTouch(router: string, at: number): boolean {
    const from = at - bounds.contactMs;
    return isStoreStable(at) &&
      !getSpans(router).some((span) => overlaps(span, from, at));
  }

  /** Returns false where a large value may have delayed a configuration. */
  function hasWideLinks(at: number): boolean {
    const from = at - bounds.contactMs;
    return !largeSpans.some((span) => overlaps(span, from, at));
  }

  function isStoreStable(at: number): boolean {
    const from = at - bounds.contactMs;
    return !storeSpans.some((span) => overlaps(span, from, at));
  }

  /** Returns true when the router was started, ended or frozen in a span. */
  function isDisturbed(router: string, from: number, to: number): boolean {
    return getSpans(router).some((span) =>
      span.kind !== "cut" && overlaps(span, from, to)
    );
  }

  /** Returns the start of the router's process that ran at a moment. */
  function getLifeStart(router: string, at: number): number {
    return getSpans(router).findLast(({ kind, from }) =>
      kind === "start" && from <= at
    )?.from ?? 0;
  }
}

/** Returns true when a span has a moment in common with another one. */
export function overlaps(span: Span, from: number, to: number): boolean {
  return span.from <= to && span.to >= from;
}

/** Returns when a target has ended its work on an arrival, or was told to. */
export function getEndedAt({ completedAt, closedAt }: Arrival): number {
  return completedAt ?? closedAt ?? Infinity;
}

/** Groups values by a key. */
export function groupBy<T>(
  values: readonly T[],
  getKey: (value: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const value of values) {
    const group = groups.get(getKey(value));
    if (group === undefined) groups.set(getKey(value), [value]);
    else group.push(value);
  }
  return groups;
}

/** Formats the arrivals of a request. */
export function formatArrivals(
  { formatTime }: JudgeContext,
  arrivals: readonly Arrival[],
): string {
  return arrivals.map((arrival) => {
    const { kind, life, at, status = "none", completedAt, closedAt } = arrival;
    const end = completedAt === undefined ? "closed" : "completed";
    const endedAt = completedAt ?? closedAt;
    const until = endedAt === undefined ? "" : ` ${end} ${formatTime(endedAt)}`;
    const brokeOff = arrival.brokeOff ? " broke off" : "";
    const { resetAfterMs } = arrival;
    const reset = resetAfterMs === undefined
      ? ""
      : ` reset ${resetAfterMs.toFixed(1)} ms after its end`;
    return `${kind} at ${life} ${formatTime(at)} status ${status}${until}` +
      brokeOff + reset;
  }).join("; ");
}
