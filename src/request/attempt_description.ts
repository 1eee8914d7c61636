/** Describes one attempt of a direct request for the log. */

import { getSharedParts } from "../process/direct/prefix_placement.ts";
import type { DirectResult } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectChoice } from "./direct_choice.ts";

/** Returns the values that the choice was based on, for the log. */
export function describeChoice(
  { candidates, load, heldTokens, fetchFrom }: DirectChoice,
  { prompt }: DirectRequest,
): Readonly<Record<string, string | number>> {
  if (prompt === undefined) return { candidates, load };
  const shared = getSharedParts(prompt.parts);
  return {
    candidates,
    load,
    part: shared.at(-1)?.id ?? "",
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0),
    heldTokens,
    ...(fetchFrom === undefined ? {} : { fetchFrom: fetchFrom.id }),
  };
}

/** Returns what a target responded, for the log. */
export function describeHead(
  result: DirectResult,
): Readonly<Record<string, number | boolean>> {
  if (result.kind === "refused") return { status: result.status };
  if (result.kind !== "answer") return {};
  const { status, isEventStream } = result.head;
  return { status, isEventStream };
}

/** Returns the reason of a result or an end that has one. */
export function getReason(
  resultOrEnd: { readonly kind: string; readonly reason?: string },
): string | undefined {
  return resultOrEnd.reason;
}
