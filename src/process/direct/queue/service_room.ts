/**
 * Decides how many requests this router may run at the targets of a service.
 *
 * Load pattern: hundreds of routers fill the slots of the same targets with runs
 * that are shorter than the interval of their digests, so no router knows the
 * load of a target at the moment. Each knows the sum of the demand some hundred
 * milliseconds ago. As long as all of it fits, everything is sent at once. Beyond,
 * each router gets the part of the capacity that its demand is of the whole, and
 * one that gets less than one request sends it now and then. The targets' own short
 * queues cover the time until the digests tell that places are free.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { EngineTraits } from "../../../types/route_table.ts";
import type { TargetLoad } from "../targets/load_view.ts";
import type { ClassDemand } from "./peer_demand.ts";

/**
 * Time that the queue at a target may take to be worked off, in milliseconds;
 * most of the interval of digests in a small fleet.
 */
const targetQueueMs = 150;

/** Maximum length of the queue at a target, in requests per slot. */
const maxQueuePerSlot = 0.5;

/**
 * Part of the time that calls have until their goal, beyond the run, for which
 * they may wait at plain targets while all of the demand fits into that time. The
 * rest covers demand and loads that digests have not told yet.
 */
const goalQueueShare = 0.6;

/** Factor of the run time that is kept for the run of a call. */
const runFactor = 1.2;

/**
 * Queue for the most urgent requests at an engine, in requests per slot. With half
 * a slot's worth, routers held urgent streams that the engine would have begun in
 * time; engines refuse when their own queue is full.
 */
const urgentQueuePerSlot = 1;

/**
 * How many requests may be sent to a target:
 *
 * - `short`: its slots and a queue that covers the time until digests tell that
 *   places are free. What waits in the routers can still be put in order.
 * - `goal`: at plain targets, what they finish within the latency goal. While all
 *   demand fits into it, a wait in the routers serves nobody sooner.
 * - `urgent`: at engines, which begin more urgent requests first by themselves, for
 *   requests that none is more urgent than. Held in a router, these would begin
 *   later than the less urgent ones that take the slots meanwhile.
 */
export type QueueDepth = "short" | "goal" | "urgent";

/** Part of an engine's cache that running requests may fill together. */
const usableCacheShare = 0.9;

/**
 * Part of the capacity that more urgent classes leave to a class, so that none
 * starves.
 */
const minClassShare = 0.25;

/** Interval at which a router with a very small share sends, in milliseconds. */
const maxSendIntervalMs = 1_000;

/** Run time after which a peer's report of a load is half as much, in ms. */
const loadReportAgeMs = 250;

/**
 * Part of the shortest latency goal of a service that the prompts that engines
 * have not read yet may take, and how fast engines read them.
 */
const maxBacklogGoalShare = 0.4;
const prefillTokensPerMs = 50;

/** Such backlogs at which an engine gets no more, by the last digests. */
const maxReportedBacklogs = 2;

/** What is known of the runs of a service. */
export interface RunEstimate {
  /** Expected time that a request runs, in milliseconds. */
  readonly runMs: number;
  /** Traits of the engines; undefined for plain targets. */
  readonly engine: EngineTraits | undefined;
  /** Mean number of cache tokens that a request fills while it runs. */
  readonly requestTokens: number;
  /** Shortest latency goal of the service's requests, in milliseconds. */
  readonly minGoalMs: number;
}

/** Returns how many requests a target may have, running and waiting. */
export function getTargetCapacity(
  { slots }: Pick<DirectTarget, "slots">,
  estimate: RunEstimate,
  depth: QueueDepth = "short",
): number {
  const { runMs, engine, requestTokens } = estimate;
  if (depth === "urgent") return slots * (1 + urgentQueuePerSlot);
  if (depth === "goal" && engine === undefined) {
    return slots * (1 + getGoalQueuePerSlot(estimate));
  }
  const queueLength = slots *
    Math.min(maxQueuePerSlot, targetQueueMs / Math.max(1, runMs));
  const bySlots = slots + Math.max(1, Math.floor(queueLength));
  const cacheTokens = engine?.cacheTokens ?? 0;
  if (cacheTokens <= 0 || requestTokens <= 0) return bySlots;
  const byTokens = Math.floor(cacheTokens * usableCacheShare / requestTokens);
  return Math.max(1, Math.min(bySlots, byTokens));
}

function getGoalQueuePerSlot({ runMs, minGoalMs }: RunEstimate): number {
  const waitMs = Math.max(0, minGoalMs - runMs * runFactor) * goalQueueShare;
  return Math.max(maxQueuePerSlot, waitMs / Math.max(1, runMs));
}

/** What a class may use of the room at the targets. */
export interface RoomShares {
  /** This router's part of the demand. */
  readonly ownShare: number;
  /** True while more urgent requests run or wait anywhere. */
  readonly isBehindUrgent: boolean;
  /** Part of the requests that the request doesn't come before. */
  readonly countedShare: number;
  readonly depth: QueueDepth;
}

/**
 * Returns how many more requests a target has room for, as far as known; 0 for
 * none. Reports of peers count the less the sooner the requests that they tell of
 * have ended.
 */
export function getTargetRoom(
  target: Pick<DirectTarget, "slots">,
  estimate: RunEstimate,
  { own, total, ownShare, isBehindUrgent, countedShare, depth }: RoomShares & {
    /** Load of this router alone. */
    readonly own: TargetLoad;
    readonly total: TargetLoad;
  },
): number {
  const { runMs, engine } = estimate;
  const reportWeight = runMs / (runMs + loadReportAgeMs);
  const load = own.requests + (total.requests - own.requests) * reportWeight;
  const maxTokens = estimate.minGoalMs * maxBacklogGoalShare *
    prefillTokensPerMs;
  // Routers that all fill up a backlog of the last digest overload the engine.
  const isBehind = own.unreadTokens > maxTokens * ownShare ||
    total.unreadTokens > maxTokens * maxReportedBacklogs;
  if (engine !== undefined && isBehindUrgent && isBehind) return 0;
  const capacity = getTargetCapacity(target, estimate, depth);
  return Math.max(0, capacity - load * countedShare);
}

/** Demand for a service and the capacity that it competes for. */
export interface Competition {
  /** Requests that all usable targets may have together. */
  readonly capacity: number;
  /** This router's demand by priority class. */
  readonly own: readonly ClassDemand[];
  /** Requests of the class beside those in `own`. */
  readonly added?: number;
  /** Demand of its peers by priority class. */
  readonly peers: readonly ClassDemand[];
  /** True when targets run urgent requests before others that run already. */
  readonly isPreemptive: boolean;
  /** Number of registered routers, with this one. */
  readonly routers: number;
  /** Number of peers that have reported lately. */
  readonly heardPeers: number;
}

/**
 * Returns how many requests of a class this router may run, which may be less
 * than one. Targets that don't preempt have one limit for all classes.
 */
export function getOwnLimit(
  competition: Competition,
  priorityClass: number,
): number {
  const { capacity, own, peers, isPreemptive, routers, heardPeers, added = 0 } =
    competition;
  // Nothing is known of the others: an equal share, but at least one request.
  if (heardPeers === 0 && routers > 1) return Math.max(1, capacity / routers);
  // Peers that aren't heard are taken to have the mean demand of the others.
  const peerFactor = getPeerFactor(competition);
  if (!isPreemptive) {
    return getShare(capacity, {
      own: sumDemand(own) + added,
      peers: sumDemand(peers) * peerFactor,
    });
  }
  const urgent = sumDemand(own, 0, priorityClass) +
    sumDemand(peers, 0, priorityClass) * peerFactor;
  const left = Math.max(capacity * minClassShare, capacity - urgent);
  return getShare(left, {
    own: sumDemand(own, priorityClass, priorityClass + 1) + added,
    peers: sumDemand(peers, priorityClass, priorityClass + 1) * peerFactor,
  });
}

/** Returns how many peers each one that is heard stands for, at least one. */
export function getPeerFactor(
  { routers, heardPeers }: {
    readonly routers: number;
    readonly heardPeers: number;
  },
): number {
  return Math.max(1, (routers - 1) / Math.max(1, heardPeers));
}

function getShare(
  capacity: number,
  { own, peers }: { readonly own: number; readonly peers: number },
): number {
  const byDemand = own <= 0 ? capacity : capacity * own / (own + peers);
  return Math.max(byDemand, capacity - peers);
}

/** Returns the running and waiting requests of the classes in a range. */
export function sumDemand(
  classes: readonly ClassDemand[],
  from = 0,
  to = classes.length,
): number {
  let sum = 0;
  for (let rank = from; rank < to; rank++) {
    const demand = classes[rank];
    if (demand !== undefined) sum += demand.running + demand.waiting;
  }
  return sum;
}

/**
 * Returns the time after the last request beyond the whole part of the limit at
 * which another may be sent, in milliseconds; 0 while whole places are free, and
 * undefined when the limit is reached.
 */
export function tryGetSendIntervalMs(
  limit: number,
  { running, runMs }: { readonly running: number; readonly runMs: number },
): number | undefined {
  if (running + 1 <= limit) return 0;
  // A router sends one request now and then, whatever its share is.
  const usable = Math.max(limit, running === 0 ? runMs / maxSendIntervalMs : 0);
  const part = usable - running;
  if (part <= 0) return undefined;
  return Math.min(maxSendIntervalMs, runMs / part);
}

/** Returns the expected wait behind requests of this router, in ms. */
export function getQueueWaitMs(
  ahead: number,
  { limit, runMs }: { readonly limit: number; readonly runMs: number },
): number {
  return ahead * Math.min(maxSendIntervalMs, runMs / Math.max(limit, 0.001));
}
