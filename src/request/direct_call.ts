/** Creates the calls that send a request to its targets. */

import type { DirectCall } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectChoice } from "./direct_choice.ts";
import { getPriorityClass } from "./direct_timeouts.ts";

/** Returns what is the same whenever the call is sent to the chosen target. */
export function createDirectCall(
  request: DirectRequest,
  { target, fetchFrom }: DirectChoice,
): Omit<DirectCall, "deadlineMs" | "lastEventId" | "signal"> {
  return {
    target,
    requestId: request.requestId,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    workspace: request.holder?.workspace,
    priorityClass: getPriorityClass(request),
    fetchFrom: fetchFrom?.address,
    needsFreshConnection: request.route.kind === "unsafe",
  };
}
