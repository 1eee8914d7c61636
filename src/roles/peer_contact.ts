/** Tracks which peers were heard of, and makes up for those that were not. */

import type { CachedParts } from "../process/direct/placement/cached_parts.ts";
import type { PeerPulls } from "../process/direct/peers/peer_pulls.ts";
import type { RouterRoster } from "../process/direct/peers/router_roster.ts";
import type { RouterPeer } from "../types/direct_target.ts";

/**
 * Idle time of a peer after which updates may have been missed, in
 * milliseconds; above the interval of digests in a fleet of hundreds.
 */
const peerIdleTimeoutMs = 2_500;

/** The contact with all peers. */
export interface PeerContact {
  /**
   * Records that a peer sent a digest. After an idle time, pulls the cached
   * parts that the peer may have reported meanwhile. A router that was paused
   * itself hears all peers again at once, and one copy is enough.
   */
  record(sender: string): void;
  /** Records whether the sender of a digest has nothing to recover. */
  recordSettled(sender: string, isSettled: boolean): void;
  /** Returns true when the peer's latest digest reports it as settled. */
  isSettled(id: string): boolean;
  /** Returns true without peers, or when one was heard of lately. */
  isInContact(): boolean;
  /** Returns true when the peer was heard of since this router started. */
  isHeard(id: string): boolean;
}

/** Creates the contact of a router that has heard of no peer. */
export function createPeerContact(
  host: {
    readonly routers: ReadonlyMap<string, RouterPeer>;
    readonly roster: Pick<RouterRoster, "recordHeard">;
    readonly cachedParts: Pick<CachedParts, "recordPart">;
    readonly tryPullCachedParts: PeerPulls["tryPullCachedParts"];
  },
): PeerContact {
  const { routers } = host;
  /** Times of the peers' latest digests, on the steady clock. */
  const lastHeardAt = new Map<string, number>();
  /** Peers whose latest digest reports that they have nothing to recover. */
  const settled = new Set<string>();
  let isPullingParts = false;

  return {
    record,
    recordSettled: (sender, isSettled) => {
      if (isSettled) settled.add(sender);
      else settled.delete(sender);
    },
    isSettled: (id) => settled.has(id),
    isInContact,
    isHeard: (id) => lastHeardAt.has(id),
  };

  function record(sender: string): void {
    const now = performance.now();
    const previouslyHeardAt = lastHeardAt.get(sender);
    if (previouslyHeardAt === undefined) forgetGone(now);
    lastHeardAt.set(sender, now);
    host.roster.recordHeard(sender);
    if (
      previouslyHeardAt === undefined ||
      now - previouslyHeardAt < peerIdleTimeoutMs
    ) return;
    const peer = routers.get(sender);
    if (peer === undefined || isPullingParts) return;
    isPullingParts = true;
    void host.tryPullCachedParts(peer).then((parts) => {
      isPullingParts = false;
      parts?.forEach(({ target, part }) =>
        host.cachedParts.recordPart(target, part)
      );
    });
  }

  /** Ids of routers that are replaced would otherwise be kept for ever. */
  function forgetGone(now: number): void {
    for (const [id, heardAt] of lastHeardAt) {
      if (routers.has(id) || now - heardAt < peerIdleTimeoutMs) continue;
      lastHeardAt.delete(id);
      settled.delete(id);
    }
  }

  function isInContact(): boolean {
    const since = performance.now() - peerIdleTimeoutMs;
    return routers.size <= 1 ||
      [...lastHeardAt.values()].some((heardAt) => heardAt >= since);
  }
}
