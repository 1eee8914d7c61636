/**
 * Decides how many requests of a workspace each router may admit, for the
 * limits that this router owns. When a surge of one workspace reaches all
 * routers at once, a token bucket bounds the total, and grants shrink to fair
 * shares while demand exceeds the limit.
 */

/** Capacity of a token bucket, in seconds of its refill rate. */
const burstSeconds = 0.25;

/**
 * Grant requests per second for one limit that this router aims for. It sets
 * the retry-after delay and how many requests are granted in advance.
 */
const desiredGrantRequestsPerSecond = 60;

/** Minimum delay before a refused router requests another grant, in ms. */
const minRetryAfterMs = 250;

/** Maximum delay before a refused router requests another grant, in ms. */
const maxRetryAfterMs = 6_000;

/** Time after its last grant request in which a router counts as active. */
const requesterTimeoutMs = 8_000;

/** Time constant of the moving averages of demand, in milliseconds. */
const averagingTimeMs = 2_000;

/** Grants exceed the fair share by this factor so that no rate is unused. */
const overcommitFactor = 1.2;

/** Time without grant requests after which a limit is dropped. */
const idleTimeoutMs = 60_000;

/** The response to one grant request. */
export interface GrantResult {
  /** Number of requests that the router may admit. */
  readonly amount: number;
  /** Delay before the next grant request; 0 when all were granted. */
  readonly retryAfterMs: number;
}

/** A router's request to admit more requests of a workspace. */
export interface GrantRequest {
  /** Id of the router that requests the grant. */
  readonly requester: string;
  /** Requests that it received since its last grant request. */
  readonly amount: number;
  /** The limit for the whole fleet. */
  readonly ratePerSecond: number;
}

/** The limits for which rendezvous hashing ranks this router first. */
export interface LimitOwner {
  /**
   * Grants requests of a workspace. Grants more than the requested amount when
   * grant requests are frequent.
   */
  grant(workspace: string, request: GrantRequest): GrantResult;
  /** Returns the number of limits held now. */
  getSize(): number;
  /** Drops limits without recent grant requests. */
  dropIdle(): void;
}

/** The token bucket of one limit, with moving averages of its demand. */
interface OwnedLimit {
  tokens: number;
  updatedAt: number;
  /** Average number of requests per second that routers want to admit. */
  demandPerSecond: number;
  /** Average number of grant requests per second. */
  grantRequestsPerSecond: number;
  /** Time of each router's last grant request, by router id, oldest first. */
  readonly requesters: Map<string, number>;
}

/** Creates an owner without limits. */
export function createLimitOwner(
  options: { readonly random: () => number },
): LimitOwner {
  const limits = new Map<string, OwnedLimit>();

  return { grant, getSize: () => limits.size, dropIdle };

  function grant(workspace: string, request: GrantRequest): GrantResult {
    const { amount, ratePerSecond } = request;
    const limit = getOrCreate(workspace, ratePerSecond);
    updateLimit(limit, request);
    const fairShare = overcommitFactor * ratePerSecond / limit.demandPerSecond;
    const wanted = fairShare < 1
      ? roundStochastically(amount * fairShare)
      : roundStochastically(amount * getPrefetchFactor(limit, fairShare));
    const granted = Math.min(wanted, Math.floor(limit.tokens));
    limit.tokens -= granted;
    const retryAfterMs = granted >= amount ? 0 : getRetryAfterMs(limit);
    return { amount: granted, retryAfterMs };
  }

  /**
   * Returns the factor by which a grant exceeds the requested amount. Grants in
   * advance make grant requests less frequent.
   */
  function getPrefetchFactor(limit: OwnedLimit, fairShare: number): number {
    const factor = limit.grantRequestsPerSecond / desiredGrantRequestsPerSecond;
    return Math.max(1, fairShare < overcommitFactor ? 1 : factor);
  }

  /** Returns a jittered delay that spreads the grant requests of routers. */
  function getRetryAfterMs(limit: OwnedLimit): number {
    const retryAfterMs = limit.requesters.size / desiredGrantRequestsPerSecond *
      1_000;
    const boundedMs = Math.min(
      maxRetryAfterMs,
      Math.max(minRetryAfterMs, retryAfterMs),
    );
    return Math.ceil(boundedMs * (0.75 + options.random() / 2));
  }

  function getOrCreate(workspace: string, ratePerSecond: number): OwnedLimit {
    let limit = limits.get(workspace);
    if (limit === undefined) {
      limit = {
        tokens: getBurstSize(ratePerSecond),
        updatedAt: performance.now(),
        demandPerSecond: 0,
        grantRequestsPerSecond: 0,
        requesters: new Map(),
      };
      limits.set(workspace, limit);
    }
    return limit;
  }

  /** Refills the bucket and adds a grant request to the averages. */
  function updateLimit(
    limit: OwnedLimit,
    { requester, amount, ratePerSecond }: GrantRequest,
  ): void {
    const now = performance.now();
    const elapsedMs = now - limit.updatedAt;
    limit.updatedAt = now;
    limit.tokens = Math.min(
      getBurstSize(ratePerSecond),
      limit.tokens + elapsedMs / 1_000 * ratePerSecond,
    );
    const decay = Math.exp(-elapsedMs / averagingTimeMs);
    limit.demandPerSecond = limit.demandPerSecond * decay +
      amount * 1_000 / averagingTimeMs;
    limit.grantRequestsPerSecond = limit.grantRequestsPerSecond * decay +
      1_000 / averagingTimeMs;
    limit.requesters.delete(requester);
    limit.requesters.set(requester, now);
    for (const [id, requestedAt] of limit.requesters) {
      if (now - requestedAt < requesterTimeoutMs) break;
      limit.requesters.delete(id);
    }
  }

  /** Rounds up or down at random so that the expected value is unchanged. */
  function roundStochastically(value: number): number {
    return Math.floor(value + options.random());
  }

  function dropIdle(): void {
    const now = performance.now();
    for (const [workspace, { updatedAt }] of limits) {
      if (now - updatedAt > idleTimeoutMs) limits.delete(workspace);
    }
  }
}

/** Returns the bucket's capacity: at least one request at any rate. */
function getBurstSize(ratePerSecond: number): number {
  return Math.max(1, ratePerSecond * burstSeconds);
}
