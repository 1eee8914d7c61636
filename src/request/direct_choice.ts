/** Chooses the target of one try from what the process knows now. */

import type { CachedParts } from "../process/direct/cached_parts.ts";
import type { LoadView } from "../process/direct/load_view.ts";
import {
  chooseEngine,
  getSharedParts,
} from "../process/direct/prefix_placement.ts";
import { chooseSlot } from "../process/direct/slot_placement.ts";
import type { TargetHealth } from "../process/direct/target_health.ts";
import type { TargetTable } from "../process/direct/target_table.ts";
import type { Placement } from "../process/placement/placement.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { DirectTarget } from "../types/direct_target.ts";

/** What choosing needs from the process. */
export interface ChoiceHost {
  readonly targets: Pick<TargetTable, "getReady" | "getLeaving">;
  readonly health: Pick<TargetHealth, "getUsable" | "isReachable">;
  readonly loads: Pick<LoadView, "getLoad">;
  readonly held: Pick<CachedParts, "getCachedTokens" | "isCached">;
  readonly placement: Placement;
  /** Availability zone of this router. */
  readonly zone: string;
  readonly loadMultiple: number;
  random(): number;
}

/** A target with what decided for it. */
export interface DirectChoice {
  readonly target: DirectTarget;
  readonly fetchFrom: DirectTarget | undefined;
  /** Tokens of the request's shared parts that the target holds. */
  readonly heldTokens: number;
  /** Shared parts that it reads, as neither it nor the source holds them. */
  readonly readParts: readonly PromptPart[];
  /** Requests at the target before this one. */
  readonly load: number;
  /** Targets that could have been chosen. */
  readonly candidates: number;
}

/** Chooses a target that has not been tried; undefined when none is left. */
export function tryChooseTarget(
  host: ChoiceHost,
  request: DirectRequest,
  tried: ReadonlySet<string>,
): DirectChoice | undefined {
  const ready = host.targets.getReady(request.service);
  const left = ready.filter(({ id }) => !tried.has(id));
  const usable = host.health.getUsable(left);
  return request.prompt === undefined
    ? tryChooseSlot(host, usable)
    : tryChooseEngine(host, request, {
      usable,
      closed: ready.filter((target) => !usable.includes(target)),
    });
}

function tryChooseSlot(
  host: ChoiceHost,
  targets: readonly DirectTarget[],
): DirectChoice | undefined {
  const candidates = targets.map((target) => ({
    target,
    load: host.loads.getLoad(target.id).requests,
  }));
  const chosen = chooseSlot(candidates, host);
  return chosen && {
    ...chosen,
    fetchFrom: undefined,
    heldTokens: 0,
    readParts: [],
    candidates: candidates.length,
  };
}

function tryChooseEngine(
  host: ChoiceHost,
  request: DirectRequest,
  { usable, closed }: {
    readonly usable: readonly DirectTarget[];
    /** Set aside or tried before; their caches can mostly be copied from. */
    readonly closed: readonly DirectTarget[];
  },
): DirectChoice | undefined {
  const shared = getSharedParts(request.prompt?.parts ?? []);
  const key = shared.at(-1)?.id ?? request.requestId;
  const ranked = host.placement.rankTargets(
    key,
    usable.map((target) => ({ id: target.id, weight: 100, target })),
    { limit: usable.length },
  );
  const candidates = ranked.map(({ target }) => {
    const { requests, unreadTokens } = host.loads.getLoad(target.id);
    return {
      target,
      load: requests,
      backlogTokens: unreadTokens,
      heldTokens: host.held.getCachedTokens(target.id, shared),
    };
  });
  const chosen = chooseEngine({
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0),
    zone: host.zone,
    loadMultiple: host.loadMultiple,
    unavailableHolders: [...closed, ...host.targets.getLeaving(request.service)]
      .filter(({ id }) => host.health.isReachable(id))
      .map((target) => ({
        target,
        heldTokens: host.held.getCachedTokens(target.id, shared),
      })),
  }, candidates);
  if (chosen === undefined) return undefined;
  const { target, fetchFrom } = chosen;
  const holders = fetchFrom === undefined ? [target] : [target, fetchFrom];
  return {
    ...chosen,
    candidates: candidates.length,
    readParts: getUnheldParts(
      shared,
      (part) => holders.some(({ id }) => host.held.isCached(id, part.id)),
    ),
  };
}

/** A part counts as held only behind parts that are all held. */
function getUnheldParts(
  parts: readonly PromptPart[],
  isHeld: (part: PromptPart) => boolean,
): readonly PromptPart[] {
  const first = parts.findIndex((part) => !isHeld(part));
  return first < 0 ? [] : parts.slice(first);
}
