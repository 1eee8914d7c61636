/**
 * Divides what is left of the bound of a paced target among the routers.
 *
 * Load pattern: a load is known to the other routers only with the next digest,
 * and all of them see the same free bound until then. Each adds at most its part
 * of it in that time, rounded at random where the part is below one request.
 * Half of each part follows the router's share of the service's load, half is
 * equal, so that a router that has just started gets one too. Where routers have
 * fewer than one request in that time, most parts are not used; those that are
 * grow accordingly.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { LoadView } from "./load_view.ts";

/** Minimum time after which loads are known to all routers, in ms. */
const minWindowMs = 300;

/** Time that each router adds to the interval of digests, in ms. */
const windowMsPerRouter = 1_000 / 240;

/** Weight of the last window in the mean number of requests in a window. */
const demandWeight = 0.5;

/** Least probability of a request in a window that parts are divided by. */
const minUseProbability = 0.1;

/** Part of the shares that is equal for all routers. */
const equalPart = 1 / 2;

/** The time until the loads at its start are known to all routers. */
interface ShareWindow {
  readonly startedAt: number;
  readonly endsAt: number;
  /** Requests of the service in the window so far, and in a usual window. */
  asks: number;
  readonly usualAsks: number;
  /** Requests of this router and of all routers at the start. */
  readonly own: number;
  readonly all: number;
  /** This router's part of what is left of the bound, from 0 to 1. */
  readonly part: number;
  readonly rounding: number;
}

/** The bound of a target and the current window. */
export interface PaceShare {
  bound: number;
  window: ShareWindow | undefined;
}

/** What the division needs from the process. */
export interface PaceSharesHost {
  readonly loads: Pick<LoadView, "getLoad" | "getOwnLoads">;
  getRouterCount(): number;
  random(): number;
}

/** The division of bounds. */
export interface PaceShares {
  /** Returns true when this router may have one more request at the target. */
  mayAdd(
    share: PaceShare,
    options: {
      readonly target: DirectTarget;
      /** Targets of the service, whose loads tell this router's share. */
      readonly targets: readonly DirectTarget[];
    },
  ): boolean;
  /** As `mayAdd`; counts nothing, and rounds a part to the nearest number. */
  previewAdd: PaceShares["mayAdd"];
  /** Returns this router's part of a bound, from 0 to 1. */
  getPart(share: PaceShare): number;
}

/** Creates the division of one router. */
export function createPaceShares(host: PaceSharesHost): PaceShares {
  return {
    mayAdd,
    previewAdd,
    getPart: ({ window }) => window?.part ?? 1 / getRouterCount(),
  };

  function mayAdd(
    share: PaceShare,
    { target, targets }: {
      readonly target: DirectTarget;
      readonly targets: readonly DirectTarget[];
    },
  ): boolean {
    share.window = tryGetWindow(share) ??
      createWindow(share, { target, targets, random: host.random });
    share.window.asks++;
    return isBelowLimit(share.bound, share.window, target);
  }

  function previewAdd(
    share: PaceShare,
    { target, targets }: Parameters<PaceShares["mayAdd"]>[1],
  ): boolean {
    const window = tryGetWindow(share) ??
      createWindow(share, { target, targets, random: () => 0.5 });
    return isBelowLimit(share.bound, window, target);
  }

  function tryGetWindow({ window }: PaceShare): ShareWindow | undefined {
    return window === undefined || performance.now() >= window.endsAt
      ? undefined
      : window;
  }

  function isBelowLimit(
    bound: number,
    { own, all, part, rounding }: ShareWindow,
    target: DirectTarget,
  ): boolean {
    return getOwn(target) <
      own + Math.floor((bound - all) * part + rounding);
  }

  function createWindow(
    { window: last }: PaceShare,
    { target, targets, random }: {
      readonly target: DirectTarget;
      readonly targets: readonly DirectTarget[];
      random(): number;
    },
  ): ShareWindow {
    const now = performance.now();
    const count = getRouterCount();
    const lengthMs = Math.max(minWindowMs, count * windowMsPerRouter);
    const usualAsks = getUsualAsks(last, { now, lengthMs });
    const useProbability = Math.max(
      minUseProbability,
      1 - Math.exp(-usualAsks),
    );
    const all = sum(targets, ({ id }) => host.loads.getLoad(id).requests);
    const own = sum(targets, getOwn);
    const demandPart = all > 0 ? own / all : 1 / count;
    const part = equalPart / count + (1 - equalPart) * demandPart;
    return {
      ...{ startedAt: now, endsAt: now + lengthMs, asks: 0, usualAsks },
      own: getOwn(target),
      all: host.loads.getLoad(target.id).requests,
      part: count === 1 ? 1 : Math.min(1, part / useProbability),
      // A router that is alone rounds nothing up.
      rounding: count === 1 ? 0 : random(),
    };
  }

  function getOwn({ id }: DirectTarget): number {
    return host.loads.getOwnLoads().get(id)?.requests ?? 0;
  }

  function getRouterCount(): number {
    return Math.max(1, host.getRouterCount());
  }
}

/** Returns the mean number of requests in a window; all are used at first. */
function getUsualAsks(
  last: ShareWindow | undefined,
  { now, lengthMs }: { readonly now: number; readonly lengthMs: number },
): number {
  if (last === undefined) return Number.POSITIVE_INFINITY;
  const windows = (now - last.startedAt) / lengthMs;
  const asks = last.asks / Math.max(1, windows);
  return Number.isFinite(last.usualAsks)
    ? last.usualAsks + (asks - last.usualAsks) * demandWeight
    : asks;
}

function sum<Item>(
  items: readonly Item[],
  getValue: (item: Item) => number,
): number {
  return items.reduce((total, item) => total + getValue(item), 0);
}
