/**
 * What the targets of a service have room for.
 *
 * Load pattern: in a fleet of hundreds of targets and routers, room is looked for
 * with each request and with each report of a peer, while targets become usable
 * or unusable rarely. So their capacity is summed once per change, or once per
 * some milliseconds for changes that nothing reports. Rooms are computed target
 * by target, as far as a search has to go.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { LoadView } from "../targets/load_view.ts";
import type { QueuedRequest, TargetChance } from "./queued_request.ts";
import {
  getTargetCapacity,
  getTargetRoom,
  type QueueDepth,
  type RoomShares,
  type RunEstimate,
} from "./service_room.ts";
import { getTargetChances, tryDrawTarget } from "./target_draw.ts";

/**
 * Time for which the targets and their capacity are not counted anew, in ms;
 * changes of the table are told. Engines are many, and their choice looks at each
 * of them again; plain targets are few, and the loss of one counts at once.
 */
const targetsTtlMs = { plain: 20, engine: 100 } as const;

/**
 * Time for which a target that has refused a request for want of a place gets no
 * other, in runs and in milliseconds at most.
 */
const refusedPause = { runs: 0.5, maxMs: 150 } as const;

const noLoad = { requests: 0, unreadTokens: 0 };

/** What the targets of a service need from its queue and the process. */
export interface ServiceTargetsHost {
  readonly loads: Pick<LoadView, "getLoad" | "getOwnLoads">;
  /** Returns the targets that may get requests now. */
  getUsable(): readonly DirectTarget[];
  getRunEstimate(): RunEstimate;
  /** Returns what a class may use of the room at the targets. */
  getShares(priorityClass: number): RoomShares;
  /** Returns the time that calls take at a target, relative to the usual. */
  getSlowdown(target: DirectTarget): number;
  /** Returns a random number in [0, 1). */
  random(): number;
}

/** Room as it is at one moment. */
export interface TargetRoom {
  /** Returns true when a request may be sent to a target with room. */
  hasRoom(request: QueuedRequest): boolean;
  /** Returns true when the request may be sent to a target at all. */
  hasTarget(request: QueuedRequest): boolean;
  /** Returns the plain targets that a request is drawn for; none of engines. */
  getChances(request: QueuedRequest): readonly TargetChance[];
  /** Draws a plain target; undefined when it is chosen by other means. */
  tryDraw(request: QueuedRequest): DirectTarget | undefined;
}

/** The targets of one service. */
export interface ServiceTargets {
  /** Records that the targets may have changed. */
  recordChange(): void;
  recordRefused(target: DirectTarget): void;
  /** Returns how many requests the targets may have with queues of a depth. */
  getCapacity(depth: QueueDepth): number;
  /**
   * Returns the room as it is now, without the places that were given since, by
   * address; the loads lack them still.
   */
  getRoom(drawn?: ReadonlyMap<string, number>): TargetRoom;
}

/** The usable targets and how many requests they may have, as far as asked. */
interface Counted {
  readonly at: number;
  readonly usable: readonly DirectTarget[];
  readonly capacities: Map<QueueDepth, number>;
}

/** Creates the targets of a service of which none has refused a request. */
export function createServiceTargets(host: ServiceTargetsHost): ServiceTargets {
  /** Times until which targets that refused a request get no other. */
  const refusedUntil = new Map<string, number>();
  let counted: Counted | undefined;

  return {
    recordChange: () => {
      counted = undefined;
    },
    recordRefused,
    getCapacity,
    getRoom,
  };

  function getCounted(): Counted {
    const at = performance.now();
    const { plain, engine } = targetsTtlMs;
    const ttlMs = host.getRunEstimate().engine === undefined ? plain : engine;
    if (counted !== undefined && at - counted.at < ttlMs) return counted;
    const usable = host.getUsable();
    counted = { at, usable, capacities: new Map() };
    return counted;
  }

  function getCapacity(depth: QueueDepth): number {
    const { usable, capacities } = getCounted();
    const known = capacities.get(depth);
    if (known !== undefined) return known;
    const estimate = host.getRunEstimate();
    /** Most targets of a service have the same number of slots. */
    const bySlots = new Map<number, number>();
    let sum = 0;
    for (const target of usable) {
      const capacity = bySlots.get(target.slots) ??
        getTargetCapacity(target, estimate, depth);
      bySlots.set(target.slots, capacity);
      sum += capacity;
    }
    capacities.set(depth, sum);
    return sum;
  }

  function recordRefused({ address }: DirectTarget): void {
    const now = performance.now();
    for (const [known, until] of refusedUntil) {
      if (until <= now) refusedUntil.delete(known);
    }
    const { runs, maxMs } = refusedPause;
    const pauseMs = Math.min(maxMs, host.getRunEstimate().runMs * runs);
    refusedUntil.set(address, now + pauseMs);
  }

  function getRoom(
    drawn: ReadonlyMap<string, number> = new Map(),
  ): TargetRoom {
    const estimate = host.getRunEstimate();
    const isPlain = estimate.engine === undefined;
    // A plain target is drawn from these and must not have been ejected since.
    const usable = isPlain ? host.getUsable() : getCounted().usable;
    const getRoomByClass = new Map<number, (target: DirectTarget) => number>();
    /** Classes for which no target has room. */
    const full = new Set<number>();
    return { hasRoom, hasTarget, getChances, tryDraw };

    function hasTarget({ mayUse }: QueuedRequest): boolean {
      return usable.some(mayUse);
    }

    function hasRoom({ priorityClass, mayUse }: QueuedRequest): boolean {
      if (full.has(priorityClass)) return false;
      const getRoomOf = getRoomIn(priorityClass);
      let isFull = true;
      for (const target of usable) {
        if (getRoomOf(target) <= 0) continue;
        if (mayUse(target)) return true;
        isFull = false;
      }
      if (isFull) full.add(priorityClass);
      return false;
    }

    function getChances(request: QueuedRequest): readonly TargetChance[] {
      if (!isPlain) return [];
      return getTargetChances(request, {
        usable,
        getRoom: getRoomIn(request.priorityClass),
        getSlowdown: host.getSlowdown,
      });
    }

    function tryDraw(request: QueuedRequest): DirectTarget | undefined {
      const chances = getChances(request);
      if (chances.length === 0) return undefined;
      return tryDrawTarget(chances, host.random());
    }

    /** Returns the function that tells the room of a target for a class. */
    function getRoomIn(
      priorityClass: number,
    ): (target: DirectTarget) => number {
      const known = getRoomByClass.get(priorityClass);
      if (known !== undefined) return known;
      const getRoomOf = createRoomOf(
        estimate,
        host.getShares(priorityClass),
        drawn,
      );
      getRoomByClass.set(priorityClass, getRoomOf);
      return getRoomOf;
    }
  }

  function createRoomOf(
    estimate: RunEstimate,
    shares: RoomShares,
    drawn: ReadonlyMap<string, number>,
  ): (target: DirectTarget) => number {
    const ownLoads = host.loads.getOwnLoads();
    const now = performance.now();
    return (target) =>
      (refusedUntil.get(target.address) ?? now) > now
        ? 0
        : getTargetRoom(target, estimate, {
          ...shares,
          own: ownLoads.get(target.id) ?? noLoad,
          total: host.loads.getLoad(target.id),
        }) - (drawn.get(target.address) ?? 0);
  }
}
