/**
 * Chooses the targets of one request one after the other, in three passes:
 *
 * 1. A returning chat first tries the targets of the highest ranks, which
 *    accept it only if they have its context cached.
 * 2. Any target is tried in order of rank; those that refused other requests
 *    shortly before come last.
 * 3. Targets whose load is at or below the mean of all that refused are tried
 *    again and are sent the loads of the others, because all targets refuse
 *    when their estimates of the mean load are out of date. Targets that
 *    recently did not respond come after that.
 */

import type { Placement } from "../process/placement/placement.ts";
import type { RefusalCache } from "../process/placement/refusal_cache.ts";
import type { DiagnosticCode } from "../types/diagnostics.ts";
import type { Member } from "../types/member.ts";
import type { MemberView } from "../types/view.ts";
import type { Work } from "../types/work.ts";

/**
 * Maximum number of targets that one request tries only for a cached context.
 */
const maxContextTargets = 4;

/**
 * Maximum number of targets that one request tries whether or not they have a
 * context cached.
 */
const maxTargets = 8;

/**
 * Maximum number of targets tried although they recently refused or did not
 * respond.
 */
const maxRecentRefusers = 3;

/** Minimum number of reported loads for a retry at or below their mean. */
const minLoadsForMean = 2;

/**
 * Delay before the first retry at or below the mean, in milliseconds. Each
 * further retry waits longer, so that requests that arrived together are not
 * retried together.
 */
const firstLoadRetryDelayMs = 4;

/** Maximum number of retries at targets that refused this request for load. */
const maxLoadRetries = 6;

/** What routing needs from the process. */
export interface RoutingHost {
  readonly members: Pick<MemberView, "getAvailableAgents">;
  readonly placement: Placement;
  readonly refusals: RefusalCache;
}

/** The target of the next attempt. */
export interface RoutingChoice {
  readonly member: Member;
  /**
   * True when the target must refuse unless it has the chat's context cached.
   */
  readonly onlyIfHeld: boolean;
  /**
   * Loads of other targets that refused this request for load, in the order in
   * which they were tried; empty when `onlyIfHeld` is true.
   */
  readonly observedLoads: readonly number[];
  /** Number of targets that recently did not respond to this router. */
  readonly silentTargets: number;
  /** Delay before the attempt is sent, in milliseconds. */
  readonly delayMs: number;
}

/** The refusal of a target, or the reason why it was not reached. */
export interface TargetRefusal {
  readonly code: DiagnosticCode;
  /** Load of the target; undefined when it was not reached. */
  readonly load: number | undefined;
}

/** Chooses targets for one request. */
export interface Routing {
  /** Returns the next target to try, or undefined when there is none left. */
  tryGetNext(): RoutingChoice | undefined;
  /**
   * Returns true when a target is left that was not asked yet and that recently
   * responded.
   */
  hasNext(): boolean;
  /** Records the refusal of the target that was returned last. */
  recordRefusal(refusal: TargetRefusal): void;
}

/** Returns the key by which a request is placed. */
export function getPlacementKey(work: Work): string {
  const name = work.conversation || work.requestId;
  return `${work.workspace}/${name}`;
}

/** Returns true when an earlier turn of the chat has already run. */
export function isReturningChat(work: Work): boolean {
  return work.kind === "chat" && work.conversation !== "" &&
    work.messageCount > 1;
}

/** Creates the routing of one request. */
export function createRouting(host: RoutingHost, work: Work): Routing {
  /** Targets that were tried only for a cached context. */
  const contextTargets = new Set<string>();
  /** Targets that were tried whether or not they have the context. */
  const attemptedTargets = new Set<string>();
  /** Loads of all targets that refused this request for load. */
  const refusedLoads = new Map<string, number>();
  const observedLoads: number[] = [];
  /** Targets that were allowed one more attempt. */
  const extraAttempts = new Set<string>();
  let recentRefuserAttempts = 0;
  let loadRetries = 0;
  let lastChoice: RoutingChoice | undefined;

  return { tryGetNext, hasNext, recordRefusal };

  function tryGetNext(): RoutingChoice | undefined {
    // The members may have changed since the last attempt.
    const ranked = rankMembers();
    lastChoice = tryGetContextTarget(ranked) ?? tryGetAnyTarget(ranked) ??
      tryGetBelowMean(ranked) ?? tryGetUnreachable(ranked);
    return lastChoice;
  }

  function hasNext(): boolean {
    if (attemptedTargets.size >= maxTargets) return false;
    return getUnattempted(rankMembers()).some(({ id }) =>
      id !== lastChoice?.member.id && !host.refusals.isUnreachable(id) &&
      (recentRefuserAttempts < maxRecentRefusers ||
        !host.refusals.isDeprioritized(id))
    );
  }

  function rankMembers(): readonly Member[] {
    const members = host.members.getAvailableAgents(work.service);
    return host.placement.rankTargets(getPlacementKey(work), members, {
      hint: work.hintedTargetId,
      limit: maxTargets * 2,
    });
  }

  function tryGetContextTarget(
    ranked: readonly Member[],
  ): RoutingChoice | undefined {
    if (!isReturningChat(work) || attemptedTargets.size > 0) return undefined;
    if (contextTargets.size >= maxContextTargets) return undefined;
    // A target that refused other requests for load may still have this
    // context.
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
      !host.refusals.isDeprioritized(member.id)
    );
    return createUnconditionalChoice(
      preferred ?? tryTakeRecentRefuser(candidates),
    );
  }

  /**
   * Unresponsive targets come last, because each attempt may cost a timeout.
   */
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
    // Requests that arrived together rank the targets differently, so they do
    // not all choose the same one.
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

  /**
   * Allows one more attempt at the last target, which did not respond and is
   * proven not to have started the request.
   */
  function allowOneMoreAttempt(): void {
    if (lastChoice === undefined || lastChoice.onlyIfHeld) return;
    const key = getIncarnationKey(lastChoice.member);
    if (extraAttempts.has(key)) return;
    extraAttempts.add(key);
    attemptedTargets.delete(key);
  }
}

/** Returns a key for one incarnation of a target. */
function getIncarnationKey(member: Member): string {
  return `${member.id}/${member.incarnation}`;
}
