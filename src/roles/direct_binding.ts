/** Binds callers' requests to their routes, with defaults for what is absent. */

import {
  drawService,
  type RouteMatch,
} from "../process/direct/directory/route_match.ts";
import type {
  DirectRequest,
  FrontendRequest,
} from "../types/direct_request.ts";
import type { CallerLimits, DirectRoute } from "../types/route_table.ts";

/** Deadline of a request that gives none, in milliseconds. */
export const defaultDeadlineMs = 15_000;

/** Limits for callers until the first configuration is known. */
export const initialLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};

/**
 * Returns how long a caller may be kept waiting from the arrival of its request
 * on, in milliseconds. The route's timeout is the operator's bound.
 */
export function getTimeoutMs(
  { deadlineMs = defaultDeadlineMs }: Pick<FrontendRequest, "deadlineMs">,
  route: Pick<DirectRoute, "timeoutMs"> | undefined,
): number {
  return Math.min(deadlineMs, route?.timeoutMs ?? Infinity);
}

/**
 * Binds a request to its route, service and API key holder under the current
 * configuration, and sets its deadline.
 */
export function createDirectRequest(
  request: FrontendRequest,
  { route, holder }: RouteMatch,
  { arrivedAt, tableVersion }: {
    /**
     * Arrival time on the monotonic clock, before any wait, so that the deadline
     * includes time spent waiting.
     */
    readonly arrivedAt: number;
    readonly tableVersion: number;
  },
): DirectRequest {
  return {
    ...request,
    route,
    holder,
    service: drawService(route, Math.random()) ?? "",
    tableVersion,
    arrivedAt,
    deadlineAt: arrivedAt + getTimeoutMs(request, route),
  };
}
