/**
 * Tracks which engines' lists of cached parts are known, are being requested by
 * which router, or are missing, while routers recover.
 *
 * Load pattern: all routers start within a second, each asks some of the engines,
 * and some datagrams, engines and routers are lost on the way. A request is to
 * wait for a list that is on its way, but for nothing that does not come.
 */

/** Time after which an engine that gave no list holds nothing, in ms. */
export const listTimeoutMs = 300;

/** Time for the fragments of a list to arrive, in milliseconds. */
const transferMs = 150;

/**
 * Time after the last fragment until the missing ones are requested, in ms;
 * several times the interval at which they are sent.
 */
const gapMs = 30;

/** The same when none has arrived; an engine needs some time for its list. */
const firstGapMs = 120;

/** Maximum number of requests for the missing fragments of a list. */
const maxRequests = 5;

/** What is known of one engine's list. */
interface ListState {
  /** Router that asks the engine. */
  readonly router: string;
  readonly askedAt: number;
  /** Indexes of the fragments that have arrived. */
  readonly fragments: ReadonlySet<number>;
  /** Number of fragments; undefined before the first. */
  readonly count: number | undefined;
  readonly changedAt: number;
  readonly requests: number;
}

/** The lists of all engines. */
export interface EngineLists {
  /** Records that a router asks an engine, unless another one is known to. */
  recordAsked(target: string, router: string): void;
  /** Records a fragment of a list; none follow when `count` is 0. */
  recordFragment(
    router: string,
    fragment: {
      readonly target: string;
      readonly index: number;
      readonly count: number;
    },
  ): void;
  /** Returns true when a router has asked the engine, or asks it now. */
  isAsked(target: string): boolean;
  /** Returns true when all of the engine's list is known. */
  isListed(target: string): boolean;
  /** Returns true when more of the engine's list may arrive soon. */
  isExpected(target: string): boolean;
  /** Returns what is to be requested now, and counts it as requested. */
  takeIncomplete(): readonly MissingList[];
}

/** A list that has stopped arriving. */
export interface MissingList {
  readonly target: string;
  /** Router that has the list. */
  readonly router: string;
  /** Indexes of the fragments that have not arrived; all when empty. */
  readonly missing: readonly number[];
}

/** Creates the lists of a router that knows none. */
export function createEngineLists(): EngineLists {
  const states = new Map<string, ListState>();

  return {
    recordAsked,
    recordFragment,
    isAsked: (target) => states.has(target),
    isListed,
    isExpected,
    takeIncomplete,
  };

  function recordAsked(target: string, router: string): void {
    if (states.has(target)) return;
    const now = performance.now();
    states.set(target, {
      ...{ router, askedAt: now, changedAt: now, requests: 0 },
      ...{ fragments: new Set<number>(), count: undefined },
    });
  }

  function recordFragment(
    router: string,
    { target, index, count }: {
      readonly target: string;
      readonly index: number;
      readonly count: number;
    },
  ): void {
    recordAsked(target, router);
    const state = states.get(target);
    if (state === undefined || isComplete(state)) return;
    const fragments = state.count === count
      ? new Set([...state.fragments, index])
      : new Set([index]);
    const changedAt = performance.now();
    states.set(target, { ...state, router, fragments, count, changedAt });
  }

  function isListed(target: string): boolean {
    const state = states.get(target);
    return state !== undefined && isComplete(state) && state.count !== 0;
  }

  function isExpected(target: string): boolean {
    const state = states.get(target);
    if (state === undefined || isComplete(state)) return false;
    const { askedAt, changedAt, count, requests } = state;
    const now = performance.now();
    return count === undefined
      ? now - askedAt < listTimeoutMs + transferMs
      : now - changedAt < transferMs && requests < maxRequests;
  }

  function takeIncomplete(): readonly MissingList[] {
    const now = performance.now();
    const incomplete: MissingList[] = [];
    for (const [target, state] of states) {
      const { router, fragments, count, changedAt, requests } = state;
      const waitMs = count === undefined ? firstGapMs : gapMs;
      if (isComplete(state) || requests >= maxRequests) continue;
      if (now - changedAt < waitMs) continue;
      states.set(target, { ...state, requests: requests + 1, changedAt: now });
      const missing = Array.from({ length: count ?? 0 }, (_, index) => index)
        .filter((index) => !fragments.has(index));
      incomplete.push({ target, router, missing });
    }
    return incomplete;
  }
}

function isComplete({ count, fragments }: ListState): boolean {
  return count !== undefined && fragments.size >= count;
}
