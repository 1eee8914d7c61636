/**
 * Chooses the engine of a request by its chain of prompt parts.
 *
 * Load pattern: many chats share long parts while engines differ in load, and
 * one part may draw much of the traffic. Reading a long part again blocks the
 * tokens of every request that runs beside it; copying it costs a fraction. So
 * a request goes where its parts are held as long as that engine stays under
 * the load bound, else to the cheapest other one, which copies from a holder.
 * Parts that nobody holds are placed by rank, on which all routers agree.
 */

import type { DirectTarget } from "../../types/direct_target.ts";
import type { PromptPart } from "../../types/prompt.ts";

/** One engine that may take the request, in the order of its rank. */
export interface EngineCandidate {
  readonly target: DirectTarget;
  /** Requests that run or wait there, as far as known. */
  readonly load: number;
  /** Prompt tokens that it still has to read, as far as known. */
  readonly backlogTokens: number;
  /** Tokens of the request's shared parts that it holds. */
  readonly heldTokens: number;
}

/** An engine that takes no new work now but still has its cache. */
export interface UnavailableHolder {
  readonly target: DirectTarget;
  readonly heldTokens: number;
}

/** What is to be placed. */
export interface PlacementRequest {
  /** Tokens of the parts that other requests share. */
  readonly sharedTokens: number;
  /** Availability zone of the router. */
  readonly zone: string;
  /** No engine takes work above this multiple of the mean. */
  readonly loadMultiple: number;
  /** Engines that leave or are set aside; they can still be copied from. */
  readonly unavailableHolders: readonly UnavailableHolder[];
}

/** Where a request goes. */
export interface PlacementChoice {
  readonly target: DirectTarget;
  /** Engine to copy shared parts from; undefined when nothing is missing. */
  readonly fetchFrom: DirectTarget | undefined;
  readonly heldTokens: number;
  readonly load: number;
  readonly mean: number;
}

/**
 * Part of the load multiple that is used, so that loads which are not known
 * yet do not carry an engine above the multiple.
 */
const loadMultipleFactor = 0.8;

/** Requests that an engine may hold beyond the multiple of a low mean. */
const loadSlack = 2;

/** Costs, in milliseconds of an engine's time. */
const costsMs = {
  /** Reading one token: its prefill and what that holds up beside it. */
  prefillToken: 0.1,
  /** Copying one token: transfer and the link that it occupies. */
  copyToken: 0.01,
  /** Each request that runs there slows the others' tokens. */
  load: 4,
  /** A token that waits to be read before this request's own. */
  backlogToken: 0.016,
  /** A step down in rank, so that routers agree on first places. */
  rank: 25,
  /** Another availability zone. */
  crossZone: 2,
} as const;

/** Missing tokens below which a copy is not worth its call. */
const minCopiedTokens = 64;

/** The parts that other requests may share: all but the last one. */
export function getSharedParts(
  parts: readonly PromptPart[],
): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Chooses among candidates; undefined when there are none. */
export function chooseEngine(
  request: PlacementRequest,
  candidates: readonly EngineCandidate[],
): PlacementChoice | undefined {
  const mean = getMeanLoad(candidates);
  const loadBound = request.loadMultiple * loadMultipleFactor * mean +
    loadSlack;
  const maxHeldTokens = Math.max(
    0,
    ...[...candidates, ...request.unavailableHolders].map(({ heldTokens }) =>
      heldTokens
    ),
  );
  const underBound = candidates.filter(({ load }) => load + 1 <= loadBound);
  const eligible = underBound.length > 0
    ? underBound
    : getLeastLoaded(candidates);
  let chosen: EngineCandidate | undefined;
  let minCost = Number.POSITIVE_INFINITY;
  for (const candidate of eligible) {
    const cost = getCost(candidate);
    if (cost >= minCost) continue;
    minCost = cost;
    chosen = candidate;
  }
  if (chosen === undefined) return undefined;
  return {
    target: chosen.target,
    fetchFrom: tryGetCopySource(chosen),
    heldTokens: chosen.heldTokens,
    load: chosen.load,
    mean,
  };

  function getCost(candidate: EngineCandidate): number {
    const copiedTokens = Math.max(0, maxHeldTokens - candidate.heldTokens);
    const prefilledTokens = Math.max(
      0,
      request.sharedTokens - Math.max(maxHeldTokens, candidate.heldTokens),
    );
    const isHolder = copiedTokens + prefilledTokens < minCopiedTokens;
    return copiedTokens * costsMs.copyToken +
      prefilledTokens * costsMs.prefillToken +
      candidate.load * costsMs.load +
      candidate.backlogTokens * costsMs.backlogToken +
      (isHolder ? 0 : candidates.indexOf(candidate) * costsMs.rank) +
      (candidate.target.zone === request.zone ? 0 : costsMs.crossZone);
  }

  /** The least loaded engine that holds the most. */
  function tryGetCopySource(engine: EngineCandidate): DirectTarget | undefined {
    if (maxHeldTokens - engine.heldTokens < minCopiedTokens) return undefined;
    const holders = candidates.filter(({ heldTokens }) =>
      heldTokens === maxHeldTokens
    );
    const fallback = request.unavailableHolders.find(({ heldTokens }) =>
      heldTokens === maxHeldTokens
    );
    return (getLeastLoaded(holders)[0] ?? fallback)?.target;
  }
}

/** Mean load with the request that is to be placed. */
function getMeanLoad(candidates: readonly EngineCandidate[]): number {
  const sum = candidates.reduce((total, { load }) => total + load, 1);
  return sum / Math.max(1, candidates.length);
}

function getLeastLoaded(
  candidates: readonly EngineCandidate[],
): readonly EngineCandidate[] {
  const minLoad = Math.min(...candidates.map(({ load }) => load));
  return candidates.filter(({ load }) => load === minLoad);
}
