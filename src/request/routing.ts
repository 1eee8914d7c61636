/**
 * Chooses the targets of one request one after the other, in three passes:
 *
 * 1. a returning chat asks the first ranks whether they hold its context;
 * 2. any target is asked by rank, those that have just refused others last;
 * 3. those at or below the mean load of all that refused are asked again, with
 *    the loads of the others, since a mean that is behind makes all refuse;
 *    what gave no answer to others shortly before comes after that.
 */

import type { Placement } from "../process/placement/placement.ts";
import type { RefusalCache } from "../process/placement/refusal_cache.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { Member } from "../types/member.ts";
import type { MemberView } from "../types/view.ts";
import type { Work } from "../types/work.ts";

/** Targets that one request asks whether they hold its context. */
const maxHoldersAsked = 4;

/** Targets that one request asks to take it, whatever they hold. */
const maxTargets = 8;

/** Targets asked although they have just refused another request. */
const maxRemembered = 3;

/** Loads that make another ask useful. */
const minRefusedLoads = 2;

/**
 * Wait before the first such ask, in milliseconds; each further one waits
 * longer, so that requests that came together do not ask together again.
 */
const firstPauseMs = 4;

/** Asks of targets that have refused the same request before. */
const maxAskedAgain = 6;

/** What routing needs from outside. */
export interface RoutingHost {
  readonly members: Pick<MemberView, "getAvailableAgents">;
  readonly placement: Placement;
  readonly refusals: RefusalCache;
}

/** One target to ask. */
export interface RoutingChoice {
  readonly member: Member;
  /** The target should refuse unless it holds the chat's context. */
  readonly onlyIfHeld: boolean;
  /** Loads of targets that refused for load, in the order of asking. */
  readonly observedLoads: readonly number[];
  /** Targets that gave this router no answer just before. */
  readonly silentTargets: number;
  /** Time to wait before the target is asked, in milliseconds. */
  readonly pauseMs: number;
}

/** What a target answered that did not take the request. */
export interface RefusalNote {
  readonly code: DiagnosticCode;
  /** Load of the target, undefined when it was not reached. */
  readonly load: number | undefined;
}

/** The choice of targets for one request. */
export interface Routing {
  /** The next target to ask; undefined when there is none left. */
  tryGetNext(): RoutingChoice | undefined;
  /** Tells how the target that was returned last refused. */
  noteRefusal(note: RefusalNote): void;
}

/** Returns the key by which a request is placed. */
export function getPlacementKey(work: Work): string {
  const name = work.conversation || work.requestId;
  return `${work.workspace}/${name}`;
}

/** True when an earlier turn of the chat has run somewhere. */
export function isReturningChat(work: Work): boolean {
  return work.kind === "chat" && work.conversation !== "" &&
    work.messageCount > 1;
}

/** Creates the choice for one request. */
export function createRouting(host: RoutingHost, work: Work): Routing {
  const askedForContext = new Set<string>();
  const askedForAny = new Set<string>();
  const fullLoads = new Map<string, number>();
  const observedLoads: number[] = [];
  const allowedAgain = new Set<string>();
  let rememberedAsked = 0;
  let askedAgain = 0;
  let last: RoutingChoice | undefined;

  return { tryGetNext, noteRefusal };

  function tryGetNext(): RoutingChoice | undefined {
    // The members are read again: they may have changed since the last ask.
    const ranked = rank();
    last = tryGetHolder(ranked) ?? tryGetAny(ranked) ??
      tryGetBelowMean(ranked) ?? tryGetUnreachable(ranked);
    return last;
  }

  function rank(): readonly Member[] {
    const members = host.members.getAvailableAgents(work.service);
    return host.placement.rankTargets(getPlacementKey(work), members, {
      hint: work.hintedTargetId,
      limit: maxTargets * 2,
    });
  }

  function tryGetHolder(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (!isReturningChat(work) || askedForAny.size > 0) return undefined;
    if (askedForContext.size >= maxHoldersAsked) return undefined;
    // A target that refused others for load may still hold this context.
    const member = ranked.slice(0, maxHoldersAsked).find((candidate) =>
      !askedForContext.has(getKey(candidate)) &&
      !host.refusals.isUnreachable(candidate.id)
    );
    if (member === undefined) return undefined;
    askedForContext.add(getKey(member));
    return {
      member,
      onlyIfHeld: true,
      observedLoads: [],
      silentTargets: 0,
      pauseMs: 0,
    };
  }

  function tryGetAny(ranked: readonly Member[]): RoutingChoice | undefined {
    if (askedForAny.size >= maxTargets) return undefined;
    const left = getUnasked(ranked)
      .filter((member) => !host.refusals.isUnreachable(member.id));
    const fresh = left.find((member) =>
      !host.refusals.isDeprioritized(member.id)
    );
    return chooseAny(fresh ?? tryGetRemembered(left));
  }

  /** Targets that gave no answer cost a wait, so they come last of all. */
  function tryGetUnreachable(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (askedForAny.size >= maxTargets) return undefined;
    return chooseAny(tryGetRemembered(getUnasked(ranked)));
  }

  function getUnasked(ranked: readonly Member[]): readonly Member[] {
    return ranked.filter((member) =>
      !askedForAny.has(getKey(member)) && !fullLoads.has(getKey(member))
    );
  }

  function chooseAny(member: Member | undefined): RoutingChoice | undefined {
    if (member === undefined) return undefined;
    askedForAny.add(getKey(member));
    return {
      member,
      onlyIfHeld: false,
      observedLoads: [...observedLoads],
      silentTargets: countSilent(),
      pauseMs: 0,
    };
  }

  function tryGetRemembered(left: readonly Member[]): Member | undefined {
    if (left.length === 0 || rememberedAsked >= maxRemembered) {
      return undefined;
    }
    rememberedAsked++;
    return left[0];
  }

  function tryGetBelowMean(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (fullLoads.size < minRefusedLoads) return undefined;
    if (askedAgain >= maxAskedAgain) return undefined;
    askedAgain++;
    const mean = getMeanFullLoad();
    // Requests that came together ask in different orders of rank, so that
    // they do not all ask the same target.
    const member = ranked.find((candidate) => getFullLoad(candidate) <= mean);
    if (member === undefined) return undefined;
    const others = [...fullLoads]
      .filter(([key]) => key !== getKey(member))
      .map(([, load]) => load);
    return {
      member,
      onlyIfHeld: false,
      observedLoads: others,
      silentTargets: countSilent(),
      pauseMs: firstPauseMs * askedAgain,
    };
  }

  function countSilent(): number {
    return host.members.getAvailableAgents(work.service)
      .filter(({ id }) => host.refusals.isUnreachable(id)).length;
  }

  function getFullLoad(member: Member): number {
    return fullLoads.get(getKey(member)) ?? Number.POSITIVE_INFINITY;
  }

  function getMeanFullLoad(): number {
    const sum = [...fullLoads.values()].reduce((all, load) => all + load, 0);
    return sum / fullLoads.size;
  }

  function noteRefusal({ code, load }: RefusalNote): void {
    if (code === "attempt_settled") allowAgain();
    if (last === undefined || load === undefined) return;
    if (code !== "target_full") return;
    fullLoads.set(getKey(last.member), load);
    if (!last.onlyIfHeld) observedLoads.push(load);
  }

  /** The last target was not heard and did not start; ask it once more. */
  function allowAgain(): void {
    if (last === undefined || last.onlyIfHeld) return;
    const key = getKey(last.member);
    if (allowedAgain.has(key)) return;
    allowedAgain.add(key);
    askedForAny.delete(key);
  }
}

/** Names one incarnation of a target. */
function getKey(member: Member): string {
  return `${member.id}/${member.incarnation}`;
}
