/** The queues of all services, and what their estimates are based on. */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { EngineTraits } from "../../../types/route_table.ts";
import type { LoadView } from "../targets/load_view.ts";
import {
  maxReportedDemands,
  type PeerDemand,
  type ServiceDemand,
} from "./peer_demand.ts";
import type { QueuedRequest } from "./queued_request.ts";
import {
  type BeginTimes,
  getBeginTimes,
  getFirstResponseMs,
  getRunMs,
  type RequestSizes,
} from "./request_times.ts";
import { createServiceQueue, type ServiceQueue } from "./service_queue.ts";
import { getQueueWaitMs } from "./service_room.ts";

/** What the queues of services need from the process. */
export interface ServiceStatesHost {
  readonly loads: Pick<LoadView, "getLoad" | "getOwnLoads">;
  readonly peers: PeerDemand;
  readonly sizes: RequestSizes;
  /** Returns the targets of a service that may get requests now. */
  getUsable(service: string): readonly DirectTarget[];
  /** Returns the mean run time of a service, in ms; undefined if not known. */
  tryGetMeanRunMs(service: string): number | undefined;
  /** Returns the number of registered routers, with this one. */
  getRouterCount(): number;
  /** Returns the time that calls take at a target, relative to the usual. */
  getSlowdown(target: DirectTarget): number;
  /** Returns a random number in [0, 1). */
  random(): number;
}

/** The queue of a service, and what its estimates are based on. */
export interface ServiceState {
  readonly queue: ServiceQueue;
  engine: EngineTraits | undefined;
  runMs: number;
  /**
   * Mean times by class from the begin to the end of calls and to the first
   * event of streams, in milliseconds.
   */
  readonly responseMs: Map<number, number>;
  /** Shortest latency goal of its requests, in milliseconds. */
  minGoalMs: number;
  /** Mean number of cache tokens that a request fills while it runs. */
  readonly requestTokens: number;
}

/** The services that requests have asked for. */
export interface ServiceStates {
  /** Returns the state of a request's service, with the request's figures. */
  record(request: QueuedRequest): ServiceState;
  /** Returns the state of a request's service as it is, or a state to be. */
  peek(request: QueuedRequest): ServiceState;
  tryGet(service: string): ServiceState | undefined;
  forEach(callback: (state: ServiceState, service: string) => void): void;
  /** Returns the queue in which most requests wait. */
  getLongestQueue(): ServiceQueue | undefined;
  /** Returns this router's demand, as reported to peers. */
  getDemand(): readonly ServiceDemand[];
  /** Describes the queues for the dump. */
  describe(): readonly Readonly<Record<string, string | number>>[];
}

/** Creates states without a service. */
export function createServiceStates(host: ServiceStatesHost): ServiceStates {
  const states = new Map<string, ServiceState>();

  return {
    record,
    peek: (request) => states.get(request.service) ?? createState(request),
    tryGet: (service) => states.get(service),
    forEach: (callback) => states.forEach(callback),
    getLongestQueue,
    getDemand,
    describe,
  };

  function record(request: QueuedRequest): ServiceState {
    const { service, engine, goalMs } = request;
    const known = states.get(service);
    if (known === undefined) {
      const state = createState(request);
      states.set(service, state);
      return state;
    }
    known.engine = engine;
    known.runMs = getRunMs(request, host.tryGetMeanRunMs(service));
    known.minGoalMs = Math.min(known.minGoalMs, goalMs);
    return known;
  }

  function createState(request: QueuedRequest): ServiceState {
    const { service, engine, goalMs } = request;
    const runMs = getRunMs(request, host.tryGetMeanRunMs(service));
    const state: ServiceState = {
      queue: createServiceQueue({
        loads: host.loads,
        getUsable: () => host.getUsable(service),
        getPeerDemand: () => host.peers.getDemand(service),
        getRunEstimate: () => state,
        ...{ getRouterCount: host.getRouterCount, random: host.random },
        ...{ countHeardPeers: host.peers.countHeard },
        getSlowdown: host.getSlowdown,
      }),
      ...{ engine, runMs, minGoalMs: goalMs, responseMs: new Map() },
      get requestTokens() {
        return host.sizes.getMeanTokens(service);
      },
    };
    return state;
  }

  function getLongestQueue(): ServiceQueue | undefined {
    return [...states.values()].map(({ queue }) => queue)
      .sort((left, right) => right.getWaiting() - left.getWaiting())[0];
  }

  function getDemand(): readonly ServiceDemand[] {
    return [...states].flatMap(([service, { queue }]) =>
      queue.getDemand().flatMap(({ running, waiting }, priorityClass) =>
        running + waiting === 0
          ? []
          : [{ service, priorityClass, running, waiting }]
      )
    ).slice(0, maxReportedDemands);
  }

  function describe(): readonly Readonly<Record<string, string | number>>[] {
    return [...states].map(([service, { queue, runMs }]) => ({
      service,
      ...{ running: queue.getRunning(), waiting: queue.getWaiting() },
      runMs: Math.round(runMs),
      limit: Math.round(queue.getLimit(0, 0) * 10) / 10,
      heardPeers: host.peers.countHeard(),
    }));
  }
}

/** Returns the times by which a request of a service should begin. */
export function getTimesIn(
  { runMs, responseMs }: ServiceState,
  request: QueuedRequest,
  options: { readonly firstArrivedAt: number; readonly cost: number },
): BeginTimes {
  return getBeginTimes(request, {
    ...{ ...options, runMs },
    responseMs: responseMs.get(request.priorityClass) ??
      getFirstResponseMs(request, runMs),
  });
}

/**
 * Returns the expected wait of a request, in ms; `added` requests are counted
 * beside those that wait, 0 by default.
 */
export function getWaitMsIn(
  { queue, runMs }: ServiceState,
  priorityClass: number,
  added = 0,
): number {
  const limit = queue.getLimit(priorityClass, added + 1);
  return getQueueWaitMs(queue.countAhead(priorityClass) + added, {
    limit,
    runMs,
  });
}
