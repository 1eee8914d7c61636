/**
 * Decides the timeouts and the priority class of one attempt.
 *
 * Load pattern: a target stops responding while the caller's deadline
 * approaches. Retryable work moves to another target while there is time left
 * to serve it. A response time that no healthy target needs counts against the
 * health of the target.
 */

import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectRoute } from "../types/route_table.ts";

/**
 * Idle times after which retryable work moves to another target: the larger of
 * `min` milliseconds and `goalMultiple` times the route's latency goal.
 */
const idleTimeoutsMs = {
  /** Above the typical pause while the engine prefills another long prompt. */
  stream: { min: 900, goalMultiple: 3 },
  /** Above the typical wait for a slot. */
  call: { min: 250, goalMultiple: 2 },
} as const;

/** Multiple of the goal for the time between events; callers give up at 8. */
const gapGoalMultiple = 6;

/** Share of the time left that one unresponsive call may use up. */
const maxTimeLeftShare = 0.45;

/**
 * Times without a response that count against the health of a target: the
 * larger of `min` milliseconds and `goalMultiple` times the route's latency
 * goal.
 */
const unresponsiveTimeoutsMs = {
  /** Above the time to first event behind a few long prompts. */
  stream: { min: 1_200, goalMultiple: 1 },
  /** Above the longest typical run time of a call. */
  call: { min: 300, goalMultiple: 3 },
} as const;

/** Priority class of the least urgent requests; engines use 0 to 9. */
const maxPriorityClass = 9;

/** Priority classes per workspace rank. */
const classesPerWorkspaceRank = 3;

/** Returns the idle timeout of retryable work at one target, in ms. */
export function getIdleTimeoutMs(route: DirectRoute, leftMs: number): number {
  if (route.kind === "stream") {
    const { min, goalMultiple } = idleTimeoutsMs.stream;
    return Math.max(min, goalMultiple * route.latencyGoalMs);
  }
  const { min, goalMultiple } = idleTimeoutsMs.call;
  return Math.min(
    leftMs * maxTimeLeftShare,
    Math.max(min, goalMultiple * route.latencyGoalMs),
  );
}

/**
 * Returns the time between two events of a retryable stream after which it
 * moves to another target, in ms: not before the time to the first event, nor
 * before a multiple of the route's goal for the time between events.
 */
export function getGapTimeoutMs(route: DirectRoute, leftMs: number): number {
  return Math.max(
    getIdleTimeoutMs(route, leftMs),
    gapGoalMultiple * route.gapGoalMs,
  );
}

/** Returns the time without a response that counts against a target, in ms. */
export function getUnresponsiveTimeoutMs(route: DirectRoute): number {
  const kind = route.kind === "stream" ? "stream" : "call";
  const { min, goalMultiple } = unresponsiveTimeoutsMs[kind];
  return Math.max(min, goalMultiple * route.latencyGoalMs);
}

/**
 * Returns the priority class that is sent to engines: ordered by the rank of
 * the workspace, then by that of the route.
 */
export function getPriorityClass(
  { holder, route }: Pick<DirectRequest, "holder" | "route">,
): number {
  const workspaceRank = holder?.priority ?? defaultWorkspaceRank;
  const rank = workspaceRank * classesPerWorkspaceRank + route.priority;
  return Math.max(0, Math.min(maxPriorityClass, rank));
}

/** Rank of requests that belong to no workspace. */
const defaultWorkspaceRank = 1;
