/**
 * Decides whether this router reads directory changes from the store itself.
 *
 * Load pattern: hundreds of routers hold the same directory, and each change,
 * and each watch that ends without one, would cost a store call from every one
 * of them. A few routers, chosen by rank, read the store and push changes to
 * the others. When they die, or the store turns them away, the next in rank
 * take over one after the other, so that an outage does not bring every router
 * to the store at once.
 */

import type { Placement } from "../placement/placement.ts";

/** What the choice needs from the process. */
export interface FeedChoiceHost {
  readonly selfId: string;
  readonly placement: Placement;
  /** Returns the ids of the registered routers; some may be gone. */
  getRouterIds(): Iterable<string>;
}

/** Which routers read the store. */
export interface FeedChoice {
  /** Records a digest of a peer and whether the peer reads the store. */
  recordPeer(id: string, options: { readonly isFeeding: boolean }): void;
  /** Returns true when this router should read the store. */
  isFeeder(): boolean;
  /** Returns the number of peers of higher rank that read the store. */
  countFeedersAhead(): number;
  /**
   * Returns when a peer last reported that it reads the store, on the steady
   * clock; negative infinity before the first report.
   */
  getLastFedAt(): number;
}

/**
 * Number of routers that read the store in a large fleet. More than one, as a
 * router does not notice at once that it is cut off from the store.
 */
const feederCount = 3;

/**
 * Number of routers up to which all read the store. A small fleet saves few
 * calls, and takes no risk that all of its readers are cut off together.
 */
const smallFleetSize = 8;

/** Time without a digest after which a peer counts as gone, in ms. */
const peerTimeoutMs = 1_000;

/**
 * Delay between two routers that take over, in milliseconds; longer than it
 * takes to read the store once and to tell the others.
 */
const takeOverDelayMs = 100;

/** Interval at which the ranks are computed again, in milliseconds. */
const rankingIntervalMs = 1_000;

/** Weight of each router; all are equal. */
const routerWeight = 100;

/** The last digest of a peer. */
interface PeerState {
  readonly at: number;
  readonly isFeeding: boolean;
}

/** Creates the choice of a router that knows no peers yet. */
export function createFeedChoice(host: FeedChoiceHost): FeedChoice {
  const peers = new Map<string, PeerState>();
  let ranking: readonly string[] = [];
  let rankedAt = Number.NEGATIVE_INFINITY;
  let lastFedAt = Number.NEGATIVE_INFINITY;
  let shortSince: number | undefined;

  return {
    recordPeer,
    isFeeder,
    countFeedersAhead: () => countPeersAhead(performance.now()).feeding,
    getLastFedAt: () => lastFedAt,
  };

  function recordPeer(
    id: string,
    { isFeeding }: { readonly isFeeding: boolean },
  ): void {
    const at = performance.now();
    peers.set(id, { at, isFeeding });
    if (isFeeding) lastFedAt = at;
  }

  function isFeeder(): boolean {
    const now = performance.now();
    const { feeding, idle } = countPeersAhead(now);
    if (ranking.length <= smallFleetSize) return true;
    if (feeding >= feederCount) {
      shortSince = undefined;
      return false;
    }
    shortSince ??= now;
    // The peers in the first ranks take over at once, if they can at all.
    if (feeding + idle < feederCount) return true;
    const turn = Math.max(0, idle - feederCount) + 1;
    return now - shortSince >= turn * takeOverDelayMs;
  }

  /** Counts the peers of higher rank whose digests arrive. */
  function countPeersAhead(now: number) {
    let feeding = 0;
    let idle = 0;
    for (const id of getRanking(now)) {
      if (id === host.selfId) break;
      const peer = peers.get(id);
      if (peer === undefined || now - peer.at > peerTimeoutMs) continue;
      if (peer.isFeeding) feeding++;
      else idle++;
    }
    return { feeding, idle };
  }

  function getRanking(now: number): readonly string[] {
    if (now - rankedAt < rankingIntervalMs) return ranking;
    rankedAt = now;
    const routers = [...host.getRouterIds()]
      .map((id) => ({ id, weight: routerWeight }));
    ranking = host.placement
      .rankTargets("feed", routers, { limit: routers.length })
      .map(({ id }) => id);
    for (const id of peers.keys()) {
      if (!ranking.includes(id)) peers.delete(id);
    }
    return ranking;
  }
}
