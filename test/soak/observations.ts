/** What callers, targets and the operator of a soak have seen. */

/** Kind of a route: what may be repeated, and how responses are shaped. */
export type SoakRouteKind = "safe" | "unsafe" | "stream" | "resumable";

/** What makes a request crash each target that begins to run it. */
export type CrashCause = "request" | "part";

/** A span of time on the monotonic clock; `to` is infinite while it lasts. */
export interface Span {
  readonly from: number;
  to: number;
}

/**
 * A disruption of one router; `cut` is one of its path to the store only, and in
 * `starved` the machine did not give it the processor time that it should get.
 */
export interface RouterSpan extends Span {
  readonly kind:
    | ("start" | "stop" | "kill" | "freeze" | "exit" | "cut")
    | "starved";
}

/** A request as one target received it. */
export interface Arrival {
  readonly requestId: string;
  /** Router that sent the request, from the caller's own header. */
  readonly router: string;
  /** Id and number of the target's process. */
  readonly life: string;
  readonly targetId: string;
  readonly service: string;
  /** Zone of the target. */
  readonly zone: string;
  /** Earliest possible time of arrival. */
  readonly at: number;
  readonly lastEventId: number;
  readonly workspace: string | undefined;
  /** Why the target crashes at it, if it does. */
  readonly cause: CrashCause | undefined;
  kind: "run" | "not_run" | "wrong_target";
  /** The status that was sent with the request's id. */
  status: number | undefined;
  /** The whole body of the response, also if it breaks off. */
  body: string;
  /** When its response was whole, whatever that says. */
  completedAt: number | undefined;
  /** When its connection closed before that, as the target saw it. */
  closedAt: number | undefined;
  /**
   * True when the target broke its response off, sent none, or sent bytes on the
   * connection that name no request or another one.
   */
  brokeOff: boolean;
  /** Time from the end of a cut response to its reset, in milliseconds. */
  resetAfterMs?: number;
  /** True when another body than the caller's arrived. */
  hasOtherBody: boolean;
}

/** A 503 with `Retry-After` that a target sent to a router. */
export interface AskedPauseNotice {
  readonly router: string;
  readonly life: string;
  readonly at: number;
  readonly pauseMs: number;
}

/** A time in which a target named a rate that it takes. */
export interface LimitSpan extends Span {
  readonly life: string;
  readonly perS: number;
}

/** One process of a target, while it serves. */
export interface TargetLife extends Span {
  readonly life: string;
  readonly service: string;
  /** Version of its software. */
  readonly version: string;
}

/** A time in which a zone was evacuated, from its acknowledgement on. */
export interface EvacuationSpan {
  readonly zone: string;
  from: number;
  to: number;
}

/** When a response with a limit had reached a router. */
export interface LimitNotice {
  readonly router: string;
  readonly life: string;
  readonly at: number;
}

/** What a caller got. */
export interface CallerResult {
  /** Undefined when the connection closed before a head. */
  readonly status: number | undefined;
  readonly body: string;
  readonly isComplete: boolean;
  readonly gaveUp: boolean;
  /** True when bytes arrived that are no response. */
  readonly isMalformed: boolean;
  readonly signature: string | undefined;
  readonly isLeaving: boolean;
  readonly responseId: string | undefined;
  readonly headAt: number | undefined;
  /** Whether the request had a connection; `none` when it was not accepted. */
  readonly connection: "none" | "new" | "kept";
  /** When its new connection was open. */
  readonly openedAt: number | undefined;
  /** When the last byte of the request was written; undefined before that. */
  readonly writtenAt: number | undefined;
  readonly endedAt: number;
}

/**
 * How a caller sends a body and takes the response: in one piece each, with the
 * body in pieces of a known or unknown total length, or reading at a trickle.
 */
export type Manner = "plain" | "pieces" | "chunked_pieces" | "slow_reader";

/** A request as its caller sent it. */
export interface CallerRequest {
  readonly id: string;
  readonly router: string;
  readonly kind: SoakRouteKind;
  /** Prefix of the path by which routes match. */
  readonly prefix: string;
  readonly key: string;
  /** Ids of the prompt's parts. */
  readonly parts: readonly string[];
  /** Why targets crash at it, if they do. */
  readonly cause: CrashCause | undefined;
  readonly lastEventId: number;
  /** Id of the request that began the stream that this one takes up. */
  readonly resumes: string | undefined;
  /** Number of events after which the caller leaves; undefined if it stays. */
  readonly leavesAfter: number | undefined;
  readonly manner: Manner;
  readonly deadlineMs: number;
  readonly sentAt: number;
  result: CallerResult | undefined;
}

/** A route of a configuration. */
export interface SoakRoute {
  readonly kind: SoakRouteKind;
  readonly service: string;
}

/** A configuration that the operator wrote. */
export interface VersionRecord {
  readonly version: number;
  readonly sentAt: number;
  /** From each acknowledgement until the store lost it. */
  readonly acks: Span[];
  /** Routes by prefix. */
  readonly routes: ReadonlyMap<string, SoakRoute>;
  /** Workspaces by key. */
  readonly keys: ReadonlyMap<string, string>;
}

/** An acknowledged state of a target's entry in the store. */
export interface EntryRecord {
  readonly targetId: string;
  readonly life: string;
  readonly at: number;
  readonly state: "ready" | "draining" | "gone";
}

/** All that was seen in one run. */
export interface Observations {
  readonly startedAt: number;
  readonly requests: readonly CallerRequest[];
  readonly arrivals: readonly Arrival[];
  readonly pauses: readonly AskedPauseNotice[];
  readonly lives: readonly TargetLife[];
  readonly limits: readonly LimitSpan[];
  readonly limitNotices: readonly LimitNotice[];
  readonly versions: readonly VersionRecord[];
  readonly entries: readonly EntryRecord[];
  /** Disruptions of routers, over all lives of their processes. */
  readonly routers: readonly {
    readonly id: string;
    readonly spans: readonly RouterSpan[];
    /** When its process got a SIGHUP. */
    readonly reloads: readonly number[];
    /** When its process waited for the machine, without a quota. */
    readonly starved?: readonly Span[];
  }[];
  /** Times in which the store did not serve as it should. */
  readonly storeSpans: readonly Span[];
  /** Times in which the observing process was busy or had no processor. */
  readonly busySpans?: readonly Span[];
  /** Times in which a large value was written again and again. */
  readonly largeSpans: readonly Span[];
  readonly evacuations: readonly EvacuationSpan[];
}

/** Bounds of the users' rules. */
export const bounds = {
  ...{ contactMs: 3_000, drainMs: 2_000, configApplyMs: 2_000 },
  ...{ evacuateMs: 2_000, lossSlackMs: 200, overlapMs: 400 },
  ...{ revertSlackMs: 250, graceMs: 8_000 },
  ...{ limitWindowMs: 4_000, limitRatio: 1.5, limitSlack: 5 },
  ...{
    limitNoticeMs: 500,
    retryRatio: 0.2,
    retrySlack: 30,
    retryWindowMs: 10_000,
  },
} as const;

/** Targets to which one request may be sent. */
export const attemptsByKind: Readonly<Record<SoakRouteKind, number>> = {
  ...{ safe: 3, unsafe: 1, stream: 1, resumable: 3 },
};

/** Time that most routes allow a request, in milliseconds. */
export const routeTimeoutMs = 4_000;

/** Begin of the prefixes of routes that allow long requests. */
export const longPrefix = "/long-";

/** Time that these routes allow, in milliseconds. */
export const longTimeoutMs = 12_000;

/** Returns the time that the route of a prefix allows, in milliseconds. */
export function getTimeoutMs(prefix: string): number {
  return prefix.startsWith(longPrefix) ? longTimeoutMs : routeTimeoutMs;
}

/** Returns true for requests that may run more than once. */
export function isRepeatable(kind: SoakRouteKind): boolean {
  return kind === "safe" || kind === "resumable";
}

/** Returns true for requests whose responses are events. */
export function isStream(kind: SoakRouteKind): boolean {
  return kind === "stream" || kind === "resumable";
}
