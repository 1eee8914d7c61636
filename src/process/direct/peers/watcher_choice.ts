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

import type { Placement } from "../../placement/placement.ts";

/** What the choice needs from the process. */
export interface WatcherChoiceHost {
  readonly selfId: string;
  readonly placement: Placement;
  /** Returns the ids of the registered routers; some may be gone. */
  getRouterIds(): Iterable<string>;
}

/** Which routers read the store. */
export interface WatcherChoice {
  /** Records a digest of a peer and whether the peer reads the store. */
  recordPeer(id: string, options: PeerReads): void;
  /** Returns true when this router should read the store. */
  shouldWatch(): boolean;
  /** Returns the number of peers of higher rank that read the store. */
  countWatchersAhead(): number;
  /**
   * Returns when a peer last read the store, by the reports of those that do, on
   * the steady clock; negative infinity before the first report.
   */
  getLastWatchedAt(): number;
}

/** What a digest tells of its sender's reads. */
export interface PeerReads {
  readonly isWatching: boolean;
  /** Time since the store last responded to the peer, in milliseconds. */
  readonly storeAgeMs: number;
}

/**
 * Number of routers that read the store in a large fleet. More than one, as a
 * router does not notice at once that it is cut off from the store.
 */
const watcherCount = 3;

/**
 * Number of routers up to which all read the store. A small fleet saves few
 * calls, and takes no risk that all of its readers are cut off together.
 */
const smallFleetSize = 8;

/** Time without a digest after which a watcher counts as gone, in ms. */
const watcherTimeoutMs = 1_000;

/**
 * Time without a digest after which any other peer counts as gone, in
 * milliseconds; in a large fleet these report less often.
 */
const idleTimeoutMs = 4_000;

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
  readonly isWatching: boolean;
}

/** Creates the choice of a router that knows no peers yet. */
export function createWatcherChoice(host: WatcherChoiceHost): WatcherChoice {
  const peers = new Map<string, PeerState>();
  let ranking: readonly string[] = [];
  let rankedAt = Number.NEGATIVE_INFINITY;
  let lastHeardAt = Number.NEGATIVE_INFINITY;
  let lastWatchedAt = Number.NEGATIVE_INFINITY;
  let shortSince: number | undefined;

  return {
    recordPeer,
    shouldWatch,
    countWatchersAhead: () => countPeersAhead(performance.now()).watching,
    getLastWatchedAt: () => lastWatchedAt,
  };

  function recordPeer(
    id: string,
    { isWatching, storeAgeMs }: PeerReads,
  ): void {
    const at = performance.now();
    peers.set(id, { at, isWatching });
    lastHeardAt = at;
    if (!isWatching) return;
    lastWatchedAt = Math.max(lastWatchedAt, at - storeAgeMs);
  }

  function shouldWatch(): boolean {
    const now = performance.now();
    const { watching, idle } = countPeersAhead(now);
    if (ranking.length <= smallFleetSize) return true;
    if (watching >= watcherCount) {
      shortSince = undefined;
      return false;
    }
    // A router that is cut off from all peers depends on nobody's turn.
    if (now - lastHeardAt > watcherTimeoutMs) return true;
    shortSince ??= now;
    // The peers in the first ranks take over at once, if they can at all.
    if (watching + idle < watcherCount) return true;
    const turn = Math.max(0, idle - watcherCount) + 1;
    return now - shortSince >= turn * takeOverDelayMs;
  }

  /** Counts the peers of higher rank whose digests arrive. */
  function countPeersAhead(now: number) {
    let watching = 0;
    let idle = 0;
    for (const id of getRanking(now)) {
      if (id === host.selfId) break;
      const peer = peers.get(id);
      if (peer === undefined) continue;
      const silentMs = now - peer.at;
      if (peer.isWatching && silentMs <= watcherTimeoutMs) watching++;
      else if (!peer.isWatching && silentMs <= idleTimeoutMs) idle++;
    }
    return { watching, idle };
  }

  function getRanking(now: number): readonly string[] {
    if (now - rankedAt < rankingIntervalMs) return ranking;
    rankedAt = now;
    const ids = new Set(host.getRouterIds());
    const routers = [...ids].map((id) => ({ id, weight: routerWeight }));
    ranking = host.placement
      .rankTargets("watch", routers, { limit: routers.length })
      .map(({ id }) => id);
    for (const id of peers.keys()) {
      if (!ids.has(id)) peers.delete(id);
    }
    return ranking;
  }
}
