/**
 * Orders waiting work by hierarchical weighted fair queueing: priorities share
 * by the service's weights, and workspaces share within a priority. The lowest
 * virtual start time is served first, so one workspace that surges delays the
 * others no more than its weight allows. Within a workspace, work is served by
 * its due time if it has one, otherwise in the order of arrival.
 */

import { priorities, type Priority } from "../../types/work.ts";

/** Weights, read whenever work is taken from the queue. */
export interface FairQueueHost<Rank = Priority> {
  getPriorityWeight(priority: Rank): number;
  getWorkspaceWeight(workspace: string): number;
}

/** A waiting request. */
export interface WaitingWork<Item, Rank = Priority> {
  readonly priority: Rank;
  readonly workspace: string;
  /** Estimated work, in work units. */
  readonly cost: number;
  /**
   * Time that orders the work of a workspace, on any one clock; work without
   * one is served in the order of arrival.
   */
  readonly dueAt?: number;
  readonly item: Item;
}

/** Numbers of waiting requests in a priority and in one workspace of it. */
export interface FairQueueSizes {
  readonly inPriority: number;
  readonly inWorkspace: number;
}

/** Waiting requests, in fair order. */
export interface FairQueue<Item, Rank = Priority> {
  add(waiting: WaitingWork<Item, Rank>): void;
  /** Takes the next item that may start; undefined when there is none. */
  take(mayStart: (item: Item) => boolean): Item | undefined;
  /** Removes one request out of order; false when it is not queued. */
  remove(waiting: WaitingWork<Item, Rank>): boolean;
  /**
   * Returns the request to give way when the queue is full: the last one of
   * the longest flow in the lowest priority that has any.
   */
  tryGetLast(): WaitingWork<Item, Rank> | undefined;
  getSize(): number;
  /** Counts the requests of a priority, and those of a workspace in it. */
  getSizes(priority: Rank, workspace: string): FairQueueSizes;
  /** Returns the waiting work of all flows, in work units. */
  getBacklog(): number;
  /** Estimates the work that starts before a new request, in work units. */
  estimateAhead(waiting: Omit<WaitingWork<Item, Rank>, "item">): number;
  forEach(callback: (item: Item) => void): void;
}

/** Virtual times and backlog of one scheduled flow or priority. */
interface SchedulingEntity {
  /** Virtual time at which the next request starts. */
  startTag: number;
  /** Virtual time at which the request served last ends. */
  finishTag: number;
  /** Waiting work, in work units. */
  backlog: number;
}

/** The requests of one workspace within a priority. */
interface Flow<Item, Rank> extends SchedulingEntity {
  readonly workspace: string;
  readonly queued: WaitingWork<Item, Rank>[];
}

/** The flows of one priority. */
interface Level<Item, Rank> extends SchedulingEntity {
  readonly priority: Rank;
  /** Flows with waiting requests, by workspace. */
  readonly active: Map<string, Flow<Item, Rank>>;
  /** Finish tags of empty flows that are ahead of the clock, by workspace. */
  readonly idle: Map<string, number>;
  /** Virtual time: the maximum start tag served so far. */
  clock: number;
  /** Number of waiting requests. */
  size: number;
}

/** Idle flows kept before those that the clock has passed are evicted. */
const maxIdleFlows = 1024;

/** Lower bound of a weight, so that a weight of 0 does not starve a flow. */
const minWeight = 0.001;

/** Creates an empty queue for the two priorities of requests with agents. */
export function createFairQueue<Item>(
  host: FairQueueHost,
): FairQueue<Item> {
  return createRankedQueue<Item, Priority>(host, priorities);
}

/** Creates an empty queue for the given ranks, the most urgent first. */
export function createRankedQueue<Item, Rank extends string | number>(
  host: FairQueueHost<Rank>,
  ranks: readonly Rank[],
): FairQueue<Item, Rank> {
  const levels = ranks.map((rank) => createLevel<Item, Rank>(rank));
  let clock = 0;

  return {
    add,
    take,
    remove,
    tryGetLast,
    getSize: () => levels.reduce((sum, level) => sum + level.size, 0),
    getSizes,
    getBacklog,
    estimateAhead,
    forEach,
  };

  function add(waiting: WaitingWork<Item, Rank>): void {
    const level = getLevel(waiting.priority);
    if (level.size === 0) level.startTag = Math.max(level.finishTag, clock);
    const flow = getFlow(level, waiting.workspace);
    insertByDueTime(flow.queued, waiting);
    flow.backlog += waiting.cost;
    level.backlog += waiting.cost;
    level.size++;
  }

  function getLevel(priority: Rank): Level<Item, Rank> {
    const found = levels.find((level) => level.priority === priority);
    if (found === undefined) throw new Error(`unknown priority ${priority}`);
    return found;
  }

  function getFlow(
    level: Level<Item, Rank>,
    workspace: string,
  ): Flow<Item, Rank> {
    const known = level.active.get(workspace);
    if (known !== undefined) return known;
    const finishTag = level.idle.get(workspace) ?? 0;
    level.idle.delete(workspace);
    const startTag = Math.max(finishTag, level.clock);
    const flow = {
      workspace,
      queued: [],
      backlog: 0,
      startTag,
      finishTag,
    };
    level.active.set(workspace, flow);
    return flow;
  }

  function take(mayStart: (item: Item) => boolean): Item | undefined {
    const byStartTag = levels
      .filter((level) => level.size > 0)
      .sort((left, right) => left.startTag - right.startTag);
    for (const level of byStartTag) {
      const waiting = takeFrom(level, mayStart);
      if (waiting === undefined) continue;
      clock = Math.max(clock, level.startTag);
      charge(level, waiting.cost / getPriorityWeight(level.priority));
      return waiting.item;
    }
    return undefined;
  }

  function takeFrom(
    level: Level<Item, Rank>,
    mayStart: (item: Item) => boolean,
  ): WaitingWork<Item, Rank> | undefined {
    let best: { flow: Flow<Item, Rank>; index: number } | undefined;
    for (const flow of level.active.values()) {
      if (best !== undefined && flow.startTag >= best.flow.startTag) continue;
      const index = flow.queued.findIndex(({ item }) => mayStart(item));
      if (index >= 0) best = { flow, index };
    }
    if (best === undefined) return undefined;
    const { flow, index } = best;
    const [waiting] = flow.queued.splice(index, 1);
    if (waiting === undefined) return undefined;
    level.clock = Math.max(level.clock, flow.startTag);
    charge(flow, waiting.cost / getWorkspaceWeight(flow.workspace));
    accountRemoval(level, flow, waiting.cost);
    return waiting;
  }

  function charge(entity: SchedulingEntity, cost: number): void {
    entity.finishTag = entity.startTag + cost;
    entity.startTag = entity.finishTag;
  }

  function remove(waiting: WaitingWork<Item, Rank>): boolean {
    const level = getLevel(waiting.priority);
    const flow = level.active.get(waiting.workspace);
    const index = flow?.queued.indexOf(waiting) ?? -1;
    if (flow === undefined || index < 0) return false;
    flow.queued.splice(index, 1);
    accountRemoval(level, flow, waiting.cost);
    return true;
  }

  function tryGetLast(): WaitingWork<Item, Rank> | undefined {
    const lowest = levels.findLast((level) => level.size > 0);
    if (lowest === undefined) return undefined;
    return [...lowest.active.values()]
      .reduce((longest, flow) =>
        flow.queued.length > longest.queued.length ? flow : longest
      ).queued.at(-1);
  }

  /** Updates the counts of a flow and its level after a request left. */
  function accountRemoval(
    level: Level<Item, Rank>,
    flow: Flow<Item, Rank>,
    cost: number,
  ): void {
    flow.backlog -= cost;
    level.backlog -= cost;
    level.size--;
    if (flow.queued.length > 0) return;
    level.active.delete(flow.workspace);
    if (flow.finishTag > level.clock) {
      level.idle.set(flow.workspace, flow.finishTag);
    }
    if (level.idle.size > maxIdleFlows) evictIdleFlows(level);
  }

  function evictIdleFlows(level: Level<Item, Rank>): void {
    level.idle.forEach((finishTag, workspace) => {
      if (finishTag <= level.clock) level.idle.delete(workspace);
    });
    // Above the bound, the oldest flow is evicted although it is ahead of the
    // clock; if it returns, it is served as if it were new.
    const [oldest] = level.idle.keys();
    if (level.idle.size > maxIdleFlows && oldest !== undefined) {
      level.idle.delete(oldest);
    }
  }

  function getSizes(priority: Rank, workspace: string): FairQueueSizes {
    const level = getLevel(priority);
    return {
      inPriority: level.size,
      inWorkspace: level.active.get(workspace)?.queued.length ?? 0,
    };
  }

  function getBacklog(): number {
    return levels.reduce((sum, level) => sum + level.backlog, 0);
  }

  function estimateAhead(
    { priority, workspace, cost }: Omit<WaitingWork<Item, Rank>, "item">,
  ): number {
    const level = getLevel(priority);
    const flowAhead = level.active.get(workspace)?.backlog ?? 0;
    const flowWeight = getWorkspaceWeight(workspace);
    const inLevel = estimateServedBefore(flowAhead, {
      cost,
      weight: flowWeight,
      others: [...level.active.values()]
        .filter((flow) => flow.workspace !== workspace)
        .map(({ workspace: other, backlog }) => ({
          weight: getWorkspaceWeight(other),
          backlog,
        })),
    });
    return estimateServedBefore(inLevel, {
      cost,
      weight: getPriorityWeight(priority),
      others: levels
        .filter((other) => other !== level)
        .map(({ priority: other, backlog }) => ({
          weight: getPriorityWeight(other),
          backlog,
        })),
    });
  }

  function getPriorityWeight(priority: Rank): number {
    return Math.max(minWeight, host.getPriorityWeight(priority));
  }

  function getWorkspaceWeight(workspace: string): number {
    return Math.max(minWeight, host.getWorkspaceWeight(workspace));
  }

  function forEach(callback: (item: Item) => void): void {
    for (const level of levels) {
      for (const flow of level.active.values()) {
        [...flow.queued].forEach(({ item }) => callback(item));
      }
    }
  }
}

/** Inserts work behind all that is due before it or at the same time. */
function insertByDueTime<Item, Rank>(
  queued: WaitingWork<Item, Rank>[],
  waiting: WaitingWork<Item, Rank>,
): void {
  const dueAt = waiting.dueAt ?? Number.POSITIVE_INFINITY;
  const before = queued.findLastIndex((other) =>
    (other.dueAt ?? Number.POSITIVE_INFINITY) <= dueAt
  );
  queued.splice(before + 1, 0, waiting);
}

/**
 * Estimates the work served before a new request of a flow or priority: its
 * own backlog, and of each other backlog at most what the other's weight earns
 * in the same time.
 */
function estimateServedBefore(
  ahead: number,
  { cost, weight, others }: {
    readonly cost: number;
    readonly weight: number;
    readonly others: readonly {
      readonly weight: number;
      readonly backlog: number;
    }[];
  },
): number {
  const workPerWeight = (ahead + cost) / weight;
  return others.reduce(
    (sum, other) => sum + Math.min(other.backlog, other.weight * workPerWeight),
    ahead,
  );
}

function createLevel<Item, Rank>(priority: Rank): Level<Item, Rank> {
  return {
    priority,
    active: new Map(),
    idle: new Map(),
    clock: 0,
    size: 0,
    startTag: 0,
    finishTag: 0,
    backlog: 0,
  };
}
