/**
 * Pushes directory changes that this router has read from the store to its
 * peers.
 *
 * Load pattern: several routers read the same changes at about the same time.
 * Those of lower rank wait a moment, and push only what no peer has pushed. A
 * large configuration comes with leaves and evacuations, which do not wait for it.
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
  /** Returns the newest position of a peer's urgent push. */
  getUrgentPosition(): StorePosition;
  /** Sends a part of a push to all peers. */
  sendFragment(fragment: PushFragment): void;
  /** Sends a digest with this router's position to all peers. */
  sendDigest(): void;
}

/** The pushes of one router. */
export interface ChangePushes {
  /**
   * Pushes all changes that were made after a position. Of those that are too
   * large together, the small ones are pushed and the position is told.
   */
  push(changes: readonly WatchEvent[], after: StorePosition): void;
  /** Pushes changes although others before them are not known here. */
  pushUrgent(changes: readonly WatchEvent[], era: number): void;
}

/** Largest value that is pushed beside one that is too large, in characters. */
const maxSmallChars = 4_096;

/** Creates the pushes of a router that has read nothing. */
export function createChangePushes(host: ChangePushesHost): ChangePushes {
  return { push, pushUrgent };

  function push(
    changes: readonly WatchEvent[],
    { era, revision: afterRevision }: StorePosition,
  ): void {
    const revision = getNewestRevision(changes);
    const position = { era, revision };
    sendInTurn(() => {
      if (comparePositions(host.getPushPosition(), position) >= 0) return;
      const fragments = splitPush({ afterRevision, position, changes });
      fragments.forEach(host.sendFragment);
      if (fragments.length === 0) {
        sendSmall(changes, era);
        // Peers learn from the revision that they have to read the others.
        host.sendDigest();
      }
      host.log.info("Changes were pushed", {
        ...{ ...position, afterRevision, changes: changes.length },
        fragments: fragments.length,
      });
    });
  }

  function pushUrgent(changes: readonly WatchEvent[], era: number): void {
    const position = { era, revision: getNewestRevision(changes) };
    sendInTurn(() => {
      if (comparePositions(host.getUrgentPosition(), position) >= 0) return;
      sendSmall(changes, era);
    });
  }

  function sendInTurn(send: () => void): void {
    setTimeout(send, host.countWatchersAhead() * pushDelayMs).unref();
  }

  /** Pushes the small ones of changes, so that receivers expect others. */
  function sendSmall(changes: readonly WatchEvent[], era: number): void {
    const small = changes.filter(({ value = "" }) =>
      value.length <= maxSmallChars
    );
    if (small.length === 0) return;
    const revision = getNewestRevision(small);
    const fragments = splitPush({
      // Changes after a revision that the receivers don't know leave a gap.
      afterRevision: revision,
      position: { era, revision },
      changes: small,
    });
    fragments.forEach(host.sendFragment);
    host.log.info("Small changes were pushed", {
      ...{ era, revision, changes: small.length, fragments: fragments.length },
    });
  }
}

function getNewestRevision(changes: readonly WatchEvent[]): number {
  return Math.max(...changes.map(({ revision }) => revision));
}
