/**
 * Decides when a router pulls what it misses from a peer.
 *
 * Load pattern: the store turns one router away, or is away while routers
 * restart. A pull loads the RPC library, which holds up everything else for as
 * long as a start takes, so a store that is only busy is given time first.
 */

import type {
  DirectSettings,
  SocketAddress,
} from "../../types/direct_settings.ts";
import type { RouterPeer } from "../../types/direct_target.ts";
import type { WatchEvent } from "../../types/platform.ts";
import type { Log } from "../telemetry/log.ts";
import type { CachedPart } from "./cached_parts.ts";

/** Time for which a peer may be ahead before its copy is pulled, in ms. */
const maxLagMs = 500;

/**
 * Time after the start at which a first copy is pulled from a peer that is
 * heard, in milliseconds. A store that was only busy has answered by then.
 */
const firstPullDelayMs = 400;

/**
 * Time after the start at which seeds are asked, in milliseconds. Peers that
 * know this router are heard before; after an outage of all, seeds know nothing.
 */
const seedPullDelayMs = 1_000;

/** Pause between pulls, in milliseconds. */
const pullCooldownMs = 400;

/** What pulling needs from the process. */
export interface PeerPullsHost {
  readonly settings: Pick<DirectSettings, "pull" | "seeds">;
  readonly log: Log;
  /** True when the store does not give what is missing. */
  needsPeers(): boolean;
  hasConfiguration(): boolean;
  /** Newest revision that this router knows. */
  getRevision(): number;
  /** Takes what a peer knows beyond that revision. */
  applyChanges(changes: readonly WatchEvent[]): void;
  /** Both reject when the peer is silent. */
  pullDirectory(
    peer: SocketAddress,
    afterRevision: number,
  ): Promise<readonly WatchEvent[]>;
  pullCachedParts(peer: SocketAddress): Promise<{
    readonly parts: readonly CachedPart[];
    readonly isSettled: boolean;
  }>;
}

/** The pulls of one router. */
export interface PeerPulls {
  /** A peer knows a newer revision. */
  reportPeerAhead(peer: SocketAddress): void;
  /** Nothing is missing any more. */
  reportCaughtUp(): void;
  /** Asks a seed when it is time. */
  tick(): void;
  /** Parts that a peer knows to be held; undefined when it does not know. */
  tryPullCachedParts(
    peer: RouterPeer,
  ): Promise<readonly CachedPart[] | undefined>;
}

/** Creates the pulls of a router that starts now. */
export function createPeerPulls(host: PeerPullsHost): PeerPulls {
  const createdAt = performance.now();
  let isPulling = false;
  let nextSeed = 0;
  let behindSince: number | undefined;

  return {
    reportPeerAhead,
    reportCaughtUp: () => {
      behindSince = undefined;
    },
    tick,
    tryPullCachedParts,
  };

  function reportPeerAhead(peer: SocketAddress): void {
    const now = performance.now();
    behindSince ??= now;
    const mayPull = host.hasConfiguration()
      ? now - behindSince >= maxLagMs
      : host.needsPeers() && now - createdAt >= firstPullDelayMs;
    if (mayPull) void pull(peer);
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
    const revision = host.getRevision();
    try {
      const changes = await host.pullDirectory(peer, revision);
      host.applyChanges(changes);
      host.log.info("Directory was pulled from a peer", {
        peer: peer.address,
        fromRevision: revision,
        changes: changes.length,
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
      host.log.warn("Peer gave no copy of held parts", {
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
