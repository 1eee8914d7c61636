/** Positions in the history of the platform's store. */

/** A point in the store's history. */
export interface StorePosition {
  /**
   * Number of times that the store has lost changes by returning from an older
   * copy; 0 when unknown. Revisions are given out again in each era.
   */
  readonly era: number;
  /** Increases with each change of the same era. */
  readonly revision: number;
}

/** The position before all changes. */
export const originPosition: StorePosition = { era: 0, revision: 0 };

/** Returns a negative number when `left` is before `right`, 0 when equal. */
export function comparePositions(
  left: StorePosition,
  right: StorePosition,
): number {
  return left.era - right.era || left.revision - right.revision;
}
