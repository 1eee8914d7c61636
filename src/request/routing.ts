/**
 * Chooses the targets of one request one after the other: by rank for its
 * conversation, those that have just refused others last. When all refused, the
 * least loaded ones are asked again: they learn the loads of the others by
 * then, and a target at or below the mean takes one more request.
 */

import type { Placement } from "../process/placement.ts";
import type { RefusalMemory } from "../process/refusal_memory.ts";
import type { Member } from "../types/member.ts";
import type { MemberView } from "../types/view.ts";
import type { Work } from "../types/work.ts";

/** Targets that one request asks at most. */
const maxTargets = 8;

/** Targets asked although they have just refused another request. */
const maxRemembered = 3;

/** Loads that make another ask of the least loaded target useful. */
const minRefusedLoads = 2;

/** Asks of targets that have refused the same request before. */
const maxAskedAgain = 3;

/** What routing needs from outside. */
export interface RoutingHost {
  readonly members: Pick<MemberView, "getAvailableAgents">;
  readonly placement: Placement;
  readonly refusals: RefusalMemory;
}

/** The choice of targets for one request. */
export interface Routing {
  /** The next target to ask; undefined when there is none left. */
  tryGetNext(): Member | undefined;
  /** Lets a target be asked again that did not refuse, but was not heard. */
  allowAgain(target: string): void;
  /** Notes the load at which a target refused, in work units. */
  noteLoad(target: string, load: number): void;
  /** Last loads of the other targets that refused. */
  getOtherLoads(target: string): readonly number[];
  /** Targets returned so far. */
  getAsked(): number;
}

/** Returns the key by which a request is placed. */
export function getPlacementKey(work: Work): string {
  const name = work.conversation || work.requestId;
  return `${work.workspace}/${name}`;
}

/** Creates the choice for one request. */
export function createRouting(host: RoutingHost, work: Work): Routing {
  const asked = new Set<string>();
  const loads = new Map<string, number>();
  const allowedAgain = new Set<string>();
  let rememberedAsked = 0;
  let askedAgain = 0;

  return {
    tryGetNext,
    allowAgain,
    noteLoad,
    getOtherLoads,
    getAsked: () => asked.size,
  };

  function tryGetNext(): Member | undefined {
    return tryGetUnasked() ?? tryGetLeastLoaded();
  }

  function allowAgain(target: string): void {
    if (allowedAgain.has(target)) return;
    allowedAgain.add(target);
    for (const key of asked) {
      if (key.startsWith(`${target}/`)) asked.delete(key);
    }
  }

  function noteLoad(target: string, load: number): void {
    loads.set(target, load);
  }

  function getOtherLoads(target: string): readonly number[] {
    return [...loads]
      .filter(([id]) => id !== target)
      .map(([_id, load]) => load);
  }

  function tryGetLeastLoaded(): Member | undefined {
    if (loads.size < minRefusedLoads) return undefined;
    if (askedAgain >= maxAskedAgain) return undefined;
    askedAgain++;
    return host.members.getAvailableAgents(work.service)
      .filter(({ id }) => loads.has(id))
      .sort((left, right) => getLoad(left) - getLoad(right))[0];
  }

  function getLoad(member: Member): number {
    return loads.get(member.id) ?? Infinity;
  }

  function tryGetUnasked(): Member | undefined {
    if (asked.size >= maxTargets) return undefined;
    // The members are read again: they may have changed since the last ask.
    const ranked = rank().filter((member) => !asked.has(getKey(member)));
    const fresh = ranked.find((member) =>
      !host.refusals.isRemembered(member.id)
    );
    const next = fresh ?? tryGetRemembered(ranked);
    if (next !== undefined) asked.add(getKey(next));
    return next;
  }

  function rank(): readonly Member[] {
    const members = host.members.getAvailableAgents(work.service);
    return host.placement.rankTargets(getPlacementKey(work), members, {
      hint: work.lastPlace,
      limit: maxTargets * 2,
    });
  }

  function tryGetRemembered(ranked: readonly Member[]): Member | undefined {
    if (rememberedAsked >= maxRemembered) return undefined;
    rememberedAsked++;
    return ranked[0];
  }
}

/** Names one incarnation of a target. */
function getKey(member: Member): string {
  return `${member.id}/${member.incarnation}`;
}
