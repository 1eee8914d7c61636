/**
 * Learns again what engines hold after this router has missed it.
 *
 * Load pattern: routers restart, one by one or all together, while chats go on;
 * what is not known to be held would be read again elsewhere, all at once. A
 * peer that has kept its knowledge is asked first. Where none has, each router
 * asks some of the engines, so that every engine is asked by one router, and
 * tells the others.
 */

import type { DirectTarget, RouterPeer } from "../../types/direct_target.ts";
import type { PromptPart } from "../../types/prompt.ts";
import type { Log } from "../telemetry/log.ts";
import type { Placement } from "../placement/placement.ts";
import type { CachedPart } from "./cached_parts.ts";

/** What recovery needs from outside. */
export interface CacheRecoveryHost {
  readonly placement: Placement;
  readonly log: Log;
  getPeers(): readonly RouterPeer[];
  /** Tells peers that this router recovers; settled ones answer at once. */
  announceRecovery(): void;
  /** True when the peer has told that it has nothing to recover. */
  isPeerSettled(id: string): boolean;
  /** Engines of all services that may receive work. */
  getEngines(): readonly DirectTarget[];
  /** What a peer knows; undefined when it is silent or has not recovered. */
  tryPullFromPeer(peer: RouterPeer): Promise<readonly CachedPart[] | undefined>;
  tryListParts(
    target: DirectTarget,
  ): Promise<readonly PromptPart[] | undefined>;
  /** Takes what a peer knows. */
  recordPeerParts(parts: readonly CachedPart[]): void;
  /** Takes what an engine holds; peers are to be told. */
  recordEngineParts(target: string, parts: readonly PromptPart[]): void;
}

/** Time in which settled peers answer, in milliseconds; many round trips. */
const peerResponseTimeoutMs = 60;

/** Peers that are asked at once. */
const maxPeersAsked = 3;

/**
 * Time after which what was learned from engines counts as whole, in ms: the
 * routers that started together have told their shares by then.
 */
const settleDelayMs = 1_500;

/** Time in which the other routers tell their shares, in milliseconds. */
const exchangeDelayMs = 150;

/** Longest time for which requests wait for a recovery, in milliseconds. */
const maxWaitMs = 500;

/** Weight of each router when engines are dealt out; all are alike. */
const routerWeight = 100;

/** The recovery of one process. */
export interface CacheRecovery {
  /** Runs once the directory is known. */
  recover(selfId: string): Promise<void>;
  /** True once there is nothing left to recover. */
  isSettled(): boolean;
  /** Resolves when placing by what is held makes sense; soon in any case. */
  wait(): Promise<void>;
}

/** Creates a recovery that has not run. */
export function createCacheRecovery(host: CacheRecoveryHost): CacheRecovery {
  let settledAt = Number.POSITIVE_INFINITY;
  let recovering: Promise<void> | undefined;

  return {
    recover,
    isSettled: () => performance.now() >= settledAt,
    wait: () => recovering ?? Promise.resolve(),
  };

  function recover(selfId: string): Promise<void> {
    const pulled = runRecovery(selfId);
    recovering = Promise.race([pulled, sleep(maxWaitMs)]).then(() => {
      recovering = undefined;
    });
    return pulled;
  }

  async function runRecovery(selfId: string): Promise<void> {
    host.announceRecovery();
    await sleep(peerResponseTimeoutMs);
    const peers = host.getPeers().filter(({ id }) =>
      id !== selfId && host.isPeerSettled(id)
    );
    const copy = await tryPullFromPeers(peers);
    if (copy !== undefined) {
      host.recordPeerParts(copy);
      settledAt = performance.now();
      host.log.info("Held parts were pulled", { parts: copy.length });
    } else {
      await queryEngines(selfId);
      settledAt = performance.now() + settleDelayMs;
      await sleep(exchangeDelayMs);
    }
  }

  async function tryPullFromPeers(
    peers: readonly RouterPeer[],
  ): Promise<readonly CachedPart[] | undefined> {
    const asked = host.placement.rankTargets(
      "recovery",
      peers.map((peer) => ({ id: peer.id, weight: routerWeight, peer })),
      { limit: maxPeersAsked },
    );
    const copies = await Promise.all(
      asked.map(({ peer }) => host.tryPullFromPeer(peer)),
    );
    return copies.find((copy) => copy !== undefined);
  }

  async function queryEngines(selfId: string): Promise<void> {
    const routers = host.getPeers().map(({ id }) => ({
      id,
      weight: routerWeight,
    }));
    const own = host.getEngines().filter(({ id }) => {
      const [assigned] = host.placement.rankTargets(id, routers, { limit: 1 });
      return assigned === undefined || assigned.id === selfId;
    });
    await Promise.all(own.map(async (target) => {
      const parts = await host.tryListParts(target);
      if (parts === undefined) return;
      host.recordEngineParts(target.id, parts);
      host.log.info("Engine told its cache", {
        target: target.id,
        parts: parts.length,
      });
    }));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
