/**
 * The requests of one service that wait in this router, and the places that the
 * others have.
 *
 * Load pattern: in a surge more requests are due than the targets begin in time.
 * Urgent classes come first by weight, workspaces share within a class, and
 * within a workspace requests that can still meet their latency goal come before
 * those that can not. Every sixth place goes to a request with little time left
 * until its deadline, so that one that has missed its goal is still served.
 */

import { createRankedQueue } from "../../admission/fair_queue.ts";
import type { FairQueue, WaitingWork } from "../../admission/fair_queue.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import { classCount, type ClassDemand } from "./peer_demand.ts";
import type { QueuedRequest, TargetChance } from "./queued_request.ts";
import type { BeginTimes } from "./request_times.ts";
import {
  getOwnLimit,
  getPeerFactor,
  type QueueDepth,
  type RoomShares,
  sumDemand,
  tryGetSendIntervalMs,
} from "./service_room.ts";
import {
  createServiceTargets,
  type ServiceTargetsHost,
  type TargetRoom,
} from "./service_targets.ts";

/** Every how many places one goes to a request with little time left. */
const placesPerLateTurn = 6;

/** Weight of a class relative to the next more urgent one. */
const classWeightRatio = 0.6;

/** A request that waits, with what its wait is decided by. */
export interface Waiter {
  readonly request: QueuedRequest;
  readonly times: BeginTimes;
  /** Work relative to the mean of the service. */
  readonly cost: number;
  /** Called when the request gets a place, which is counted already. */
  start(target: DirectTarget | undefined): void;
}

/** What a service's queue needs from the process. */
export interface ServiceQueueHost
  extends Omit<ServiceTargetsHost, "getShares"> {
  getPeerDemand(): readonly ClassDemand[];
  /** Returns the number of registered routers, with this one. */
  getRouterCount(): number;
  /** Returns the number of peers that have reported lately. */
  countHeardPeers(): number;
}

/** The waiting and running requests of one service. */
export interface ServiceQueue {
  /** Adds a request to those that wait. */
  add(waiter: Waiter): void;
  /** Removes a request that waits; false when it does not. */
  remove(waiter: Waiter): boolean;
  /** Returns the request to give way to others. */
  tryGetLast(): Waiter | undefined;
  /** Gives places to the requests that wait, as long as there is room. */
  refresh(): void;
  /**
   * Returns the targets that a request would be drawn from if it were added now,
   * none when they are chosen by other means; undefined if it would wait.
   */
  tryPreviewTargets(
    request: QueuedRequest,
  ): readonly TargetChance[] | undefined;
  /** Records that the targets may have changed. */
  recordTargets(): void;
  /** Counts a request as running that is sent without a place. */
  begin(priorityClass: number): void;
  end(priorityClass: number): void;
  recordRefused(target: DirectTarget): void;
  /**
   * Returns how many requests of a class this router may run; `added` requests
   * are counted beside those that run and wait, 1 by default.
   */
  getLimit(priorityClass: number, added?: number): number;
  /** Counts the waiting requests of a class and of more urgent ones. */
  countAhead(priorityClass: number): number;
  /** Counts the waiting requests of a workspace in a class. */
  countOfWorkspace(request: QueuedRequest): number;
  getWaiting(): number;
  getRunning(): number;
  /** Returns this router's demand by class. */
  getDemand(): readonly ClassDemand[];
}

/** Creates the queue of a service without requests. */
export function createServiceQueue(host: ServiceQueueHost): ServiceQueue {
  const classes = Array.from({ length: classCount }, (_, rank) => rank);
  const queue: FairQueue<Waiter, number> = createRankedQueue({
    getPriorityWeight: (rank) => classWeightRatio ** rank,
    getWorkspaceWeight: () => 1,
  }, classes);
  const works = new Map<Waiter, WaitingWork<Waiter, number>>();
  const demand = classes.map(() => ({ running: 0, waiting: 0 }));
  /** Times of the last requests beyond the whole part of a limit, by class. */
  const lastPartAt = classes.map(() => Number.NEGATIVE_INFINITY);
  const targets = createServiceTargets({ ...host, getShares });
  let places = 0;
  /**
   * True when requests that wait may have lost their last target; otherwise only
   * those of a class within its limit are looked at.
   */
  let haveTargetsChanged = false;

  return {
    add,
    remove,
    tryGetLast: () => queue.tryGetLast()?.item,
    refresh,
    tryPreviewTargets,
    recordTargets: () => {
      targets.recordChange();
      haveTargetsChanged = true;
    },
    begin,
    end,
    recordRefused: targets.recordRefused,
    getLimit,
    countAhead,
    countOfWorkspace: ({ priorityClass, workspace }) =>
      queue.getSizes(priorityClass, workspace).inWorkspace,
    getWaiting: () => works.size,
    getRunning: () => demand.reduce((sum, { running }) => sum + running, 0),
    getDemand: () => demand,
  };

  function add(waiter: Waiter): void {
    const { request, times, cost } = waiter;
    const work = {
      ...{ priority: request.priorityClass, workspace: request.workspace },
      ...{ cost, dueAt: times.dueAt, item: waiter },
    };
    works.set(waiter, work);
    queue.add(work);
    countWaiting(request, 1);
    // A request without a target is not held.
    haveTargetsChanged ||= !targets.getRoom().hasTarget(request);
  }

  function remove(waiter: Waiter): boolean {
    const work = works.get(waiter);
    if (work === undefined) return false;
    works.delete(waiter);
    countWaiting(waiter.request, -1);
    return queue.remove(work);
  }

  function countWaiting(
    { priorityClass }: QueuedRequest,
    change: number,
  ): void {
    const count = demand[priorityClass];
    if (count !== undefined) count.waiting += change;
  }

  function refresh(): void {
    const drawn = new Map<string, number>();
    while (works.size > 0 && (haveTargetsChanged || isAnyWithinLimit())) {
      const room = targets.getRoom(drawn);
      const waiter = takeNext(room);
      if (waiter === undefined) {
        haveTargetsChanged = false;
        return;
      }
      const { request } = waiter;
      const target = room.tryDraw(request);
      if (target !== undefined) {
        drawn.set(target.address, (drawn.get(target.address) ?? 0) + 1);
      }
      works.delete(waiter);
      places++;
      recordSend(request.priorityClass);
      countWaiting(request, -1);
      begin(request.priorityClass);
      waiter.start(target);
    }
  }

  /** Returns true when this router may send a request of a class that waits. */
  function isAnyWithinLimit(): boolean {
    return demand.some(({ waiting }, rank) =>
      waiting > 0 && isWithinLimit(rank)
    );
  }

  function tryPreviewTargets(
    request: QueuedRequest,
  ): readonly TargetChance[] | undefined {
    const room = targets.getRoom();
    const limits = new Map<number, boolean>();
    let isBehind = false;
    queue.forEach((waiter) => {
      isBehind ||= hasPlace(waiter.request, { room, limits });
    });
    // A request that may begin already is given its place before a new one.
    if (isBehind) return undefined;
    const { priorityClass } = request;
    const added = new Map([[priorityClass, isWithinLimit(priorityClass, 1)]]);
    return hasPlace(request, { room, limits: added })
      ? room.getChances(request)
      : undefined;
  }

  function takeNext(room: TargetRoom): Waiter | undefined {
    const now = performance.now();
    const limits = new Map<number, boolean>();
    const mayStart = (waiter: Waiter): boolean =>
      hasPlace(waiter.request, { room, limits });
    const isLateTurn = places % placesPerLateTurn === 0;
    const late = isLateTurn
      ? queue.take((waiter) =>
        waiter.times.lateTurnAt <= now && mayStart(waiter)
      )
      : undefined;
    return late ??
      queue.take((waiter) => waiter.times.goalAt >= now && mayStart(waiter)) ??
      queue.take(mayStart);
  }

  function hasPlace(
    request: QueuedRequest,
    { room, limits }: {
      readonly room: TargetRoom;
      /** Whether this router may send another request, by class. */
      readonly limits: Map<number, boolean>;
    },
  ): boolean {
    const { priorityClass } = request;
    const isWithin = limits.get(priorityClass) ?? isWithinLimit(priorityClass);
    limits.set(priorityClass, isWithin);
    // A request without a target isn't held; it is refused for its own reason.
    return (isWithin && room.hasRoom(request)) || !room.hasTarget(request);
  }

  function getShares(priorityClass: number): RoomShares {
    const own = sumDemand(demand);
    const peers = sumDemand(host.getPeerDemand());
    return {
      ownShare: own <= 0 ? 0 : own / (own + peers),
      countedShare: getCountedShare(priorityClass),
      isBehindUrgent: isBehindUrgent(priorityClass),
      depth: getDepth(priorityClass),
    };
  }

  function isBehindUrgent(priorityClass: number): boolean {
    return sumDemand(demand, 0, priorityClass) +
        sumDemand(host.getPeerDemand(), 0, priorityClass) > 0;
  }

  function getDepth(priorityClass: number): QueueDepth {
    if (host.getRunEstimate().engine !== undefined) {
      return isBehindUrgent(priorityClass) ? "short" : "urgent";
    }
    const routers = host.getRouterCount();
    const heardPeers = host.countHeardPeers();
    if (heardPeers === 0 && routers > 1) return "short";
    const total = sumDemand(demand) +
      sumDemand(host.getPeerDemand()) * getPeerFactor({ routers, heardPeers });
    return total <= targets.getCapacity("goal") ? "goal" : "short";
  }

  /** Engines run urgent requests before others, which don't fill them. */
  function getCountedShare(priorityClass: number): number {
    if (host.getRunEstimate().engine === undefined) return 1;
    const peers = host.getPeerDemand();
    let total = 0;
    let counted = 0;
    demand.forEach(({ running }, rank) => {
      const count = running + (peers[rank]?.running ?? 0);
      total += count;
      if (rank <= priorityClass) counted += count;
    });
    return total <= 0 ? 1 : counted / total;
  }

  function isWithinLimit(priorityClass: number, added = 0): boolean {
    const { engine, runMs } = host.getRunEstimate();
    const rank = engine === undefined ? 0 : priorityClass;
    const intervalMs = tryGetSendIntervalMs(getLimit(priorityClass, added), {
      running: getCountedRunning(priorityClass),
      runMs,
    });
    if (intervalMs === undefined) return false;
    return performance.now() - (lastPartAt[rank] ?? 0) >= intervalMs;
  }

  function recordSend(priorityClass: number): void {
    const { engine } = host.getRunEstimate();
    const rank = engine === undefined ? 0 : priorityClass;
    const limit = getLimit(priorityClass, 0);
    if (getCountedRunning(priorityClass) + 1 > limit) {
      lastPartAt[rank] = performance.now();
    }
  }

  function getCountedRunning(priorityClass: number): number {
    return host.getRunEstimate().engine === undefined
      ? demand.reduce((sum, { running }) => sum + running, 0)
      : demand[priorityClass]?.running ?? 0;
  }

  function getLimit(priorityClass: number, added = 1): number {
    return getOwnLimit({
      capacity: targets.getCapacity(getDepth(priorityClass)),
      own: demand,
      added,
      peers: host.getPeerDemand(),
      isPreemptive: host.getRunEstimate().engine !== undefined,
      routers: host.getRouterCount(),
      heardPeers: host.countHeardPeers(),
    }, priorityClass);
  }

  function begin(priorityClass: number): void {
    const count = demand[priorityClass];
    if (count !== undefined) count.running++;
  }

  function end(priorityClass: number): void {
    const count = demand[priorityClass];
    if (count !== undefined && count.running > 0) count.running--;
  }

  function countAhead(priorityClass: number): number {
    return demand.slice(0, priorityClass + 1)
      .reduce((sum, { waiting }) => sum + waiting, 0);
  }
}
