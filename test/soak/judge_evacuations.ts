/** EVAC: requests that reach targets of an evacuated zone. */

import {
  type JudgeContext,
  overlaps,
  type Violation,
} from "./judge_context.ts";
import { bounds } from "./observations.ts";

/**
 * Time before the end of an evacuation that is not judged, in milliseconds: the
 * time of an arrival is the earliest that it can have.
 */
const endSlackMs = 100;

/** Judges the arrivals at targets of evacuated zones. */
export function judgeEvacuations(
  { requests, arrivals, evacuations, storeSpans, isInTouch, formatTime }:
    JudgeContext,
): readonly Violation[] {
  const requestsById = new Map(requests.map((value) => [value.id, value]));
  return arrivals.flatMap(({ requestId, router, life, zone, at, kind }) => {
    const request = requestsById.get(requestId);
    if (request === undefined || kind === "wrong_target") return [];
    const begun = evacuations.find((evacuation) =>
      evacuation.zone === zone && at < evacuation.to - endSlackMs &&
      at > evacuation.from + bounds.evacuateMs
    );
    if (begun === undefined) return [];
    // A store that has returned from a copy may have lost the evacuation.
    const isDisrupted = storeSpans.some((span) =>
      overlaps(span, begun.from - bounds.contactMs, at)
    );
    const isJudged = !isDisrupted && isInTouch(router, request.sentAt) &&
      isInTouch(router, at);
    return isJudged
      ? [{
        rule: "EVAC" as const,
        text: `${requestId} by ${router} sent ${formatTime(request.sentAt)} ` +
          `reached ${life} at ${formatTime(at)}, whose zone was evacuated at ` +
          formatTime(begun.from),
      }]
      : [];
  });
}
