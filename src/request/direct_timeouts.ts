/**
 * How long a try may be silent, and how urgent it is.
 *
 * Load pattern: a target falls silent while the caller's time runs. Work that
 * may run again moves on while there is time to serve it; silence that is too
 * long for any sound target speaks against this one.
 */

import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectRoute } from "../types/route_table.ts";

/** Bounds on the silence after which repeatable work moves on, in ms. */
const idleTimeoutsMs = {
  /** Above the usual pause of an engine that reads another long prompt. */
  stream: { min: 900, goalMultiple: 3 },
  /** Above the usual wait for a slot. */
  call: { min: 250, goalMultiple: 2 },
} as const;

/** Part of the time left that a silent call may take before it moves on. */
const maxTimeLeftShare = 0.45;

/** Time without an answer that speaks against a target, in milliseconds. */
const unresponsiveTimeoutsMs = {
  /** Above the wait for a first event behind a few long prompts. */
  stream: { min: 1_200, goalMultiple: 1 },
  /** Above the longest usual work of a call. */
  call: { min: 300, goalMultiple: 3 },
} as const;

/** Urgency that engines are told, 0 is first and 9 last. */
const maxPriorityClass = 9;

/** Classes between one rank of workspaces and the next. */
const classesPerWorkspaceRank = 3;

/** Silence after which repeatable work moves on, in milliseconds. */
export function getIdleTimeoutMs(route: DirectRoute, leftMs: number): number {
  if (route.kind === "stream") {
    const { min, goalMultiple } = idleTimeoutsMs.stream;
    return Math.max(min, goalMultiple * route.goalMs);
  }
  const { min, goalMultiple } = idleTimeoutsMs.call;
  return Math.min(
    leftMs * maxTimeLeftShare,
    Math.max(min, goalMultiple * route.goalMs),
  );
}

/** Silence that speaks against a target, in milliseconds. */
export function getUnresponsiveTimeoutMs(route: DirectRoute): number {
  const kind = route.kind === "stream" ? "stream" : "call";
  const { min, goalMultiple } = unresponsiveTimeoutsMs[kind];
  return Math.max(min, goalMultiple * route.goalMs);
}

/** The class that engines are told: the workspace's rank, then the route's. */
export function getPriorityClass(
  { holder, route }: Pick<DirectRequest, "holder" | "route">,
): number {
  const workspaceRank = holder?.priority ?? defaultWorkspaceRank;
  const rank = workspaceRank * classesPerWorkspaceRank + route.priority;
  return Math.max(0, Math.min(maxPriorityClass, rank));
}

/** Rank of requests that belong to no workspace. */
const defaultWorkspaceRank = 1;
