/** TWICE: requests that go on at a target while the one before works on them. */

import {
  formatArrivals,
  getEndedAt,
  type JudgeContext,
  overlaps,
  type Violation,
} from "./judge_context.ts";
import { minBusyMs } from "./loop_clock.ts";
import { type Arrival, bounds } from "./observations.ts";

/** Judges the runs of each request at one target after another. */
export function judgeOverlaps(context: JudgeContext): readonly Violation[] {
  return [...context.arrivalsById].flatMap(([id, arrivals]) => {
    const runs = arrivals.filter(({ kind }) => kind === "run");
    const isBroken = runs.some((run, index) => {
      const next = runs[index + 1];
      return next !== undefined && next.life !== run.life &&
        worksOn(run, next.at) && isInTouch(next) && isTimed(run, next);
    });
    return isBroken
      ? [{
        rule: "TWICE",
        text: `${id} goes on while the target before works: ${
          formatArrivals(context, arrivals)
        }`,
      }]
      : [];
  });

  /** The router was in touch from before the next run until the bound. */
  function isInTouch({ router, at }: Arrival): boolean {
    const spans = [
      ...[...context.getSpans(router), ...context.getStarved(router)],
      ...context.storeSpans,
    ];
    return !spans.some((span) =>
      overlaps(span, at - bounds.contactMs, at + bounds.overlapMs)
    );
  }

  /** Both were seen when they happened. */
  function isTimed(run: Arrival, { at }: Arrival): boolean {
    const to = at + bounds.overlapMs + minBusyMs;
    return !(context.busySpans ?? []).some((span) =>
      overlaps(span, at, to) ||
      overlaps(span, getEndedAt(run) - minBusyMs, getEndedAt(run))
    );
  }
}

function worksOn(run: Arrival, nextAt: number): boolean {
  const endedAt = getEndedAt(run);
  // Each time may be wrong by the time for which a loop is busy.
  return !run.brokeOff && endedAt > nextAt + bounds.overlapMs + minBusyMs;
}
