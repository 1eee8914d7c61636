/** Routes, services and keys for routers that reach targets directly. */

/**
 * The retry rule of a route: `safe` requests may run more than once, `unsafe`
 * ones run at most once, and a `stream` continues elsewhere only if it is
 * resumable.
 */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service and its share of a route's traffic. */
export interface RouteShare {
  readonly service: string;
  /** Weight relative to the other shares of the route. */
  readonly weight: number;
}

/** One route; of a host's routes, the one with the longest prefix applies. */
export interface DirectRoute {
  readonly name: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency goal of a response, or of a stream's first event, in ms. */
  readonly latencyGoalMs: number;
  /** Latency goal for the gap between two events of a stream, in ms. */
  readonly gapGoalMs: number;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
  /** Maximum number of targets that may run one request. */
  readonly maxTargets: number;
  /** True when requests need no key. */
  readonly isPublic: boolean;
  /** True when an interrupted stream may resume at another target. */
  readonly isResumable: boolean;
}

/** The properties of the model engines behind a service. */
export interface EngineTraits {
  /** Number of requests that one engine runs concurrently. */
  readonly slots: number;
  /** Capacity of one engine's cache, in tokens. */
  readonly cacheTokens: number;
  /** True when an engine can transfer a running request to another engine. */
  readonly canMigrate: boolean;
}

/** What a target bears while it warms up. */
export interface WarmUp {
  /** Time that a target takes to warm up after its start, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second from all routers together. */
  readonly perS: number;
}

/** A service whose targets are reached directly. */
export interface DirectService {
  readonly name: string;
  /** Maximum number of connections that one target accepts in total. */
  readonly maxConnections: number;
  /** How targets warm up after a start; undefined when they are not limited. */
  readonly warmUp: WarmUp | undefined;
  /** Properties of the model engines; undefined for other targets. */
  readonly engine: EngineTraits | undefined;
}

/** The workspace that a key belongs to. */
export interface KeyHolder {
  readonly workspace: string;
  /** Priority of the workspace; 0 is the highest. */
  readonly priority: number;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration that operators write to the store. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly DirectRoute[];
  readonly services: ReadonlyMap<string, DirectService>;
  /** Workspaces by API key; undefined when no request needs a key. */
  readonly keys: ReadonlyMap<string, KeyHolder> | undefined;
  readonly limits: CallerLimits;
}
