/** The connections of one process to one target. */

import type { Dispatcher } from "undici";
import type { ReadPace } from "../process/admission/read_pace.ts";
import { type CallQueue, createCallQueue } from "./call_queue.ts";
import { createHttpPool } from "./http_pool.ts";
import { createRecentIds, type RecentIds } from "./recent_ids.ts";
import type { ResponseLimitsOptions } from "./response_limits.ts";

/** The connections to one target. */
export interface TargetPools {
  readonly persistent: Dispatcher;
  /** Connections that carry one request each. */
  readonly fresh: Dispatcher;
  /** The calls of both pools, as the target counts all its connections. */
  readonly queue: CallQueue;
  /** Ids of the requests that were sent lately. */
  readonly recentIds: RecentIds;
}

/**
 * Connect timeout, in milliseconds: many round trips within a region, and short
 * compared to the deadlines of calls.
 */
const connectTimeoutMs = 350;

/**
 * Time after which an idle connection is closed unless the target announces
 * another, in milliseconds.
 */
const keepAliveTimeoutMs = 3_000;

/**
 * Time by which an idle connection is closed before the timeout that the target
 * announces, in milliseconds.
 */
const keepAliveMarginMs = 1_000;

/** Creates pools, which connect with the first call. */
export function createTargetPools(
  address: string,
  { maxConnections, getMaxCalls, readPace, checks, onLimitExceeded }: {
    /** Maximum of each pool, which cannot change later; may be infinite. */
    readonly maxConnections: number;
    /** Returns the current maximum of both pools. */
    getMaxCalls(): number;
    readonly readPace: ReadPace | undefined;
    readonly checks: readonly Dispatcher.DispatcherComposeInterceptor[];
    readonly onLimitExceeded: ResponseLimitsOptions["onExceeded"];
  },
): TargetPools {
  const poolOptions = {
    connectTimeoutMs,
    // The library takes no infinite number.
    connections: Number.isFinite(maxConnections) ? maxConnections : undefined,
    keepAlive: {
      keepAliveTimeout: keepAliveTimeoutMs,
      keepAliveTimeoutThreshold: keepAliveMarginMs,
    },
    readPace,
    checks,
    onLimitExceeded,
  };
  const origin = `http://${address}`;
  return {
    persistent: createHttpPool(origin, poolOptions),
    fresh: createHttpPool(origin, { ...poolOptions, isFresh: true }),
    queue: createCallQueue({ getMaxCalls }),
    recentIds: createRecentIds(),
  };
}
