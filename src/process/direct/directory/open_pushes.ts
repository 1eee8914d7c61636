/** Keeps pushes whose edits need what a read that lasts will bring. */

import {
  comparePositions,
  type StorePosition,
} from "../../../types/store_position.ts";
import type { DirectoryPush } from "./directory_replica.ts";

/** The pushes that could not be applied as a whole. */
export interface OpenPushes {
  /** Records a push that was applied as far as it could be. */
  record(push: DirectoryPush, position: StorePosition): void;
  /** Removes and returns all, the latest last. */
  take(): readonly DirectoryPush[];
}

/** Maximum number of pushes that are kept; the oldest are dropped. */
const maxPushes = 8;

/** Creates a record without pushes. */
export function createOpenPushes(): OpenPushes {
  let pushes: readonly DirectoryPush[] = [];

  return { record, take };

  function record(push: DirectoryPush, position: StorePosition): void {
    const isBehind = comparePositions(position, push.position) < 0;
    if (!isBehind || push.edits === undefined) return;
    pushes = [...pushes, push].slice(-maxPushes);
  }

  function take(): readonly DirectoryPush[] {
    const taken = pushes;
    pushes = [];
    return taken;
  }
}
