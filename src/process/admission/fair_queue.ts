/**
 * Orders waiting work by weighted fair queueing on two levels: priorities
 * share by the service's weights, and workspaces share within a priority.
 * Each level serves the flow with the lowest virtual start time, so a flow
 * with much waiting work delays the others no more than its share allows.
 */

import { priorities, type Priority } from "../../types/work.ts";

/** Weights, read whenever work is taken. */
export interface FairQueueHost {
  getPriorityWeight(priority: Priority): number;
  getWorkspaceWeight(workspace: string): number;
}

/** One piece of waiting work. */
export interface Waiting<Item> {
  readonly priority: Priority;
  readonly workspace: string;
  /** Estimated work, in work units. */
  readonly cost: number;
  readonly item: Item;
}

/** Numbers of waiting pieces. */
export interface FairQueueSizes {
  readonly inPriority: number;
  readonly inWorkspace: number;
}

/** Waiting work in fair order. */
export interface FairQueue<Item> {
  add(waiting: Waiting<Item>): void;
  /** Takes the next piece that may start; undefined when there is none. */
  take(mayStart: (item: Item) => boolean): Item | undefined;
  /** Takes one piece out of turn; false when it is not there. */
  remove(waiting: Waiting<Item>): boolean;
  getSize(): number;
  /** Pieces waiting in a priority, and in a workspace's part of it. */
  getSizes(priority: Priority, workspace: string): FairQueueSizes;
  /** Waiting work over all flows, in work units. */
  getBacklog(): number;
  /** Work that would start before a new piece, in work units. */
  estimateAhead(waiting: Omit<Waiting<Item>, "item">): number;
  forEach(callback: (item: Item) => void): void;
}

/** A share of a level with its place in virtual time. */
interface Share {
  /** Virtual time at which the next piece starts. */
  start: number;
  /** Virtual time at which the last piece ends. */
  finish: number;
  backlog: number;
}

interface Flow<Item> extends Share {
  readonly workspace: string;
  readonly pieces: Waiting<Item>[];
}

interface Level<Item> extends Share {
  readonly priority: Priority;
  readonly active: Map<string, Flow<Item>>;
  /** Finish times of flows with nothing waiting that have had their share. */
  readonly idle: Map<string, number>;
  virtual: number;
  size: number;
}

/** Idle flows remembered before those that are caught up are forgotten. */
const maxIdleFlows = 1024;

/** Lowest weight, so that a zero never stops a flow. */
const minWeight = 0.001;

/** Creates an empty queue. */
export function createFairQueue<Item>(
  host: FairQueueHost,
): FairQueue<Item> {
  const levels = priorities.map((priority) => createLevel<Item>(priority));
  let virtual = 0;

  return {
    add,
    take,
    remove,
    getSize: () => levels.reduce((sum, level) => sum + level.size, 0),
    getSizes,
    getBacklog,
    estimateAhead,
    forEach,
  };

  function add(waiting: Waiting<Item>): void {
    const level = getLevel(waiting.priority);
    if (level.size === 0) level.start = Math.max(level.finish, virtual);
    const flow = getFlow(level, waiting.workspace);
    flow.pieces.push(waiting);
    flow.backlog += waiting.cost;
    level.backlog += waiting.cost;
    level.size++;
  }

  function getLevel(priority: Priority): Level<Item> {
    const found = levels.find((level) => level.priority === priority);
    if (found === undefined) throw new Error(`No priority ${priority}`);
    return found;
  }

  function getFlow(level: Level<Item>, workspace: string): Flow<Item> {
    const known = level.active.get(workspace);
    if (known !== undefined) return known;
    const finish = level.idle.get(workspace) ?? 0;
    level.idle.delete(workspace);
    const start = Math.max(finish, level.virtual);
    const flow = { workspace, pieces: [], backlog: 0, start, finish };
    level.active.set(workspace, flow);
    return flow;
  }

  function take(mayStart: (item: Item) => boolean): Item | undefined {
    const inOrder = levels
      .filter((level) => level.size > 0)
      .sort((left, right) => left.start - right.start);
    for (const level of inOrder) {
      const waiting = takeFrom(level, mayStart);
      if (waiting === undefined) continue;
      virtual = Math.max(virtual, level.start);
      charge(level, waiting.cost / getPriorityWeight(level.priority));
      return waiting.item;
    }
    return undefined;
  }

  function takeFrom(
    level: Level<Item>,
    mayStart: (item: Item) => boolean,
  ): Waiting<Item> | undefined {
    let best: { flow: Flow<Item>; index: number } | undefined;
    for (const flow of level.active.values()) {
      if (best !== undefined && flow.start >= best.flow.start) continue;
      const index = flow.pieces.findIndex(({ item }) => mayStart(item));
      if (index >= 0) best = { flow, index };
    }
    if (best === undefined) return undefined;
    const { flow, index } = best;
    const [waiting] = flow.pieces.splice(index, 1);
    if (waiting === undefined) return undefined;
    level.virtual = Math.max(level.virtual, flow.start);
    charge(flow, waiting.cost / getWorkspaceWeight(flow.workspace));
    shrink(level, flow, waiting.cost);
    return waiting;
  }

  function charge(share: Share, cost: number): void {
    share.finish = share.start + cost;
    share.start = share.finish;
  }

  function remove(waiting: Waiting<Item>): boolean {
    const level = getLevel(waiting.priority);
    const flow = level.active.get(waiting.workspace);
    const index = flow?.pieces.indexOf(waiting) ?? -1;
    if (flow === undefined || index < 0) return false;
    flow.pieces.splice(index, 1);
    shrink(level, flow, waiting.cost);
    return true;
  }

  /** Takes one piece off the counts of its flow and level. */
  function shrink(
    level: Level<Item>,
    flow: Flow<Item>,
    cost: number,
  ): void {
    flow.backlog -= cost;
    level.backlog -= cost;
    level.size--;
    if (flow.pieces.length > 0) return;
    level.active.delete(flow.workspace);
    if (flow.finish > level.virtual) {
      level.idle.set(flow.workspace, flow.finish);
    }
    if (level.idle.size > maxIdleFlows) forgetIdle(level);
  }

  function forgetIdle(level: Level<Item>): void {
    level.idle.forEach((finish, workspace) => {
      if (finish <= level.virtual) level.idle.delete(workspace);
    });
    // Past the bound the oldest flow is forgiven what it has had.
    const [oldest] = level.idle.keys();
    if (level.idle.size > maxIdleFlows && oldest !== undefined) {
      level.idle.delete(oldest);
    }
  }

  function getSizes(priority: Priority, workspace: string): FairQueueSizes {
    const level = getLevel(priority);
    return {
      inPriority: level.size,
      inWorkspace: level.active.get(workspace)?.pieces.length ?? 0,
    };
  }

  function getBacklog(): number {
    return levels.reduce((sum, level) => sum + level.backlog, 0);
  }

  function estimateAhead(
    { priority, workspace, cost }: Omit<Waiting<Item>, "item">,
  ): number {
    const level = getLevel(priority);
    const flowAhead = level.active.get(workspace)?.backlog ?? 0;
    const flowWeight = getWorkspaceWeight(workspace);
    const inLevel = getServedBefore(flowAhead, {
      cost,
      weight: flowWeight,
      others: [...level.active.values()]
        .filter((flow) => flow.workspace !== workspace)
        .map(({ workspace: other, backlog }) => ({
          weight: getWorkspaceWeight(other),
          backlog,
        })),
    });
    return getServedBefore(inLevel, {
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

  function getPriorityWeight(priority: Priority): number {
    return Math.max(minWeight, host.getPriorityWeight(priority));
  }

  function getWorkspaceWeight(workspace: string): number {
    return Math.max(minWeight, host.getWorkspaceWeight(workspace));
  }

  function forEach(callback: (item: Item) => void): void {
    for (const level of levels) {
      for (const flow of level.active.values()) {
        [...flow.pieces].forEach(({ item }) => callback(item));
      }
    }
  }
}

/**
 * Work served before a new piece of a share: what the share has waiting, and
 * of each other share at most what its weight gives it in the same time.
 */
function getServedBefore(
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
  const perWeight = (ahead + cost) / weight;
  return others.reduce(
    (sum, other) => sum + Math.min(other.backlog, other.weight * perWeight),
    ahead,
  );
}

function createLevel<Item>(priority: Priority): Level<Item> {
  return {
    priority,
    active: new Map(),
    idle: new Map(),
    virtual: 0,
    size: 0,
    start: 0,
    finish: 0,
    backlog: 0,
  };
}
