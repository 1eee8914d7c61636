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
const silenceBoundsMs = {
  /** Above the usual pause of an engine that reads another long prompt. */
  stream: { least: 900, goals: 3 },
  /** Above the usual wait for a slot. */
  call: { least: 250, goals: 2 },
} as const;

/** Part of the time left that a silent call may take before it moves on. */
const silencePart = 0.45;

/** Time without an answer that speaks against a target, in milliseconds. */
const suspectSilenceMs = {
  /** Above the wait for a first event behind a few long prompts. */
  stream: { least: 1_200, goals: 1 },
  /** Above the longest usual work of a call. */
  call: { least: 300, goals: 3 },
} as const;

/** Urgency that engines are told, 0 is first and 9 last. */
const lastPriorityClass = 9;

/** Classes between one rank of workspaces and the next. */
const classesPerWorkspaceRank = 3;

/** Silence after which repeatable work moves on, in milliseconds. */
export function getSilenceMs(route: DirectRoute, leftMs: number): number {
  if (route.kind === "stream") {
    const { least, goals } = silenceBoundsMs.stream;
    return Math.max(least, goals * route.latencyGoalMs);
  }
  const { least, goals } = silenceBoundsMs.call;
  return Math.min(
    leftMs * silencePart,
    Math.max(least, goals * route.latencyGoalMs),
  );
}

/** Silence that speaks against a target, in milliseconds. */
export function getSuspicionMs(route: DirectRoute): number {
  const kind = route.kind === "stream" ? "stream" : "call";
  const { least, goals } = suspectSilenceMs[kind];
  return Math.max(least, goals * route.latencyGoalMs);
}

/** The class that engines are told: the workspace's rank, then the route's. */
export function getPriorityClass(
  { holder, route }: Pick<DirectRequest, "holder" | "route">,
): number {
  const ofWorkspace = holder?.priority ?? usualWorkspaceRank;
  const rank = ofWorkspace * classesPerWorkspaceRank + route.priority;
  return Math.max(0, Math.min(lastPriorityClass, rank));
}

/** Rank of requests that belong to no workspace. */
const usualWorkspaceRank = 1;
