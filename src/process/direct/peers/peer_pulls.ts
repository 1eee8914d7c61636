/**
 * Decides when a router pulls missing changes or cached parts from a peer.
 *
 * Load pattern: the store rejects one router, or is unavailable while routers
 * restart. The first pull loads the RPC library, which blocks the event loop
 * about as long as the start of the process does, so a busy store is given time
 * to respond first.
 */

import type {
  DirectSettings,
  SocketAddress,
} from "../../../types/direct_settings.ts";
import type { RouterPeer } from "../../../types/direct_target.ts";
import {
  comparePositions,
  type StorePosition,
} from "../../../types/store_position.ts";
import type { Log } from "../../telemetry/log.ts";
import type { CachedPart } from "../placement/cached_parts.ts";
import type { DirectoryCopy } from "../directory/directory_replica.ts";

/** Time for which a peer may be ahead before its changes are pulled, in ms. */
const maxLagMs = 500;

/**
 * Delay after the start before the first copy is pulled from a peer whose
 * digests arrive, in milliseconds. A busy store has responded by then.
 */
const firstPullDelayMs = 400;

/**
 * Delay after the start before a pull from a seed, in milliseconds. Digests of
 * peers that know this router arrive earlier, and after a restart of all
 * routers the seeds have nothing to return.
 */
const seedPullDelayMs = 1_000;

/** Delay between pulls, in milliseconds. */
const pullCooldownMs = 400;

/** What the pulls need from the process. */
export interface PeerPullsHost {
  readonly settings: Pick<DirectSettings, "pull" | "seeds">;
  readonly log: Log;
  /** Returns true when changes cannot be read from the store. */
  needsPeers(): boolean;
  /** Returns true once this router has a configuration. */
  hasConfiguration(): boolean;
  /** Returns the position up to which this router knows all changes. */
  getPosition(): StorePosition;
  /** Applies what a peer knows beyond that position. */
  applyCopy(copy: DirectoryCopy): void;
  /** Returns what a peer knows; rejects when it is unresponsive. */
  pullDirectory(
    peer: SocketAddress,
    after: StorePosition,
  ): Promise<DirectoryCopy>;
  /** Returns a peer's cached parts; rejects when it is unresponsive. */
  pullCachedParts(peer: SocketAddress): Promise<{
    readonly parts: readonly CachedPart[];
    readonly isSettled: boolean;
  }>;
}

/** Pulls of one router from its peers. */
export interface PeerPulls {
  /** Reports that a peer knows a newer position. */
  reportPeerAhead(peer: SocketAddress): void;
  /**
   * Reports of how many entries a peer at this router's position or later knows
   * more than the store has, and of how many this router does.
   */
  reportLostEntries(
    peer: SocketAddress,
    counts: { readonly peer: number; readonly own: number },
  ): void;
  /** Reports that this router is up to date. */
  reportCaughtUp(): void;
  /** Pulls from a seed once `seedPullDelayMs` has passed. */
  tick(): void;
  /**
   * Returns the cached parts that a peer knows of; undefined when the peer is
   * unresponsive or still recovers.
   */
  tryPullCachedParts(
    peer: RouterPeer,
  ): Promise<readonly CachedPart[] | undefined>;
}

/** Creates the pulls of a router that has just started. */
export function createPeerPulls(host: PeerPullsHost): PeerPulls {
  const createdAt = performance.now();
  let isPulling = false;
  let nextSeed = 0;
  /** Since when a peer has been ahead of a position of this router. */
  let behind: {
    readonly since: number;
    readonly position: StorePosition;
  } | undefined;
  /** Largest number of lost entries that a peer has returned, and its era. */
  let pulledLost = { era: 0, entries: 0 };

  return {
    reportPeerAhead,
    reportLostEntries,
    reportCaughtUp: () => {
      behind = undefined;
    },
    tick,
    tryPullCachedParts,
  };

  function reportPeerAhead(peer: SocketAddress): void {
    const now = performance.now();
    const position = host.getPosition();
    if (!behind || comparePositions(position, behind.position) > 0) {
      behind = { since: now, position };
    }
    const mayPull = host.hasConfiguration()
      ? now - behind.since >= maxLagMs
      : host.needsPeers() && now - createdAt >= firstPullDelayMs;
    if (mayPull) void pull(peer);
  }

  function reportLostEntries(
    address: SocketAddress,
    { peer, own }: { readonly peer: number; readonly own: number },
  ): void {
    const { era } = host.getPosition();
    const pulled = pulledLost.era === era ? pulledLost.entries : 0;
    // Some cannot be applied, as the entry here has changed since.
    if (peer > Math.max(own, pulled)) void pull(address);
  }

  function tick(): void {
    if (host.hasConfiguration()) return;
    if (performance.now() - createdAt < seedPullDelayMs) return;
    if (host.needsPeers()) pullFromSeed();
  }

  function pullFromSeed(): void {
    const { pull: own, seeds } = host.settings;
    const others = seeds.filter(({ address, port }) =>
      address !== own.address || port !== own.port
    );
    const seed = others[nextSeed % Math.max(1, others.length)];
    if (seed === undefined || isPulling) return;
    nextSeed++;
    void pull(seed);
  }

  async function pull(peer: SocketAddress): Promise<void> {
    if (isPulling) return;
    isPulling = true;
    const after = host.getPosition();
    try {
      const copy = await host.pullDirectory(peer, after);
      host.applyCopy(copy);
      const lostEntries = copy.lostEntries.length;
      pulledLost = { era: copy.position.era, entries: lostEntries };
      host.log.info("Directory was pulled from a peer", {
        peer: peer.address,
        ...copy.position,
        fromEra: after.era,
        fromRevision: after.revision,
        changes: copy.changes.length,
        existingKeys: copy.keys?.length,
        lostEntries,
      });
    } catch (error) {
      host.log.warn("Peer gave no copy of the directory", {
        peer: peer.address,
        reason: getReason(error),
      });
    } finally {
      setTimeout(() => {
        isPulling = false;
      }, pullCooldownMs).unref();
    }
  }

  async function tryPullCachedParts(
    peer: RouterPeer,
  ): Promise<readonly CachedPart[] | undefined> {
    try {
      const { parts, isSettled } = await host.pullCachedParts({
        address: peer.address,
        port: peer.pullPort,
      });
      return isSettled ? parts : undefined;
    } catch (error) {
      host.log.warn("Pull of cached parts from a peer failed", {
        peer: peer.id,
        reason: getReason(error),
      });
      return undefined;
    }
  }
}

function getReason(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
