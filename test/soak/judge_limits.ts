/** LIMIT: a target gets more than it takes from routers that it has told. */

import { groupBy, type JudgeContext, type Violation } from "./judge_context.ts";
import { type Arrival, bounds, type LimitSpan } from "./observations.ts";

/** Judges the arrivals at targets while they name a limit. */
export function judgeLimits(context: JudgeContext): readonly Violation[] {
  return context.limits.flatMap((span) => judgeSpan(context, span));
}

function judgeSpan(
  context: JudgeContext,
  span: LimitSpan,
): readonly Violation[] {
  const { life, perS } = span;
  const { limitRatio, limitSlack, limitWindowMs } = bounds;
  const allowed = limitRatio * perS * limitWindowMs / 1_000 + limitSlack;
  const counted = context.arrivals.filter((arrival) =>
    arrival.life === life && counts(context, arrival, span)
  );
  const busiest = findBusiest(counted.map(({ at }) => at));
  if (busiest.count <= allowed) return [];
  const kinds = [...groupBy(counted, ({ kind, router }) => `${kind} ${router}`)]
    .map(([kind, arrivals]) => `${kind} ${arrivals.length}`);
  return [{
    rule: "LIMIT",
    text:
      `${life} took ${perS} a second and got ${busiest.count} requests in ` +
      `4 s up to ${context.formatTime(busiest.endsAt)}; allowed ${allowed}; ` +
      `in all ${kinds.join(", ")}`,
  }];
}

/** Returns true if the router knew the limit and was not disturbed. */
function counts(
  { limitNotices, getSpans }: JudgeContext,
  { router, at, life }: Arrival,
  { from, to }: LimitSpan,
): boolean {
  if (at < from + bounds.contactMs || at > to) return false;
  const isTold = limitNotices.some((notice) =>
    notice.router === router && notice.life === life &&
    notice.at <= at - bounds.limitNoticeMs
  );
  const isDisturbed = getSpans(router).some((span) =>
    span.from <= at && span.to >= at - bounds.contactMs
  );
  return isTold && !isDisturbed;
}

function findBusiest(times: readonly number[]) {
  let busiest = { count: 0, endsAt: 0 };
  times.forEach((endsAt) => {
    const count = times.filter((at) =>
      at <= endsAt && at > endsAt - bounds.limitWindowMs
    ).length;
    if (count > busiest.count) busiest = { count, endsAt };
  });
  return busiest;
}
