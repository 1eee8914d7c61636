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
import type { RefusalMemory } from "../process/placement/refusal_memory.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { Member } from "../types/member.ts";
import type { MemberView } from "../types/view.ts";
import type { Work } from "../types/work.ts";

/** Targets that one request asks whether they hold its context. */
const maxContextTargets = 4;

/** Targets that one request asks to take it, whatever they hold. */
const maxTargets = 8;

/** Targets asked although they have just refused another request. */
const maxRecentRefusers = 3;

/** Loads that make another ask useful. */
const minLoadsForMean = 2;

/**
 * Wait before the first such ask, in milliseconds; each further one waits
 * longer, so that requests that came together do not ask together again.
 */
const firstLoadRetryDelayMs = 4;

/** Asks of targets that have refused the same request before. */
const maxLoadRetries = 6;

/** What routing needs from outside. */
export interface RoutingHost {
  readonly members: Pick<MemberView, "getAvailableAgents">;
  readonly placement: Placement;
  readonly refusals: RefusalMemory;
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
  readonly delayMs: number;
}

/** What a target answered that did not take the request. */
export interface TargetRefusal {
  readonly code: DiagnosticCode;
  /** Load of the target, undefined when it was not reached. */
  readonly load: number | undefined;
}

/** The choice of targets for one request. */
export interface Routing {
  /** The next target to ask; undefined when there is none left. */
  tryGetNext(): RoutingChoice | undefined;
  /** Tells how the target that was returned last refused. */
  recordRefusal(refusal: TargetRefusal): void;
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
  const contextTargets = new Set<string>();
  const attemptedTargets = new Set<string>();
  const refusedLoads = new Map<string, number>();
  const observedLoads: number[] = [];
  const extraAttempts = new Set<string>();
  let recentRefuserAttempts = 0;
  let loadRetries = 0;
  let lastChoice: RoutingChoice | undefined;

  return { tryGetNext, recordRefusal };

  function tryGetNext(): RoutingChoice | undefined {
    // The members are read again: they may have changed since the last ask.
    const ranked = rankMembers();
    lastChoice = tryGetContextTarget(ranked) ?? tryGetAnyTarget(ranked) ??
      tryGetBelowMean(ranked) ?? tryGetUnreachable(ranked);
    return lastChoice;
  }

  function rankMembers(): readonly Member[] {
    const members = host.members.getAvailableAgents(work.service);
    return host.placement.rankTargets(getPlacementKey(work), members, {
      hint: work.lastPlace,
      limit: maxTargets * 2,
    });
  }

  function tryGetContextTarget(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (!isReturningChat(work) || attemptedTargets.size > 0) return undefined;
    if (contextTargets.size >= maxContextTargets) return undefined;
    // A target that refused others for load may still hold this context.
    const member = ranked.slice(0, maxContextTargets).find((candidate) =>
      !contextTargets.has(getIncarnationKey(candidate)) &&
      !host.refusals.isUnreachable(candidate.id)
    );
    if (member === undefined) return undefined;
    contextTargets.add(getIncarnationKey(member));
    return {
      member,
      onlyIfHeld: true,
      observedLoads: [],
      silentTargets: 0,
      delayMs: 0,
    };
  }

  function tryGetAnyTarget(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (attemptedTargets.size >= maxTargets) return undefined;
    const candidates = getUnattempted(ranked)
      .filter((member) => !host.refusals.isUnreachable(member.id));
    const preferred = candidates.find((member) =>
      !host.refusals.isRemembered(member.id)
    );
    return createUnconditionalChoice(
      preferred ?? tryTakeRecentRefuser(candidates),
    );
  }

  /** Targets that gave no answer cost a wait, so they come last of all. */
  function tryGetUnreachable(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (attemptedTargets.size >= maxTargets) return undefined;
    return createUnconditionalChoice(
      tryTakeRecentRefuser(getUnattempted(ranked)),
    );
  }

  function getUnattempted(ranked: readonly Member[]): readonly Member[] {
    return ranked.filter((member) =>
      !attemptedTargets.has(getIncarnationKey(member)) &&
      !refusedLoads.has(getIncarnationKey(member))
    );
  }

  function createUnconditionalChoice(
    member: Member | undefined,
  ): RoutingChoice | undefined {
    if (member === undefined) return undefined;
    attemptedTargets.add(getIncarnationKey(member));
    return {
      member,
      onlyIfHeld: false,
      observedLoads: [...observedLoads],
      silentTargets: countUnresponsive(),
      delayMs: 0,
    };
  }

  function tryTakeRecentRefuser(
    candidates: readonly Member[],
  ): Member | undefined {
    if (candidates.length === 0 || recentRefuserAttempts >= maxRecentRefusers) {
      return undefined;
    }
    recentRefuserAttempts++;
    return candidates[0];
  }

  function tryGetBelowMean(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (refusedLoads.size < minLoadsForMean) return undefined;
    if (loadRetries >= maxLoadRetries) return undefined;
    loadRetries++;
    const mean = getMeanRefusedLoad();
    // Requests that came together ask in different orders of rank, so that
    // they do not all ask the same target.
    const member = ranked.find((candidate) =>
      getRefusedLoad(candidate) <= mean
    );
    if (member === undefined) return undefined;
    const others = [...refusedLoads]
      .filter(([key]) => key !== getIncarnationKey(member))
      .map(([, load]) => load);
    return {
      member,
      onlyIfHeld: false,
      observedLoads: others,
      silentTargets: countUnresponsive(),
      delayMs: firstLoadRetryDelayMs * loadRetries,
    };
  }

  function countUnresponsive(): number {
    return host.members.getAvailableAgents(work.service)
      .filter(({ id }) => host.refusals.isUnreachable(id)).length;
  }

  function getRefusedLoad(member: Member): number {
    return refusedLoads.get(getIncarnationKey(member)) ??
      Number.POSITIVE_INFINITY;
  }

  function getMeanRefusedLoad(): number {
    const sum = [...refusedLoads.values()].reduce((all, load) => all + load, 0);
    return sum / refusedLoads.size;
  }

  function recordRefusal({ code, load }: TargetRefusal): void {
    if (code === "attempt_settled") allowOneMoreAttempt();
    if (lastChoice === undefined || load === undefined) return;
    if (code !== "target_full") return;
    refusedLoads.set(getIncarnationKey(lastChoice.member), load);
    if (!lastChoice.onlyIfHeld) observedLoads.push(load);
  }

  /** The last target was not heard and did not start; ask it once more. */
  function allowOneMoreAttempt(): void {
    if (lastChoice === undefined || lastChoice.onlyIfHeld) return;
    const key = getIncarnationKey(lastChoice.member);
    if (extraAttempts.has(key)) return;
    extraAttempts.add(key);
    attemptedTargets.delete(key);
  }
}

/** Names one incarnation of a target. */
function getIncarnationKey(member: Member): string {
  return `${member.id}/${member.incarnation}`;
}
