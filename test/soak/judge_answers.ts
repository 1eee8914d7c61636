/** REFUSED, TWICE, MIXED, ORDER and UNASKED: what callers got for a request. */

import {
  formatArrivals,
  type JudgeContext,
  type Violation,
} from "./judge_context.ts";
import {
  type Arrival,
  type CallerRequest,
  type CallerResult,
  isRepeatable,
  isStream,
} from "./observations.ts";

/** Status codes that promise that a request has not run and never will. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** One request with all that is known of it. */
interface Case {
  readonly request: CallerRequest;
  readonly result: CallerResult;
  readonly arrivals: readonly Arrival[];
  readonly runs: readonly Arrival[];
}

/** Judges all requests that have ended. */
export function judgeAnswers(context: JudgeContext): readonly Violation[] {
  return context.requests.flatMap((request) => {
    const { result } = request;
    if (result === undefined) return [];
    const arrivals = context.arrivalsById.get(request.id) ?? [];
    const runs = arrivals.filter(({ kind }) => kind === "run");
    const found: Case = { request, result, arrivals, runs };
    const problems = {
      REFUSED: tryFindRefused(found),
      TWICE: tryFindTwice(found),
      MIXED: tryFindMixed(found),
      ORDER: tryFindDisorder(found),
      UNASKED: tryFindChanged(found),
    } as const;
    return Object.entries(problems).flatMap(([rule, problem]) =>
      problem === undefined ? [] : [{
        rule: rule as keyof typeof problems,
        text: `${problem}: ${describe(context, found)}`,
      }]
    );
  });
}

function describe(
  context: JudgeContext,
  { request: { id, kind, router, sentAt }, result, arrivals }: Case,
): string {
  const { status = "close", signature = "nobody", endedAt } = result;
  const sent = context.formatTime(sentAt);
  const ended = context.formatTime(endedAt);
  return `${id} ${kind} by ${router} sent ${sent} got ${status} signed by ` +
    `${signature} at ${ended}; ${formatArrivals(context, arrivals)}`;
}

function tryFindRefused({ request, result, runs }: Case): string | undefined {
  return refusalStatuses.has(result.status ?? 0) && runs.length > 0 &&
      !isRepeatable(request.kind)
    ? "refused and has run"
    : undefined;
}

function tryFindTwice({ request, runs }: Case): string | undefined {
  return runs.length > 1 && !isRepeatable(request.kind)
    ? `ran ${runs.length} times`
    : undefined;
}

function tryFindChanged({ arrivals }: Case): string | undefined {
  return arrivals.some(({ hasOtherBody }) => hasOtherBody)
    ? "another body than the caller's"
    : undefined;
}

function tryFindMixed(
  { request, result, arrivals, runs }: Case,
): string | undefined {
  const { status, signature, body, responseId } = result;
  if (result.isMalformed) return "bytes that are no response";
  if (status === undefined) return undefined;
  if (responseId !== undefined && responseId !== request.id) {
    return "response of another request";
  }
  if (status >= 300) {
    const isChanged = signature !== undefined &&
      !arrivals.some((arrival) =>
        arrival.life === signature && arrival.status === status
      );
    return isChanged ? "a status that its target did not give" : undefined;
  }
  if (signature === undefined) return "success without a signature";
  if (isStream(request.kind) || !result.isComplete) return undefined;
  return runs.some((run) => run.status === status && run.body === body)
    ? undefined
    : "success that is not a target's whole body";
}

/** Checks the events that reached the caller, complete or not. */
function tryFindDisorder(
  { request, result, runs }: Case,
): string | undefined {
  if (!isStream(request.kind) || result.status !== 200) return undefined;
  let last = request.lastEventId;
  let life: string | undefined;
  let total = Infinity;
  for (const piece of result.body.split("\n\n").slice(0, -1)) {
    if (!piece.includes("data: ")) continue;
    const found = /^id: (\d+)\ndata: (\S+) (\S+) (\d+)\/(\d+)$/.exec(piece);
    const [, idText, requestId, eventLife, dataId, totalText] = found ?? [];
    const id = Number(idText);
    if (requestId !== request.id || idText !== dataId) {
      return "an event of no target or of another request";
    }
    if (id !== last + 1) return `event ${id} after ${last}`;
    const isResumed = life === undefined || life === eventLife ||
      (request.kind === "resumable" &&
        runs.some((run) => run.life === eventLife && run.lastEventId === last));
    if (!isResumed) return "events of two runs joined";
    last = id;
    life = eventLife;
    total = Number(totalText);
  }
  return result.isComplete && last < total
    ? `complete after event ${last} of ${total}`
    : undefined;
}
