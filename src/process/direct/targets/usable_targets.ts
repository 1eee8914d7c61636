/** Tells the queue which targets of a service may get requests now. */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { TargetLimits } from "../limits/target_limits.ts";
import type { TargetHealth } from "./target_health.ts";
import type { TargetPauses } from "./target_pauses.ts";
import type { TargetTable } from "./target_table.ts";

/** What usable targets are told by. */
export interface UsableTargetsHost {
  readonly targets: Pick<TargetTable, "getReady" | "peekReady">;
  readonly pauses: Pick<TargetPauses, "getUsable">;
  readonly limits:
    & Pick<TargetLimits, "getUsable">
    & { readonly preview: Pick<TargetLimits["preview"], "getUsable"> };
  readonly health: Pick<TargetHealth, "getUsable">;
}

/** The usable targets of all services. */
export interface UsableTargets {
  /** Returns the targets of a service that may get requests now. */
  get(service: string): readonly DirectTarget[];
  /** Runs a part of a dry run, in which `get` records nothing. */
  preview<Result>(run: () => Result): Result;
}

/** Creates the usable targets of a router. */
export function createUsableTargets(
  { targets, pauses, limits, health }: UsableTargetsHost,
): UsableTargets {
  let isPreview = false;

  return { get, preview };

  function get(service: string): readonly DirectTarget[] {
    return isPreview
      ? select(targets.peekReady(service), limits.preview.getUsable)
      : select(targets.getReady(service), limits.getUsable);
  }

  function select(
    ready: readonly DirectTarget[],
    getWithinLimits: TargetLimits["getUsable"],
  ): readonly DirectTarget[] {
    return health.getUsable(getWithinLimits(pauses.getUsable(ready)));
  }

  function preview<Result>(run: () => Result): Result {
    isPreview = true;
    try {
      return run();
    } finally {
      isPreview = false;
    }
  }
}
