/** Chooses the target of one try from what the process knows now. */

import type { HeldParts } from "../process/direct/held_parts.ts";
import type { LoadView } from "../process/direct/load_view.ts";
import {
  choosePlace,
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
  readonly held: Pick<HeldParts, "getHeldTokens" | "isHeld">;
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
  readonly prefillParts: readonly PromptPart[];
  /** Requests at the target before this one. */
  readonly load: number;
  /** Targets that could have been chosen. */
  readonly candidates: number;
}

/** Chooses a target that has not been tried; undefined when none is left. */
export function tryChooseTarget(
  host: ChoiceHost,
  request: DirectRequest,
  attempted: ReadonlySet<string>,
): DirectChoice | undefined {
  const ready = host.targets.getReady(request.service);
  const remaining = ready.filter(({ id }) => !attempted.has(id));
  const usable = host.health.getUsable(remaining);
  return request.prompt === undefined
    ? tryChooseSlot(host, usable)
    : tryChooseEngine(host, request, {
      usable,
      excluded: ready.filter((target) => !usable.includes(target)),
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
    prefillParts: [],
    candidates: candidates.length,
  };
}

function tryChooseEngine(
  host: ChoiceHost,
  request: DirectRequest,
  { usable, excluded }: {
    readonly usable: readonly DirectTarget[];
    /** Set aside or tried before; their caches can mostly be copied from. */
    readonly excluded: readonly DirectTarget[];
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
      heldTokens: host.held.getHeldTokens(target.id, shared),
    };
  });
  const chosen = choosePlace({
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0),
    zone: host.zone,
    loadMultiple: host.loadMultiple,
    closedHolders: [...excluded, ...host.targets.getLeaving(request.service)]
      .filter(({ id }) => host.health.isReachable(id))
      .map((target) => ({
        target,
        heldTokens: host.held.getHeldTokens(target.id, shared),
      })),
  }, candidates);
  if (chosen === undefined) return undefined;
  const { target, fetchFrom } = chosen;
  const holders = fetchFrom === undefined ? [target] : [target, fetchFrom];
  return {
    ...chosen,
    candidates: candidates.length,
    prefillParts: getUncachedParts(
      shared,
      (part) => holders.some(({ id }) => host.held.isHeld(id, part.id)),
    ),
  };
}

/** A part counts as held only behind parts that are all held. */
function getUncachedParts(
  parts: readonly PromptPart[],
  isCached: (part: PromptPart) => boolean,
): readonly PromptPart[] {
  const firstUncached = parts.findIndex((part) => !isCached(part));
  return firstUncached < 0 ? [] : parts.slice(firstUncached);
}
