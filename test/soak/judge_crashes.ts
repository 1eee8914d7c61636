/**
 * BUDGET: what crashes targets is sent on and on. LOST: sound requests that share
 * their caller and their first parts are not served meanwhile.
 */

import type { JudgeContext, Violation } from "./judge_context.ts";
import { bounds, type CallerRequest, type CrashCause } from "./observations.ts";

/** Crashes after which a cause counts as known. */
const knownAfterCrashes: Readonly<Record<CrashCause, number>> = {
  request: 3,
  part: 5,
};

/** Sends of a known cause that are allowed. */
const maxLateSends = 3;

/** Sound requests, before and after, that a comparison takes. */
const minCompared = 20;

/** Judges the requests that crash targets and those beside them. */
export function judgeCrashes(context: JudgeContext): readonly Violation[] {
  return [
    ...judgeSends(context, "request"),
    ...judgeSends(context, "part"),
    ...judgeSoundRequests(context),
  ];
}

function judgeSends(
  context: JudgeContext,
  cause: CrashCause,
): readonly Violation[] {
  const knownAt = getKnownAt(context, cause);
  const { arrivals, isInTouch, formatTime } = context;
  const late = arrivals.filter((arrival) =>
    arrival.cause === cause && arrival.at > knownAt + bounds.contactMs &&
    arrival.kind !== "wrong_target" && isInTouch(arrival.router, arrival.at)
  );
  if (late.length <= maxLateSends) return [];
  const times = late.slice(0, 6).map(({ router, at }) =>
    `${formatTime(at)} by ${router}`
  );
  return [{
    rule: "BUDGET",
    text: `${late.length} sends of a ${cause} that had crashed targets at ` +
      `${formatTime(knownAt)}: ${times.join(", ")}`,
  }];
}

/** Compares how often sound requests with shared parts begin. */
function judgeSoundRequests(context: JudgeContext): readonly Violation[] {
  const { requests, arrivalsById, isInTouch } = context;
  const knownAt = getKnownAt(context, "part");
  const firstAt = context.arrivals.find(({ cause }) => cause !== undefined)?.at;
  const sound = requests.filter(({ cause, parts, router, sentAt }) =>
    cause === undefined && parts.length > 0 && isInTouch(router, sentAt)
  );
  const before = sound.filter(({ sentAt }) => sentAt < (firstAt ?? Infinity));
  const after = sound.filter(({ sentAt }) =>
    sentAt > knownAt + 2 * bounds.contactMs
  );
  if (before.length < minCompared || after.length < minCompared) return [];
  const [shareBefore, shareAfter] = [before, after].map(getBegunShare);
  if ((shareAfter ?? 0) >= (shareBefore ?? 0) / 2) return [];
  return [{
    rule: "LOST",
    text: `Sound requests with a part that others share begin in ` +
      `${shareAfter} of cases, before in ${shareBefore}`,
  }];

  function getBegunShare(compared: readonly CallerRequest[]): number {
    const begun = compared.filter(({ id }) =>
      arrivalsById.get(id)?.some(({ kind }) => kind === "run")
    );
    return begun.length / compared.length;
  }
}

/** Returns when so many processes had crashed that the cause is known. */
function getKnownAt(
  { arrivals }: JudgeContext,
  cause: CrashCause,
): number {
  const lives = new Set<string>();
  for (const arrival of arrivals) {
    if (arrival.cause !== cause || arrival.kind === "wrong_target") continue;
    lives.add(arrival.life);
    if (lives.size === knownAfterCrashes[cause]) return arrival.at;
  }
  return Infinity;
}
