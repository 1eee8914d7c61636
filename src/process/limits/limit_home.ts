/** Hands out the requests of workspaces whose limits this router keeps. */

/** Seconds of its rate that a limit lets through at once. */
const burstSeconds = 0.25;

/** Asks a second that one limit may cost this router. */
const targetAsksPerSecond = 60;

/** Shortest time a refused router waits before it asks again. */
const shortestWaitMs = 250;

/** Longest time a refused router waits before it asks again. */
const longestWaitMs = 6_000;

/** Time after its last ask in which a router counts as an asker. */
const askerMemoryMs = 8_000;

/** Time over which demand is averaged. */
const averageMs = 2_000;

/** Granted beyond the fair part, so that no rate is left over. */
const surplus = 1.2;

/** Time without asks after which a limit is forgotten. */
const idleMs = 60_000;

/** The answer to one ask. */
export interface LimitGrantAmount {
  readonly amount: number;
  /** Wait before the next ask; 0 when everything was granted. */
  readonly retryAfterMs: number;
}

/** What a router asks for. */
export interface LimitDemand {
  /** Id of the router that asks. */
  readonly asker: string;
  /** Requests since its last ask. */
  readonly amount: number;
  /** The limit over the whole fleet. */
  readonly ratePerSecond: number;
}

/** Keeps the limits that rank this router first. */
export interface LimitHome {
  /** Grants requests of a workspace, beyond those asked for if many ask. */
  grant(workspace: string, ask: LimitDemand): LimitGrantAmount;
  /** Limits held now. */
  getSize(): number;
  /** Forgets limits that nobody asks for. */
  dropIdle(): void;
}

interface HeldLimit {
  tokens: number;
  at: number;
  /** Requests asked for a second. */
  demand: number;
  /** Asks a second. */
  asks: number;
  /** When each router asked last, the latest at the end. */
  readonly askers: Map<string, number>;
}

/** Creates a home that holds no limit. */
export function createLimitHome(
  options: { readonly random: () => number },
): LimitHome {
  const limits = new Map<string, HeldLimit>();

  return { grant, getSize: () => limits.size, dropIdle };

  function grant(workspace: string, ask: LimitDemand): LimitGrantAmount {
    const { amount, ratePerSecond } = ask;
    const limit = getOrCreate(workspace, ratePerSecond);
    advance(limit, ask);
    const fairPart = surplus * ratePerSecond / limit.demand;
    const wanted = fairPart < 1
      ? roundAtRandom(amount * fairPart)
      : roundAtRandom(amount * getAdvance(limit, fairPart));
    const granted = Math.min(wanted, Math.floor(limit.tokens));
    limit.tokens -= granted;
    const retryAfterMs = granted >= amount ? 0 : getWaitMs(limit);
    return { amount: granted, retryAfterMs };
  }

  /** Grants in advance make asks rarer when there are many. */
  function getAdvance(limit: HeldLimit, fairPart: number): number {
    const advance = limit.asks / targetAsksPerSecond;
    return Math.max(1, fairPart < surplus ? 1 : advance);
  }

  /** Spreads the asks of all routers that ask, some time apart. */
  function getWaitMs(limit: HeldLimit): number {
    const wait = limit.askers.size / targetAsksPerSecond * 1_000;
    const bounded = Math.min(longestWaitMs, Math.max(shortestWaitMs, wait));
    return Math.ceil(bounded * (0.75 + options.random() / 2));
  }

  function getOrCreate(workspace: string, ratePerSecond: number): HeldLimit {
    let limit = limits.get(workspace);
    if (limit === undefined) {
      limit = {
        tokens: getBurst(ratePerSecond),
        at: performance.now(),
        demand: 0,
        asks: 0,
        askers: new Map(),
      };
      limits.set(workspace, limit);
    }
    return limit;
  }

  /** Refills the bucket and takes the ask into the averages. */
  function advance(
    limit: HeldLimit,
    { asker, amount, ratePerSecond }: LimitDemand,
  ): void {
    const now = performance.now();
    const passed = now - limit.at;
    limit.at = now;
    limit.tokens = Math.min(
      getBurst(ratePerSecond),
      limit.tokens + passed / 1_000 * ratePerSecond,
    );
    const kept = Math.exp(-passed / averageMs);
    limit.demand = limit.demand * kept + amount * 1_000 / averageMs;
    limit.asks = limit.asks * kept + 1_000 / averageMs;
    limit.askers.delete(asker);
    limit.askers.set(asker, now);
    for (const [id, at] of limit.askers) {
      if (now - at < askerMemoryMs) break;
      limit.askers.delete(id);
    }
  }

  function roundAtRandom(value: number): number {
    return Math.floor(value + options.random());
  }

  function dropIdle(): void {
    const now = performance.now();
    for (const [workspace, { at }] of limits) {
      if (now - at > idleMs) limits.delete(workspace);
    }
  }
}

/** At least one request passes, however low the rate is. */
function getBurst(ratePerSecond: number): number {
  return Math.max(1, ratePerSecond * burstSeconds);
}
