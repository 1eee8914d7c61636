/** Hands out the requests of workspaces whose limits this router keeps. */

/** Seconds of its rate that a limit lets through at once. */
const burstSeconds = 0.25;

/** Asks a second that one limit may cost this router. */
const desiredGrantRequestsPerSecond = 60;

/** Shortest time a refused router waits before it asks again. */
const minRetryAfterMs = 250;

/** Longest time a refused router waits before it asks again. */
const maxRetryAfterMs = 6_000;

/** Time after its last ask in which a router counts as an asker. */
const requesterTimeoutMs = 8_000;

/** Time over which demand is averaged. */
const averagingTimeMs = 2_000;

/** Granted beyond the fair part, so that no rate is left over. */
const overcommitFactor = 1.2;

/** Time without asks after which a limit is forgotten. */
const idleTimeoutMs = 60_000;

/** The answer to one ask. */
export interface GrantResult {
  readonly amount: number;
  /** Wait before the next ask; 0 when everything was granted. */
  readonly retryAfterMs: number;
}

/** What a router asks for. */
export interface GrantRequest {
  /** Id of the router that asks. */
  readonly requester: string;
  /** Requests since its last ask. */
  readonly amount: number;
  /** The limit over the whole fleet. */
  readonly ratePerSecond: number;
}

/** Keeps the limits that rank this router first. */
export interface LimitOwner {
  /** Grants requests of a workspace, beyond those asked for if many ask. */
  grant(workspace: string, request: GrantRequest): GrantResult;
  /** Limits held now. */
  getSize(): number;
  /** Forgets limits that nobody asks for. */
  dropIdle(): void;
}

interface OwnedLimit {
  tokens: number;
  updatedAt: number;
  /** Requests asked for a second. */
  demandPerSecond: number;
  /** Asks a second. */
  grantRequestsPerSecond: number;
  /** When each router asked last, the latest at the end. */
  readonly requesters: Map<string, number>;
}

/** Creates a home that holds no limit. */
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

  /** Grants in advance make asks rarer when there are many. */
  function getPrefetchFactor(limit: OwnedLimit, fairShare: number): number {
    const factor = limit.grantRequestsPerSecond / desiredGrantRequestsPerSecond;
    return Math.max(1, fairShare < overcommitFactor ? 1 : factor);
  }

  /** Spreads the asks of all routers that ask, some time apart. */
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

  /** Refills the bucket and takes the ask into the averages. */
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

/** At least one request passes, however low the rate is. */
function getBurstSize(ratePerSecond: number): number {
  return Math.max(1, ratePerSecond * burstSeconds);
}
