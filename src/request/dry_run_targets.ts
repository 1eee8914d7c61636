/** Describes the targets of a service as one request would find them. */

import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import type { TargetChance } from "../process/direct/queue/queued_request.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { DryRunTarget, Obstacle } from "../types/dry_run.ts";
import {
  getPrefillParts,
  priceTargets,
  tryGetExpected,
} from "./direct_choice.ts";
import type { PreviewHost, PreviewSource } from "./dry_run_host.ts";

/** The request, and what was decided on it. */
interface TargetsRequest {
  readonly request: DirectRequest;
  mayUse(target: DirectTarget): boolean;
  readonly isQuarantined: boolean;
  /** Ids of the chosen target and of the engine to copy from. */
  readonly target?: string | undefined;
  readonly fetchFrom?: string | undefined;
  readonly chances: readonly TargetChance[];
}

/** What obstacles are told by. */
interface ObstacleContext {
  readonly source: PreviewSource;
  readonly preview: PreviewHost;
  readonly request: TargetsRequest;
}

/** Obstacles that a target has whatever the others are like. */
const ownObstacles: Readonly<
  Partial<
    Record<
      Obstacle,
      (context: ObstacleContext, target: DirectTarget) => boolean
    >
  >
> = {
  quarantined: ({ request }) => request.isQuarantined,
  evacuated: ({ source }, target) => source.targets.isEvacuated(target),
  leaving: ({ source: { targets } }, target) =>
    !targets.mayReceive(target) && !targets.isEvacuated(target),
  paused: ({ source }, target) => source.pauses.isPaused(target),
  returning: ({ source: { pauses } }, target) =>
    !pauses.isPaused(target) && pauses.getUsable([target]).length === 0,
  limited: ({ preview: { limits } }, target) =>
    !limits.isCold(target) && limits.getUsable([target]).length === 0,
  cold: ({ preview: { limits } }, target) =>
    limits.isCold(target) && limits.getUsable([target]).length === 0,
  other_version: ({ request }, target) => !request.mayUse(target),
  ejected: ({ source: { health } }, { id }) => health.isEjected(id),
  on_trial: ({ source: { health } }, { id }) =>
    !health.isEjected(id) && !health.isUsable(id),
};

/** Describes all known targets of the request's service, sorted by id. */
export function describeTargets(
  source: PreviewSource,
  preview: PreviewHost,
  described: TargetsRequest,
): readonly DryRunTarget[] {
  const { request, mayUse, isQuarantined, chances } = described;
  const context = { source, preview, request: described };
  const { costs, loadBound, usable } = priceTargets(preview, request, mayUse);
  const shared = getSharedParts(request.prompt?.parts ?? []);
  const usableTargets = new Set(usable);
  const all = source.targets.getAll(request.service);
  const holders = all.filter(({ id }) =>
    id === (described.fetchFrom ?? described.target)
  );
  const chanceById = new Map(
    chances.map(({ target, chance }) => [target.id, chance]),
  );
  return [...all].sort((left, right) => (left.id < right.id ? -1 : 1))
    .map((target) => describeTarget(target));

  function describeTarget(target: DirectTarget): DryRunTarget {
    const { id, address, zone, softwareVersion, slots } = target;
    const load = source.loads.getLoad(id).requests;
    const prefillParts = getPrefillParts(source, request, [target, ...holders]);
    const choice = { target, load, prefillParts };
    const cost = costs.get(target);
    return {
      ...{ id, address, zone, softwareVersion, load, slots },
      isUsable: costs.has(target) && !isQuarantined,
      obstacles: getObstacles(target, load),
      slot: preview.limits.tryGetSlotState(target),
      cachedTokens: request.prompt &&
        source.cachedParts.getCachedTokens(id, shared),
      ...roundAll({ ...tryGetExpected(preview, choice, request), cost }),
      chance: chanceById.get(id),
    };
  }

  function getObstacles(
    target: DirectTarget,
    load: number,
  ): readonly Obstacle[] {
    const own = (Object.keys(ownObstacles) as Obstacle[])
      .filter((name) => ownObstacles[name]?.(context, target));
    const relative = tryGetRelativeObstacle(target, load);
    if (relative === "paced" && own.length > 0) return own;
    return relative === undefined ? own : [...own, relative];
  }

  /** Returns what keeps the request from a target because of the others. */
  function tryGetRelativeObstacle(
    target: DirectTarget,
    load: number,
  ): Obstacle | undefined {
    if (costs.has(target)) return undefined;
    // Targets without an obstacle of their own are left out for their pace only.
    if (!usableTargets.has(target)) return "paced";
    return loadBound !== undefined && load + 1 > loadBound
      ? "at_load_bound"
      : "not_preferred";
  }
}

/** Rounds figures to two decimal places; those that are undefined stay. */
function roundAll<Figures extends Readonly<Record<string, number | undefined>>>(
  figures: Figures,
): Figures {
  return Object.fromEntries(
    Object.entries(figures).map(([name, value]) => [
      name,
      value === undefined ? undefined : Math.round(value * 100) / 100,
    ]),
  ) as Figures;
}
