/**
 * Pushes directory changes that this router has read from the store to its
 * peers.
 *
 * Load pattern: several routers read the same changes at about the same time.
 * Those of lower rank wait a moment, and push only what no peer has pushed.
 */

import type { WatchEvent } from "../../../types/platform.ts";
import {
  comparePositions,
  type StorePosition,
} from "../../../types/store_position.ts";
import type { Log } from "../../telemetry/log.ts";
import { type PushFragment, splitPush } from "./push_fragments.ts";

/**
 * Delay of a push per router of higher rank that reads the store too, in
 * milliseconds. All of them read a change at the same time; one push is enough.
 */
const pushDelayMs = 25;

/** What the pushes need from the process. */
export interface ChangePushesHost {
  readonly log: Pick<Log, "info">;
  /** Returns the number of peers of higher rank that read the store. */
  countWatchersAhead(): number;
  /** Returns the newest position that a peer has pushed. */
  getPushPosition(): StorePosition;
  /** Sends a part of a push to all peers. */
  sendFragment(fragment: PushFragment): void;
  /** Sends a digest with this router's position to all peers. */
  sendDigest(): void;
}

/** The pushes of one router. */
export interface ChangePushes {
  /** Pushes all changes that were made after a position. */
  push(changes: readonly WatchEvent[], after: StorePosition): void;
}

/** Creates the pushes of a router that has read nothing. */
export function createChangePushes(host: ChangePushesHost): ChangePushes {
  return { push };

  function push(
    changes: readonly WatchEvent[],
    { era, revision: afterRevision }: StorePosition,
  ): void {
    const revision = Math.max(...changes.map((change) => change.revision));
    const position = { era, revision };
    setTimeout(() => {
      if (comparePositions(host.getPushPosition(), position) >= 0) return;
      const fragments = splitPush({ afterRevision, position, changes });
      fragments.forEach(host.sendFragment);
      // Peers learn from the revision that they have to read the changes.
      if (fragments.length === 0) host.sendDigest();
      host.log.info("Changes were pushed", {
        ...{ ...position, afterRevision, changes: changes.length },
        fragments: fragments.length,
      });
    }, host.countWatchersAhead() * pushDelayMs).unref();
  }
}
