/** Routes, services and keys of a fleet whose routers reach targets directly. */

/**
 * What may be repeated on a route: `safe` requests may run again, `unsafe`
 * ones run at most once, a `stream` may only go on where it is resumable.
 */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service with its part of a route's requests. */
export interface RouteShare {
  readonly service: string;
  /** Part of the requests, relative to the other shares of the route. */
  readonly weight: number;
}

/** One route: the longest prefix of a host's routes decides. */
export interface DirectRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer (a first event) is on time, in ms. */
  readonly latencyGoalMs: number;
  /** Longest pause between events that is on time, in milliseconds. */
  readonly gapGoalMs: number;
  /** Rank of the route, 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
  /** Most targets that may run one request. */
  readonly maxTargets: number;
  /** True when requests need no key. */
  readonly isPublic: boolean;
  /** True when a broken stream may go on at another target. */
  readonly isResumable: boolean;
}

/** What is known of the model engines behind a service. */
export interface EngineTraits {
  /** Requests that one engine runs at the same time. */
  readonly slots: number;
  /** Tokens that fit into the memory of one engine. */
  readonly cacheTokens: number;
  /** True when engines can hand a running request to another. */
  readonly canMigrate: boolean;
}

/** A service whose targets are reached directly. */
export interface DirectService {
  readonly name: string;
  /** Connections that one target takes from all callers together. */
  readonly maxConnections: number;
  /** Present when the targets are model engines. */
  readonly engine: EngineTraits | undefined;
}

/** The workspace that a key belongs to. */
export interface KeyHolder {
  readonly workspace: string;
  /** Rank of the workspace, 0 is the most urgent. */
  readonly priority: number;
}

/** Bounds on what callers may send and on how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly DirectRoute[];
  readonly services: ReadonlyMap<string, DirectService>;
  /** Workspaces by key; undefined when no request needs a key. */
  readonly keys: ReadonlyMap<string, KeyHolder> | undefined;
  readonly limits: CallerLimits;
}
