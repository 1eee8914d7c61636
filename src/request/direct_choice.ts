/**
 * Chooses the target of one attempt from the loads, the target health and the
 * cached prompt parts that this process knows of.
 *
 * Load pattern: an engine that is ejected, or draining by its entry, takes no
 * requests, but its prefix cache can still be read, so another engine copies from
 * it. So does one whose limit is reached: copies are no requests. One that said
 * itself that it leaves, or that it wants a pause, is not even copied from.
 */

import type { CachedParts } from "../process/direct/placement/cached_parts.ts";
import type { PartDemand } from "../process/direct/placement/part_demand.ts";
import type { LoadView } from "../process/direct/targets/load_view.ts";
import {
  chooseEngine,
  type EngineCandidate,
  getSharedParts,
  type PlacementRequest,
  priceEngines,
  type SlotState,
} from "../process/direct/placement/prefix_placement.ts";
import {
  chooseSlot,
  priceSlots,
  type SlotCandidate,
} from "../process/direct/placement/slot_placement.ts";
import type { PromptSizes } from "../process/direct/placement/prompt_sizes.ts";
import type { TargetHealth } from "../process/direct/targets/target_health.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import type { TargetPace } from "../process/direct/targets/target_pace.ts";
import type { TargetPauses } from "../process/direct/targets/target_pauses.ts";
import type { TargetSpeeds } from "../process/direct/targets/target_speeds.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";
import type { TimedWork } from "../process/direct/targets/usual_times.ts";
import type { Placement } from "../process/placement/placement.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { DirectTarget } from "../types/direct_target.ts";

/** What the choice needs from the process. */
export interface ChoiceHost {
  readonly targets: Pick<TargetTable, "getReady" | "getLeaving">;
  readonly health: Pick<TargetHealth, "getUsable" | "isReachable">;
  readonly pauses: Pick<TargetPauses, "getUsable" | "isPaused">;
  readonly limits: Pick<TargetLimits, "getUsable" | "tryGetSlotState">;
  readonly pace: Pick<TargetPace, "getUsable" | "tryGetBound">;
  readonly speeds: Pick<TargetSpeeds, "tryGetEstimate" | "tryGetExpectedMs">;
  readonly promptSizes: Pick<PromptSizes, "isLarge">;
  readonly loads: Pick<LoadView, "getLoad">;
  readonly cachedParts: Pick<CachedParts, "getCachedTokens" | "isCached">;
  readonly partDemand: Pick<
    PartDemand,
    "hasCopyFailed" | "isCopying" | "tryGetPerS"
  >;
  readonly placement: Placement;
  /** Availability zone of this router. */
  readonly zone: string;
  /** Load limit of an engine, as a multiple of the mean load. */
  readonly loadMultiple: number;
  /** Returns a random number in [0, 1). */
  random(): number;
}

/** What a choice prefers. */
export interface ChoiceOptions {
  /** Target that the place of the request names; undefined without one. */
  readonly preferred?: DirectTarget | undefined;
}

/** A chosen target with the values that the choice was based on. */
export interface DirectChoice {
  readonly target: DirectTarget;
  /** Engine to copy cached parts from; undefined without a copy. */
  readonly fetchFrom: DirectTarget | undefined;
  /** Tokens of the request's shared parts in the target's cache. */
  readonly heldTokens: number;
  /** Shared parts cached neither at the target nor at `fetchFrom`. */
  readonly prefillParts: readonly PromptPart[];
  /** Requests that run or wait at the target, without this one. */
  readonly load: number;
  /** Slot that an engine with a rate had free; undefined for others. */
  readonly slot?: SlotState | undefined;
  /** Requests a second for its largest shared part; undefined if not known. */
  readonly partPerS?: number | undefined;
  /** Number of targets that were eligible. */
  readonly candidates: number;
  /** What was expected of the target; undefined without contention. */
  readonly expected?: ExpectedTimes | undefined;
}

/** The speed and the pace of a target when it was chosen. */
export interface ExpectedTimes {
  /** Concurrent requests that the target gets; undefined without a pace. */
  readonly bound: number | undefined;
  /** Expected time of work, relative to the usual time of the service. */
  readonly slowdown: number | undefined;
  /** Age of what the slowdown is estimated from, in milliseconds. */
  readonly speedAgeMs: number | undefined;
  /** Expected time to the first event or of the call, in milliseconds. */
  readonly expectedMs: number | undefined;
}

/**
 * Chooses one of the targets that the request may use; undefined when none is
 * left. The preferred target is chosen if it is usable beside all the others:
 * health and pace allow any target when they are asked for it alone.
 */
export function tryChooseTarget(
  host: ChoiceHost,
  request: DirectRequest,
  mayUse: (target: DirectTarget) => boolean,
  { preferred }: ChoiceOptions = {},
): DirectChoice | undefined {
  const { ready, usable: allUsable } = getUsableTargets(host, request, mayUse);
  const first = allUsable.filter(({ address }) =>
    address === preferred?.address
  );
  const usable = first.length > 0 ? first : allUsable;
  const choice = request.prompt === undefined
    ? tryChooseSlot(host, usable, request)
    : tryChooseEngine(host, request, {
      usable,
      excluded: getOthers(ready, usable),
    });
  if (choice === undefined) return undefined;
  return { ...choice, expected: tryGetExpected(host, choice, request) };
}

/** Returns the ready targets of a request's service, and those it may go to. */
function getUsableTargets(
  host: Pick<ChoiceHost, "health" | "limits" | "pace" | "pauses" | "targets">,
  { service }: DirectRequest,
  mayUse: (target: DirectTarget) => boolean,
): {
  readonly ready: readonly DirectTarget[];
  readonly usable: readonly DirectTarget[];
} {
  const ready = host.targets.getReady(service);
  const remaining = host.limits.getUsable(host.pauses.getUsable(ready))
    .filter(mayUse);
  const usable = host.pace.getUsable(host.health.getUsable(remaining));
  return { ready, usable };
}

/**
 * Returns the targets that the choice compares, with their costs, those that the
 * request may go to, and the load bound of engines.
 */
export function priceTargets(
  host: ChoiceHost,
  request: DirectRequest,
  mayUse: (target: DirectTarget) => boolean,
): {
  readonly costs: ReadonlyMap<DirectTarget, number>;
  readonly loadBound: number | undefined;
  readonly usable: readonly DirectTarget[];
} {
  const { ready, usable } = getUsableTargets(host, request, mayUse);
  if (request.prompt === undefined) {
    const priced = priceSlots(
      getSlotCandidates(host, usable),
      getSlotOptions(host, request),
    );
    return { costs: toCosts(priced), loadBound: undefined, usable };
  }
  const { priced, loadBound } = priceEngines(
    ...getPlacement(host, request, {
      usable,
      excluded: getOthers(ready, usable),
    }),
  );
  return { costs: toCosts(priced), loadBound, usable };
}

function toCosts(
  priced: readonly {
    readonly candidate: { readonly target: DirectTarget };
    readonly cost: number;
  }[],
): ReadonlyMap<DirectTarget, number> {
  return new Map(priced.map(({ candidate, cost }) => [candidate.target, cost]));
}

/** Returns what is expected of a chosen target; undefined without contention. */
export function tryGetExpected(
  { pace, speeds }: Pick<ChoiceHost, "pace" | "speeds">,
  choice: Pick<DirectChoice, "load" | "prefillParts" | "target">,
  request: DirectRequest,
): ExpectedTimes | undefined {
  const { target } = choice;
  const bound = pace.tryGetBound(target);
  const estimate = speeds.tryGetEstimate(target);
  if (bound === undefined && estimate === undefined) return undefined;
  const kind = request.route.kind === "stream" ? "first_event" : "call";
  return {
    bound,
    slowdown: estimate?.slowdown,
    speedAgeMs: estimate?.ageMs,
    expectedMs: speeds.tryGetExpectedMs(
      target,
      getTimedWork(request, choice, kind),
    ),
  };
}

/** Returns the work of a request at the chosen target. */
export function getTimedWork(
  { prompt, route }: DirectRequest,
  { load, prefillParts }: Pick<DirectChoice, "load" | "prefillParts">,
  kind: TimedWork["kind"],
): TimedWork {
  const sharedTokens = sumTokens(getSharedParts(prompt?.parts ?? []));
  const ownTokens = (prompt?.promptTokens ?? 0) - sharedTokens;
  const prefillTokens = Math.max(0, ownTokens) + sumTokens(prefillParts);
  return { kind, route: route.name, prefillTokens, load };
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

function getOthers(
  targets: readonly DirectTarget[],
  chosen: readonly DirectTarget[],
): readonly DirectTarget[] {
  if (targets.length === chosen.length) return [];
  const chosenTargets = new Set(chosen);
  return targets.filter((target) => !chosenTargets.has(target));
}

function tryChooseSlot(
  host: ChoiceHost,
  targets: readonly DirectTarget[],
  request: DirectRequest,
): DirectChoice | undefined {
  const candidates = getSlotCandidates(host, targets);
  const chosen = chooseSlot(candidates, getSlotOptions(host, request));
  return chosen && {
    ...{ target: chosen.target, load: chosen.load },
    fetchFrom: undefined,
    heldTokens: 0,
    prefillParts: [],
    candidates: candidates.length,
  };
}

function getSlotCandidates(
  { loads, speeds }: ChoiceHost,
  targets: readonly DirectTarget[],
): readonly SlotCandidate[] {
  return targets.map((target) => ({
    target,
    load: loads.getLoad(target.id).requests,
    slowdown: speeds.tryGetEstimate(target)?.slowdown,
  }));
}

function getSlotOptions(
  { zone, random }: ChoiceHost,
  { route }: DirectRequest,
): Parameters<typeof chooseSlot>[1] {
  return { zone, random, isUnsafe: route.kind === "unsafe" };
}

function tryChooseEngine(
  host: ChoiceHost,
  request: DirectRequest,
  options: EngineOptions,
): DirectChoice | undefined {
  const [placementRequest, candidates] = getPlacement(host, request, options);
  const chosen = chooseEngine(placementRequest, candidates);
  if (chosen === undefined) return undefined;
  const { target, fetchFrom } = chosen;
  return {
    ...chosen,
    slot: host.limits.tryGetSlotState(target),
    partPerS: candidates[0]?.demand,
    candidates: candidates.length,
    prefillParts: getPrefillParts(
      host,
      request,
      fetchFrom === undefined ? [target] : [target, fetchFrom],
    ),
  };
}

/** Returns the shared parts that none of the holders has cached. */
export function getPrefillParts(
  { cachedParts }: Pick<ChoiceHost, "cachedParts">,
  { prompt }: Pick<DirectRequest, "prompt">,
  holders: readonly DirectTarget[],
): readonly PromptPart[] {
  return getUncachedParts(
    getSharedParts(prompt?.parts ?? []),
    (part) => holders.some(({ id }) => cachedParts.isCached(id, part.id)),
  );
}

interface EngineOptions {
  readonly usable: readonly DirectTarget[];
  /** Ejected or attempted targets; most of their caches stay readable. */
  readonly excluded: readonly DirectTarget[];
}

/** Returns what an engine is chosen by: the request and the candidates. */
function getPlacement(
  host: ChoiceHost,
  request: DirectRequest,
  { usable, excluded }: EngineOptions,
): readonly [PlacementRequest, readonly EngineCandidate[]] {
  const shared = getSharedParts(request.prompt?.parts ?? []);
  const key = shared.at(-1)?.id ?? request.requestId;
  const open = getWithoutFailedCopy(host, usable, shared);
  const ranked = host.placement.rankTargets(
    key,
    open.map((target) => ({ id: target.id, weight: 100, target })),
    { limit: open.length },
  );
  const demand = host.partDemand.tryGetPerS(shared);
  const candidates = ranked.map(({ target }) => {
    const { requests, unreadTokens } = host.loads.getLoad(target.id);
    return {
      target,
      load: requests,
      backlogTokens: unreadTokens,
      heldTokens: host.partDemand.isCopying(target.id, shared)
        ? 0
        : host.cachedParts.getCachedTokens(target.id, shared),
      slot: host.limits.tryGetSlotState(target),
      slowdown: host.speeds.tryGetEstimate(target)?.slowdown,
      demand,
    };
  });
  const sharedTokens = sumTokens(shared);
  return [{
    sharedTokens,
    ownTokens: Math.max(0, (request.prompt?.promptTokens ?? 0) - sharedTokens),
    random: host.random,
    zone: host.zone,
    loadMultiple: host.loadMultiple,
    isLarge: host.promptSizes.isLarge(
      request.service,
      request.prompt?.promptTokens ?? 0,
    ),
    unavailableHolders: [
      ...excluded,
      ...host.targets.getLeaving(request.service),
    ]
      .filter((target) =>
        host.health.isReachable(target.id) && !host.pauses.isPaused(target)
      )
      .map((target) => ({
        target,
        heldTokens: host.cachedParts.getCachedTokens(target.id, shared),
      })),
  }, candidates];
}

/** Leaves out targets that have just failed to copy the parts, if others remain. */
function getWithoutFailedCopy(
  { partDemand }: ChoiceHost,
  targets: readonly DirectTarget[],
  shared: readonly PromptPart[],
): readonly DirectTarget[] {
  const others = targets.filter(({ id }) =>
    !partDemand.hasCopyFailed(id, shared)
  );
  return others.length > 0 ? others : targets;
}

/**
 * Returns the parts from the first uncached one on: a cached part is usable
 * only when all parts before it are cached too.
 */
function getUncachedParts(
  parts: readonly PromptPart[],
  isCached: (part: PromptPart) => boolean,
): readonly PromptPart[] {
  const firstUncached = parts.findIndex((part) => !isCached(part));
  return firstUncached < 0 ? [] : parts.slice(firstUncached);
}
