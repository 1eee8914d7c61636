/**
 * Decides when a router reads from the store what its peers know and it does
 * not.
 *
 * Load pattern: a push is lost, or is too large, or the store returns from an
 * older copy, so that hundreds of routers are behind at the same moment. Each
 * waits a random time, in which the pushes of other peers may arrive, and pauses
 * after a read, so that a series of changes takes few store calls. A claim that
 * the store has contradicted is not checked again for some seconds.
 */

import {
  comparePositions,
  type StorePosition,
} from "../../../types/store_position.ts";

/**
 * Delay before a router reads missed changes from the store, in milliseconds:
 * a minimum, in which pushes of other peers may arrive, and random jitter, so
 * that not all routers call the store at the same time.
 */
const catchUpDelayMs = { min: 60, jitter: 250 } as const;

/**
 * Pause after a catch-up, in milliseconds; a series of changes then takes few
 * store calls.
 */
const catchUpPauseMs = 300;

/**
 * Time for which the claim of a newer era is not checked again after the store
 * has contradicted it, in milliseconds.
 */
const denialMs = 10_000;

/** What the decision needs from the process. */
export interface CatchUpHost {
  /** Returns the position up to which all changes are known. */
  getPosition(): StorePosition;
  /** Returns true while this router watches the store and it responds. */
  isWatching(): boolean;
  /** Reads from the store; returns false when it is unavailable. */
  catchUp(era: number): Promise<boolean>;
  random(): number;
}

/** The reads of one router after reports of its peers. */
export interface CatchUp {
  /**
   * Reports a peer's position; returns true when the peer has changes that this
   * router could pull. Era 0 of a peer that names none is not comparable with a
   * later era: it is checked once for each revision and never pulled.
   */
  reportPeer(peer: StorePosition): boolean;
  stop(): void;
}

/** Creates the decision of a router that knows nothing yet. */
export function createCatchUp(host: CatchUpHost): CatchUp {
  let timer: NodeJS.Timeout | undefined;
  let isReading = false;
  /** Time until which no further catch-up begins, on the steady clock. */
  let pausedUntil = 0;
  /** Newest revisions of an unknown era that were reported and checked. */
  let reportedUnknown = 0;
  let checkedUnknown = 0;
  /** Newest era that was reported, and the one that the store denied. */
  let reportedEra = 0;
  let denied = { era: 0, until: 0 };

  return { reportPeer, stop: () => clearTimeout(timer) };

  function reportPeer(peer: StorePosition): boolean {
    const own = host.getPosition();
    if (peer.era === 0 && own.era > 0) {
      reportUnknown(peer.revision);
      return false;
    }
    if (comparePositions(peer, own) <= 0) return false;
    if (peer.era > own.era && isDenied(peer.era)) return false;
    reportedEra = Math.max(reportedEra, peer.era);
    schedule();
    return true;
  }

  function isDenied(era: number): boolean {
    return era <= denied.era && performance.now() < denied.until;
  }

  function reportUnknown(revision: number): void {
    if (revision <= host.getPosition().revision) return;
    if (revision <= checkedUnknown) return;
    reportedUnknown = Math.max(reportedUnknown, revision);
    schedule();
  }

  /** Reads missed changes from the store, unless a push brings them sooner. */
  function schedule(): void {
    const before = host.getPosition();
    if (before.revision === 0 || host.isWatching()) return;
    if (timer !== undefined || isReading) return;
    const { min, jitter } = catchUpDelayMs;
    const pauseMs = Math.max(0, pausedUntil - performance.now());
    timer = setTimeout(() => {
      timer = undefined;
      const hasAdvanced = comparePositions(host.getPosition(), before) !== 0;
      if (!hasAdvanced) void run();
    }, pauseMs + min + host.random() * jitter).unref();
  }

  async function run(): Promise<void> {
    const era = reportedEra;
    const unknown = reportedUnknown;
    isReading = true;
    const isDone = await host.catchUp(era).finally(() => {
      isReading = false;
    });
    pausedUntil = performance.now() + catchUpPauseMs;
    if (!isDone) return;
    checkedUnknown = Math.max(checkedUnknown, unknown);
    const ownEra = host.getPosition().era;
    if (era > ownEra) denied = { era, until: performance.now() + denialMs };
    reportedEra = ownEra;
  }
}
