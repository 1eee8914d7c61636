/** Decides which requests a direct router refuses before it looks at them. */

import { getRetryAfterMs } from "../process/direct/limits/admission_estimate.ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { FrontendRequest } from "../types/direct_request.ts";
import { defaultDeadlineMs } from "./direct_binding.ts";

/** Maximum requests in flight; bounds memory, far above typical load. */
const maxInFlight = 3_000;

/** Retry-after delays for callers that cannot be served now, in ms. */
const retryAfterDelaysMs = {
  /** Without a configuration: the first listing takes a few round trips. */
  starting: 150,
  /**
   * Without a configuration while the store is unavailable. Callers cap the
   * delay by their own deadlines.
   */
  storeUnavailable: { min: 500, jitter: 1_500 },
  busy: 800,
  stopping: 50,
} as const;

/** What the refusals need from the router. */
export interface DirectRefusalsHost {
  /** Returns true once a stop has begun to refuse requests. */
  isStopping(): boolean;
  /** Returns the number of requests that run or wait. */
  countOpen(): number;
  /** Returns true when the last call to the store failed. */
  isStoreUnavailable(): boolean;
}

/** The refusals of one router. */
export interface DirectRefusals {
  /** Returns why no request is accepted now; undefined when one is. */
  tryAdmit(): Report | undefined;
  /**
   * Creates the refusal of a router without a configuration. In an outage of
   * the store, jitter spreads retries over the time that it may last.
   */
  createStarting(): Report;
  /**
   * Creates the refusal of a request for which the process has no turn in time.
   * It arrived at `arrivedAt`, on the monotonic clock, and there may be room after
   * `waitMs` milliseconds, after which the caller should return if it has the time.
   */
  createOverload(
    request: Pick<FrontendRequest, "deadlineMs">,
    options: { readonly arrivedAt: number; readonly waitMs: number },
  ): Report;
}

/** Creates the refusals. */
export function createDirectRefusals(host: DirectRefusalsHost): DirectRefusals {
  return { tryAdmit, createStarting, createOverload };

  function tryAdmit(): Report | undefined {
    if (host.isStopping()) {
      return createReport("router_stopping", {}, {
        retryAfterMs: retryAfterDelaysMs.stopping,
      });
    }
    if (host.countOpen() >= maxInFlight) {
      return createReport("router_busy", {}, {
        retryAfterMs: retryAfterDelaysMs.busy,
      });
    }
    return undefined;
  }

  function createStarting(): Report {
    const { min, jitter } = retryAfterDelaysMs.storeUnavailable;
    return createReport("router_starting", {}, {
      retryAfterMs: host.isStoreUnavailable()
        ? min + Math.random() * jitter
        : retryAfterDelaysMs.starting,
    });
  }

  function createOverload(
    { deadlineMs = defaultDeadlineMs }: Pick<FrontendRequest, "deadlineMs">,
    { arrivedAt, waitMs }: {
      readonly arrivedAt: number;
      readonly waitMs: number;
    },
  ): Report {
    const timeLeftMs = arrivedAt + deadlineMs - performance.now();
    return createReport("router_overloaded", { resource: "processor" }, {
      retryAfterMs: getRetryAfterMs(undefined, {
        ...{ waitMs, timeLeftMs, random: Math.random() },
      }),
    });
  }
}
