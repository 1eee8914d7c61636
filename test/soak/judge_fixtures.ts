/** Requests, arrivals and disruptions for the tests of the judge. */

import { judge } from "./judge.ts";
import type {
  Arrival,
  CallerRequest,
  CallerResult,
  Observations,
  RouterSpan,
  SoakRouteKind,
  VersionRecord,
} from "./observations.ts";

/** A time at which everything has been calm for long, in milliseconds. */
export const calmAt = 20_000;

/** The process of the target. */
export const life = "t0#1";

/** A request that gets a whole answer by default. */
export function createRequest(
  kind: SoakRouteKind,
  result: Partial<CallerResult> = {},
  { id = "q", sentAt = calmAt } = {},
): CallerRequest {
  return {
    ...{ id, router: "r0", kind, prefix: "/a/", key: "key", sentAt },
    ...{ lastEventId: 0, deadlineMs: 3_000, parts: [], cause: undefined },
    ...{ resumes: undefined, leavesAfter: undefined, manner: "plain" },
    result: {
      ...{ status: 200, body: "whole", isComplete: true, gaveUp: false },
      ...{ isMalformed: false, signature: life, isLeaving: false },
      ...{ responseId: id, headAt: sentAt + 20, endedAt: sentAt + 30 },
      ...{ connection: "kept", openedAt: undefined, writtenAt: sentAt },
      ...result,
    },
  };
}

/** A run that the target completes by default. */
export function createArrival(changes: Partial<Arrival> = {}): Arrival {
  const { at = calmAt + 5 } = changes;
  return {
    ...{ requestId: "q", router: "r0", life, targetId: "t0", service: "a" },
    zone: "zone-a",
    ...{ at, lastEventId: 0, workspace: "ws", kind: "run", cause: undefined },
    ...{ hasOtherBody: false, closedAt: undefined, completedAt: at + 10 },
    ...{ status: 200, body: "whole", brokeOff: false },
    ...changes,
  };
}

/** A version with one route to a service. */
export function createVersion(
  version: number,
  { at, service }: { readonly at: number; readonly service: string },
): VersionRecord {
  return {
    ...{ version, sentAt: at, acks: [{ from: at, to: Infinity }] },
    routes: new Map([["/a/", { kind: "safe", service }]]),
    keys: new Map([["key", "ws"]]),
  };
}

/** A router that had a disruption of 10 ms. */
export function createRouters(
  kind: RouterSpan["kind"],
  from: number,
): Observations["routers"] {
  const start = { kind: "start", from: 0, to: 0 } as const;
  const spans = [start, { kind, from, to: from + 10 }];
  return [{ id: "r0", spans, reloads: [] }];
}

/** Returns the rules that were broken, by default by one request. */
export function findRules(seen: Partial<Observations>): readonly string[] {
  const violations = judge({
    requests: [createRequest("safe")],
    arrivals: [createArrival()],
    versions: [createVersion(1, { at: 0, service: "a" })],
    routers: createRouters("start", 0),
    ...{ startedAt: 0, pauses: [], entries: [], storeSpans: [] },
    ...{ limits: [], limitNotices: [], lives: [] },
    ...{ largeSpans: [], evacuations: [] },
    ...seen,
  });
  return violations.map(({ rule }) => rule);
}
