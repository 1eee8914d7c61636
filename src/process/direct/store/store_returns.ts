/** Remembers when the store last returned from an older copy. */

import type { StorePosition } from "../../../types/store_position.ts";
import type { Log } from "../../telemetry/log.ts";

/** The returns of the store, as one router knows them. */
export interface StoreReturns {
  /** Records that the store or a peer knows an era, which begins with a return. */
  recordEra(era: number): void;
  /** Records that the replica has entered a newer era, and logs it. */
  recordReturn(
    position: StorePosition,
    details: {
      readonly previous: StorePosition;
      readonly source: string;
      /** Number of changed entries. */
      readonly changes: number;
    },
  ): void;
  /**
   * Returns when the era of the replica was first known here, on the monotonic
   * clock; negative infinity before a return of the store.
   */
  getReturnedAt(): number;
}

/** Creates the record of a store that has not returned. */
export function createStoreReturns(
  { log }: { readonly log: Pick<Log, "warn"> },
): StoreReturns {
  /** The newest era that the store or a peer has named, and since when. */
  let newestEra = { era: 0, knownSince: Number.NEGATIVE_INFINITY };
  let returnedAt = Number.NEGATIVE_INFINITY;

  return { recordEra, recordReturn, getReturnedAt: () => returnedAt };

  function recordEra(era: number): void {
    if (era <= newestEra.era) return;
    newestEra = { era, knownSince: performance.now() };
  }

  function recordReturn(
    { era, revision }: StorePosition,
    { previous, source, changes }: Parameters<StoreReturns["recordReturn"]>[1],
  ): void {
    returnedAt = newestEra.era === era
      ? newestEra.knownSince
      : performance.now();
    log.warn("Store returned from an older copy", {
      ...{ era, revision, source },
      previousEra: previous.era,
      previousRevision: previous.revision,
      changes,
    });
  }
}
