/**
 * Tells which paced targets a request could be sent to now, for a dry run. The
 * paces are read; a pace that a request would begin is worked out and not begun.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { LoadView } from "./load_view.ts";
import type { PaceShare, PaceShares } from "./pace_shares.ts";
import { getInitialBound } from "./pace_steps.ts";

/**
 * Age at which a target counts as established, and maximum duration of a pace,
 * in milliseconds; long compared with the differences of clocks.
 */
export const maxPaceMs = 30_000;

/** A pace that runs or has ended. */
export interface KnownPace extends PaceShare {
  readonly target: DirectTarget;
  /** Times on the monotonic clock. */
  beganAt: number;
  endedAt: number | undefined;
}

/** What the preview reads. */
export interface PacePreviewHost {
  readonly loads: Pick<LoadView, "getLoad">;
  readonly shares: Pick<PaceShares, "previewAdd">;
  /** Returns true under contention. */
  isActive(): boolean;
  tryGetPace(id: string): KnownPace | undefined;
  /** Returns true for a target whose pace the next request begins. */
  isNew(target: DirectTarget): boolean;
}

/** The paces as a request would find them now. */
export interface PacePreview {
  /** Returns the targets that may receive one more request, or the next best. */
  getUsable(targets: readonly DirectTarget[]): readonly DirectTarget[];
  /** Returns the bound of a paced target, in concurrent requests. */
  tryGetBound(target: DirectTarget): number | undefined;
}

/** Creates the preview of a router's paces. */
export function createPacePreview(host: PacePreviewHost): PacePreview {
  return { getUsable, tryGetBound: (target) => tryGetShare(target)?.bound };

  function getUsable(
    targets: readonly DirectTarget[],
  ): readonly DirectTarget[] {
    if (!host.isActive()) return targets;
    return getTaking(targets, { loads: host.loads, mayTake });

    function mayTake(target: DirectTarget): boolean {
      const share = tryGetShare(target);
      return share === undefined || (
        host.shares.previewAdd(share, { target, targets }) &&
        host.loads.getLoad(target.id).requests < share.bound
      );
    }
  }

  function tryGetShare(target: DirectTarget): PaceShare | undefined {
    const { id, startedAtMs, slots } = target;
    if (!host.isActive()) return undefined;
    const pace = host.tryGetPace(id);
    if (pace?.target.startedAtMs === startedAtMs) {
      const isRunning = pace.endedAt === undefined &&
        performance.now() - pace.beganAt < maxPaceMs;
      return isRunning ? pace : undefined;
    }
    return host.isNew(target)
      ? { bound: getInitialBound(slots), window: undefined }
      : undefined;
  }
}

/**
 * Returns the targets that may take one more request; where none may, those with a
 * free slot, or all.
 */
export function getTaking(
  targets: readonly DirectTarget[],
  { loads, mayTake }: {
    readonly loads: Pick<LoadView, "getLoad">;
    mayTake(target: DirectTarget): boolean;
  },
): readonly DirectTarget[] {
  const usable = targets.filter(mayTake);
  if (usable.length > 0) return usable;
  const withSlot = targets.filter(({ id, slots }) =>
    loads.getLoad(id).requests < slots
  );
  return withSlot.length > 0 ? withSlot : targets;
}
