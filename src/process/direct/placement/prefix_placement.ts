/**
 * Chooses the engine of a request by its sequence of prompt parts.
 *
 * Load pattern: many chats share long parts while engines differ in load, and
 * one part may attract much of the traffic. Prefilling a long part again delays
 * the tokens of every other request on the engine; copying it costs a fraction.
 * So a request goes to an engine that has its parts cached as long as that
 * engine stays under the load bound, else to the cheapest other one, which
 * copies them. Parts that no engine has cached are placed by rank, on which all
 * routers agree.
 *
 * Engines that limit their requests count them, not their tokens, and leave the
 * rest to the others. Their slots go to large prompts first, to small ones only
 * before they are lost. Cold engines bear few requests and prefill slowly: their
 * slots go to small prompts first, then to chats whose parts they have cached, and
 * to other large prompts only where there is no room elsewhere.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { PromptPart } from "../../../types/prompt.ts";
import { getCopySpread } from "./copy_spread.ts";

/** An engine that may receive the request; candidates are in rank order. */
export interface EngineCandidate {
  readonly target: DirectTarget;
  /** Requests that run or wait at the engine, as far as known. */
  readonly load: number;
  /** Prefill backlog of the engine in tokens, as far as known. */
  readonly backlogTokens: number;
  /** Tokens of the request's shared parts that the engine has cached. */
  readonly heldTokens: number;
  /** Undefined for engines without a rate. */
  readonly slot?: SlotState | undefined;
  /**
   * Time that work is expected to take at the engine, relative to the usual
   * time; undefined where that is not estimated.
   */
  readonly slowdown?: number | undefined;
  /**
   * Requests a second for the largest shared part from all routers; undefined
   * where it is not known.
   */
  readonly demand?: number | undefined;
}

/**
 * The slot that is free at an engine that limits its requests, or at a cold one:
 * `late` when it is lost soon.
 */
export type SlotState = "fresh" | "late" | "cold_fresh" | "cold_late";

/** An engine that cannot be chosen but whose cache can be copied from. */
export interface UnavailableHolder {
  readonly target: DirectTarget;
  /** Tokens of the request's shared parts that the engine has cached. */
  readonly heldTokens: number;
}

/** The request to be placed. */
export interface PlacementRequest {
  /** Tokens of the parts that other requests may share. */
  readonly sharedTokens: number;
  /** Tokens of the prompt that no other request shares. */
  readonly ownTokens?: number;
  /** Availability zone of the router. */
  readonly zone: string;
  /** Maximum load of an engine, as a multiple of the mean load. */
  readonly loadMultiple: number;
  /** True when the prompt is larger than most of its service. */
  readonly isLarge?: boolean;
  /** Returns a random number in [0, 1); used where slowdowns are estimated. */
  random?(): number;
  /** Engines that are leaving, ejected or already attempted. */
  readonly unavailableHolders: readonly UnavailableHolder[];
}

/** The chosen engine with the values that the choice was based on. */
export interface PlacementChoice {
  readonly target: DirectTarget;
  /** Engine to copy shared parts from; undefined when no copy is worth it. */
  readonly fetchFrom: DirectTarget | undefined;
  /** Tokens of the shared parts that the target has cached. */
  readonly heldTokens: number;
  /** Load of the target without the request. */
  readonly load: number;
  /** Mean load of the candidates with the request. */
  readonly mean: number;
}

/**
 * Fraction of the load multiple that is used, so that loads that have not been
 * reported yet do not raise an engine above the multiple.
 */
const loadMultipleFactor = 0.8;

/** Requests allowed beyond the load multiple; matters when the mean is low. */
const loadSlack = 2;

/** Costs, in milliseconds of engine time. */
const costsMs = {
  /** Prefilling one token, including the delay of other requests. */
  prefillToken: 0.1,
  /** Copying one token: the transfer and the use of the link. */
  copyToken: 0.01,
  /** Each request on the engine, as it slows the tokens of the others. */
  load: 4,
  /** Each token that is to be prefilled before this request's own. */
  backlogToken: 0.016,
  /** Each step down in rank, so that routers agree on where new parts go. */
  rank: 25,
  /** An engine in another availability zone. */
  crossZone: 2,
} as const;

/**
 * Difference of costs up to which the second cheapest engine may be chosen, in
 * milliseconds; less than that of a step in rank.
 */
const closeCostMs = 4;

/**
 * Shares of a slowdown that count. A slow engine has fewer requests at the same
 * load already; with its whole slowdown it would get too few. Engines are slow for
 * a short time, while chats stay where their parts are, so that the slowdown of a
 * holder counts less.
 */
const slowdownShares = { holder: 0.3, other: 0.5 } as const;

/**
 * Slowdown from which a new part is not placed by rank alone. Routers estimate
 * small ones differently, and would prefill the same part at several engines.
 */
const minPrefillSlowdown = 1.6;

/** A candidate with its cost in milliseconds. */
export interface PricedCandidate {
  readonly candidate: EngineCandidate;
  readonly cost: number;
}

/** Minimum number of missing tokens for which a copy is worth its call. */
const minCopiedTokens = 64;

/** Returns the parts that other requests may share: all but the last. */
export function getSharedParts(
  parts: readonly PromptPart[],
): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Chooses the cheapest candidate; undefined when there are none. */
export function chooseEngine(
  request: PlacementRequest,
  candidates: readonly EngineCandidate[],
): PlacementChoice | undefined {
  const { priced, mean, maxHeldTokens } = priceEngines(request, candidates);
  const chosen = tryChooseCheapest(priced, request);
  if (chosen === undefined) return undefined;
  return {
    target: chosen.target,
    fetchFrom: tryGetCopySource(chosen),
    heldTokens: chosen.heldTokens,
    load: chosen.load,
    mean,
  };

  /** Returns the least loaded engine with the most tokens cached. */
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

/** The engines that a request may go to, and what they are compared by. */
export interface PricedEngines {
  readonly priced: readonly PricedCandidate[];
  /** Highest load of an engine that another request does not raise above it. */
  readonly loadBound: number;
  /** Mean load of the candidates with the request. */
  readonly mean: number;
  /** Most tokens of the shared parts that an engine has cached. */
  readonly maxHeldTokens: number;
}

/** Returns the engines that the request may go to, with their costs. */
export function priceEngines(
  request: PlacementRequest,
  candidates: readonly EngineCandidate[],
): PricedEngines {
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
  const eligible = [
    ...getPreferred(request, underBound),
    underBound,
    getLeastLoaded(candidates),
  ].find(({ length }) => length > 0) ?? [];
  const ranks = new Map(candidates.map((candidate, rank) => [candidate, rank]));
  const holders = candidates.filter(({ heldTokens }) =>
    heldTokens > 0 && request.sharedTokens - heldTokens < minCopiedTokens
  );
  const spread = getCopySpread(candidates[0]?.demand, {
    holders: holders.length,
    random: request.random ?? Math.random,
  });
  const priced = eligible.map((candidate) => ({
    candidate,
    cost: getCost(candidate, ranks.get(candidate) ?? 0),
  }));
  return { priced, loadBound, mean, maxHeldTokens };

  function getCost(candidate: EngineCandidate, rank: number): number {
    const copiedTokens = Math.max(0, maxHeldTokens - candidate.heldTokens);
    const prefilledTokens = Math.max(
      0,
      request.sharedTokens - Math.max(maxHeldTokens, candidate.heldTokens),
    );
    const isHolder = copiedTokens + prefilledTokens < minCopiedTokens;
    const { slowdown: estimate = 1 } = candidate;
    const slowdown = getPlacementSlowdown(estimate, isHolder);
    const prefillSlowdown = estimate < minPrefillSlowdown ? 1 : slowdown;
    const ownMs = (request.ownTokens ?? 0) * costsMs.prefillToken +
      costsMs.load;
    return copiedTokens * costsMs.copyToken * spread.copyShare +
      prefilledTokens * costsMs.prefillToken * prefillSlowdown +
      candidate.load * costsMs.load * slowdown +
      candidate.backlogTokens * costsMs.backlogToken * slowdown +
      ownMs * (slowdown - 1) +
      (isHolder
        ? spread.getHolderMs(holders.indexOf(candidate))
        : rank * costsMs.rank * spread.copyShare) +
      (candidate.target.zone === request.zone ? 0 : costsMs.crossZone);
  }
}

/** Returns the engines whose slots, or lack of one, fit the request; best first. */
function getPreferred(
  { isLarge = false, sharedTokens }: PlacementRequest,
  candidates: readonly EngineCandidate[],
): readonly (readonly EngineCandidate[])[] {
  if (!isLarge) {
    return [
      candidates.filter(isCold),
      candidates.filter(({ slot }) => slot !== "fresh"),
    ];
  }
  return [
    candidates.filter((candidate) =>
      candidate.slot !== undefined && !isCold(candidate)
    ),
    candidates.filter((candidate) =>
      !isCold(candidate) ||
      (candidate.slot === "cold_late" &&
        sharedTokens - candidate.heldTokens < minCopiedTokens)
    ),
  ];
}

function isCold({ slot }: EngineCandidate): boolean {
  return slot === "cold_fresh" || slot === "cold_late";
}

/** Returns the slowdown that costs are scaled by. */
function getPlacementSlowdown(slowdown: number, isHolder: boolean): number {
  const { holder, other } = slowdownShares;
  return 1 + (slowdown - 1) * (isHolder ? holder : other);
}

/**
 * Returns the cheapest candidate. Where slowdowns are estimated, one of the two
 * cheapest at random, so that routers that know the same don't all choose the
 * same; the second only if it costs about as much and lacks no more tokens.
 */
function tryChooseCheapest(
  costs: readonly PricedCandidate[],
  { random }: PlacementRequest,
): EngineCandidate | undefined {
  let first: PricedCandidate | undefined;
  let second: PricedCandidate | undefined;
  for (const priced of costs) {
    if (first === undefined || priced.cost < first.cost) {
      second = first;
      first = priced;
    } else if (second === undefined || priced.cost < second.cost) {
      second = priced;
    }
  }
  if (first === undefined || second === undefined) return first?.candidate;
  const isClose = first.candidate.slowdown !== undefined &&
    second.cost <= first.cost + closeCostMs &&
    second.candidate.heldTokens >= first.candidate.heldTokens;
  if (!isClose || random === undefined) return first.candidate;
  const secondShare = (first.cost + closeCostMs) /
    (first.cost + second.cost + 2 * closeCostMs);
  return random() < secondShare ? second.candidate : first.candidate;
}

/** Returns the mean load, including the request to be placed. */
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
