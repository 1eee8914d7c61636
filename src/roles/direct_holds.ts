/** Tells the client of a direct router which targets get nothing now. */

import type { DirectClientHost } from "../connection/direct_client.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import type { TargetPauses } from "../process/direct/targets/target_pauses.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";

/** Creates the holds from what is known of the targets. */
export function createDirectHolds(
  { targets, pauses, limits, recordSend }: {
    readonly targets: Pick<
      TargetTable,
      "isAddressEvacuated" | "isEvacuated" | "mayReceive"
    >;
    readonly pauses: Pick<TargetPauses, "isPaused">;
    readonly limits: Pick<TargetLimits, "tryTake">;
    /** Called when a request may be sent, right before its first byte. */
    recordSend?(): void;
  },
): Required<
  Pick<DirectClientHost, "tryGetHold" | "tryGetOwnRequestHold">
> {
  return {
    tryGetHold: (target, fetchFrom) => {
      if (
        targets.isEvacuated(target) ||
        (fetchFrom !== undefined && targets.isAddressEvacuated(fetchFrom))
      ) return "evacuated";
      if (!targets.mayReceive(target)) return "leaving";
      if (pauses.isPaused(target)) return "paused";
      recordSend?.();
      return undefined;
    },
    tryGetOwnRequestHold: ({ address }) =>
      limits.tryTake(address)?.tryUse() === true ? undefined : "limited",
  };
}
