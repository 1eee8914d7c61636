/**
 * Estimates how long a request runs, by when it should begin, and how much of an
 * engine's cache it fills.
 *
 * Load pattern: callers' estimates of output lengths are right at the median and
 * often far off, so single estimates are bounded and capacity is counted by the
 * mean of recent requests.
 */

import type { Prompt } from "../../../types/prompt.ts";
import type { EngineTraits } from "../../../types/route_table.ts";
import { getSharedParts } from "../placement/prefix_placement.ts";
import type { QueuedRequest } from "./queued_request.ts";

/**
 * Expected run time as a share of the latency goal, while none is known: of
 * calls, whose goal contains the run, and of streams, whose goal ends with the
 * first event.
 */
const runGoalShares = { call: 0.25, stream: 2 } as const;

/**
 * Factor of the mean time to a response that a request needs from its begin on, so
 * that most requests that begin in time also get their responses in time.
 */
const neededFactor = 1.2;

/** Part of the goal that a stream takes to its first event, while not known. */
const firstEventGoalShare = 0.4;

/** Part of the latency goal that is kept for the run at most. */
const maxNeededGoalShare = 0.7;

/** Part of the time to the deadline that is kept for the run at most. */
const maxRunShare = 0.5;

/** Part of the time to the deadline in which a late request has its turn. */
const lateTurnShare = 0.25;

/** Factor of estimated output tokens; the mean is above the median. */
const outputFactor = 1.3;

/** Part of the longest output that is expected without an estimate. */
const unhintedOutputShare = 0.4;

/** Weight of a new request in the mean of its service. */
const smoothingFactor = 0.02;

/** Bounds of the cost of a request relative to the mean of its service. */
const costBounds = { min: 0.25, max: 4 } as const;

/** Part of the goal by which the costliest request is due later. */
const workGoalShare = 0.5;

/** Returns the cache tokens that a request fills while it runs. */
export function getRequestTokens(prompt: Prompt | undefined): number {
  if (prompt === undefined) return 0;
  const shared = getSharedParts(prompt.parts)
    .reduce((sum, { tokens }) => sum + tokens, 0);
  const { hintedOutputTokens: hint, maxOutputTokens } = prompt;
  const outputTokens = hint === undefined
    ? maxOutputTokens * unhintedOutputShare
    : hint * outputFactor;
  return Math.max(0, prompt.promptTokens - shared) +
    Math.max(0, Math.min(outputTokens, maxOutputTokens));
}

/** Returns tokens of a request, at most those that an engine holds. */
export function limitToMemory(
  tokens: number,
  engine: Pick<EngineTraits, "cacheTokens"> | undefined,
): number {
  const memory = engine?.cacheTokens ?? 0;
  return memory > 0 ? Math.min(memory, tokens) : tokens;
}

/** Returns the expected run time of a request, in milliseconds. */
export function getRunMs(
  { isStream, goalMs }: Pick<QueuedRequest, "isStream" | "goalMs">,
  meanRunMs: number | undefined,
): number {
  const share = isStream ? runGoalShares.stream : runGoalShares.call;
  return Math.max(1, meanRunMs ?? goalMs * share);
}

/** Times by which a request should begin, on the monotonic clock. */
export interface BeginTimes {
  /** Latest begin that still meets the latency goal. */
  readonly goalAt: number;
  /** Latest begin that leaves time for a run before the deadline. */
  readonly latestAt: number;
  /**
   * Time from which a request takes the places for those with little time left.
   * Taken from the time of the missed goal on, these cost others their goals.
   */
  readonly lateTurnAt: number;
  /** Time that orders the requests of a workspace. */
  readonly dueAt: number;
}

/** Returns the times of a request that first arrived at a time. */
export function getBeginTimes(
  request: QueuedRequest,
  { firstArrivedAt, runMs, responseMs, cost }: {
    readonly firstArrivedAt: number;
    readonly runMs: number;
    /** Mean time to the response that the goal counts to, in milliseconds. */
    readonly responseMs: number;
    /** Work relative to the mean of the service. */
    readonly cost: number;
  },
): BeginTimes {
  const { arrivedAt, deadlineAt, goalMs, isResumed } = request;
  const timeMs = deadlineAt - arrivedAt;
  const latestAt = deadlineAt - Math.min(runMs, timeMs * maxRunShare);
  const neededMs = Math.min(
    responseMs * neededFactor,
    goalMs * maxNeededGoalShare,
  );
  const goalAt = Math.min(latestAt, arrivedAt + goalMs - neededMs);
  const workMs = goalMs * workGoalShare * cost / costBounds.max;
  const dueAt = isResumed
    ? firstArrivedAt
    : Math.min(latestAt, firstArrivedAt + goalMs - neededMs + workMs);
  const lateTurnAt = latestAt - timeMs * lateTurnShare;
  return { goalAt, latestAt, lateTurnAt, dueAt };
}

/** Returns the expected time to the response before any is known, in ms. */
export function getFirstResponseMs(
  { isStream, goalMs }: Pick<QueuedRequest, "isStream" | "goalMs">,
  runMs: number,
): number {
  return isStream ? goalMs * firstEventGoalShare : runMs;
}

/** Mean sizes of requests by service. */
export interface RequestSizes {
  /** Records a request that arrives; returns its cost in mean requests. */
  record(service: string, tokens: number): number;
  /** Returns the cost of a request without recording it. */
  getCost(service: string, tokens: number): number;
  /** Returns the mean tokens of a service; 0 while none is known. */
  getMeanTokens(service: string): number;
}

/** Creates sizes without a request. */
export function createRequestSizes(): RequestSizes {
  const means = new Map<string, number>();

  return {
    record,
    getCost,
    getMeanTokens: (service) => means.get(service) ?? 0,
  };

  function record(service: string, tokens: number): number {
    const cost = getCost(service, tokens);
    if (tokens <= 0) return cost;
    const mean = means.get(service) ?? tokens;
    means.set(service, mean + (tokens - mean) * smoothingFactor);
    return cost;
  }

  function getCost(service: string, tokens: number): number {
    if (tokens <= 0) return 1;
    const mean = means.get(service) ?? tokens;
    return Math.max(costBounds.min, Math.min(costBounds.max, tokens / mean));
  }
}
