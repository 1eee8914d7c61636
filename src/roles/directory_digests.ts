/** Handles what digests tell of the directory: positions, pushes, lost entries. */

import type { CatchUp } from "../process/direct/directory/catch_up.ts";
import type { DirectoryPush } from "../process/direct/directory/directory_replica.ts";
import type { DirectorySync } from "../process/direct/directory/directory_sync.ts";
import type { ReceivedDigest } from "../process/direct/peers/peer_digests.ts";
import type { PeerPulls } from "../process/direct/peers/peer_pulls.ts";
import { createPushAssembly } from "../process/direct/peers/push_fragments.ts";
import type {
  DirectSettings,
  SocketAddress,
} from "../types/direct_settings.ts";
import type { RouterPeer } from "../types/direct_target.ts";
import {
  comparePositions,
  originPosition,
  type StorePosition,
} from "../types/store_position.ts";

/** What the handling needs from the process. */
export interface DirectoryDigestsHost {
  readonly settings: Pick<DirectSettings, "pull">;
  readonly routers: ReadonlyMap<string, RouterPeer>;
  readonly sync: Pick<
    DirectorySync,
    | "applyPush"
    | "isCatchingUp"
    | "recordPeerContact"
    | "recordPeerEra"
    | "recordPeerPosition"
    | "recordPeerRead"
  >;
  readonly pulls: Pick<PeerPulls, "reportLostEntries" | "reportPeerAhead">;
  readonly catchUp: Pick<CatchUp, "reportPeer">;
  /** Returns the position up to which all changes are known. */
  getPosition(): StorePosition;
  /** Returns the number of entries of which more is known than the store has. */
  countLostEntries(): number;
}

/** What a digest tells of the directory. */
type DirectoryDigest = Pick<
  ReceivedDigest,
  | "lostEntries"
  | "position"
  | "pushFragment"
  | "sender"
  | "storeAgeMs"
  | "storeContactMs"
  | "storeSilentMs"
>;

/** The directory as peers tell of it. */
export interface DirectoryDigests {
  /** Handles a digest that was received from an address. */
  handle(digest: DirectoryDigest, from: Pick<SocketAddress, "address">): void;
  /** Returns the newest position that a peer has pushed. */
  getPushPosition(): StorePosition;
  /** Returns the newest position of a push that left others to be read. */
  getUrgentPosition(): StorePosition;
}

/** Creates the handling of a router that has received nothing. */
export function createDirectoryDigests(
  host: DirectoryDigestsHost,
): DirectoryDigests {
  const { settings, routers, sync, pulls, catchUp } = host;
  const assembly = createPushAssembly();
  let peerPushPosition = originPosition;
  let urgentPosition = originPosition;

  return {
    handle: handleDirectory,
    getPushPosition: () => peerPushPosition,
    getUrgentPosition: () => urgentPosition,
  };

  function handleDirectory(
    digest: DirectoryDigest,
    from: Pick<SocketAddress, "address">,
  ): void {
    const { sender, pushFragment, position } = digest;
    sync.recordPeerEra(position.era);
    sync.recordPeerPosition(position);
    sync.recordPeerContact(sender, {
      contactMs: digest.storeContactMs,
      ageMs: digest.storeAgeMs ?? 0,
      silentMs: digest.storeSilentMs,
    });
    if (position.revision > 0) sync.recordPeerRead();
    if (pushFragment !== undefined) {
      // The sender's revision counts once its push is complete.
      return handlePush(assembly.add(sender, pushFragment));
    }
    // A peer that is not in the directory yet uses the same pull port as this
    // router.
    const port = routers.get(sender)?.pullPort ?? settings.pull.port;
    const peer = { address: from.address, port };
    handleLostEntries(digest, peer);
    if (!catchUp.reportPeer(position)) return;
    // A large response takes a slow link long; a pull would take its share.
    if (sync.isCatchingUp()) return;
    pulls.reportPeerAhead(peer);
  }

  function handleLostEntries(
    { position, lostEntries }: DirectoryDigest,
    peer: SocketAddress,
  ): void {
    const own = host.getPosition();
    // A peer that is behind may miss that an entry was written again.
    if (position.era !== own.era || position.revision < own.revision) return;
    if (lostEntries === 0 || own.revision === 0) return;
    const counts = { peer: lostEntries, own: host.countLostEntries() };
    pulls.reportLostEntries(peer, counts);
  }

  function handlePush(push: DirectoryPush | undefined): void {
    if (push === undefined) return;
    const { position } = push;
    if (push.afterRevision === position.revision) {
      urgentPosition = getNewer(position, urgentPosition);
    } else {
      peerPushPosition = getNewer(position, peerPushPosition);
    }
    if (position.era === host.getPosition().era) sync.applyPush(push);
    else catchUp.reportPeer(position);
  }
}

function getNewer(left: StorePosition, right: StorePosition): StorePosition {
  return comparePositions(left, right) > 0 ? left : right;
}
