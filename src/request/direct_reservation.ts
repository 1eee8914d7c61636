/**
 * Reserves the next attempt of a request whose current one still runs. All that
 * can keep the request from another target is settled here, without a wait.
 */

import { isBeyondDeadline } from "../process/direct/limits/admission_estimate.ts";
import { tryChooseTarget } from "./direct_choice.ts";
import type { AttemptObstacle, DirectContext } from "./direct_context.ts";
import { getTargetQueue } from "./direct_end.ts";
import type { DirectOffer, Reservation } from "./direct_offer.ts";

/**
 * Returns a reservation, or why there is none. Then nothing is kept but a wait for
 * a place, after which `handlePlace` is called.
 */
export function tryReserve(
  context: DirectContext,
  current: Pick<DirectOffer, "isRunCounted">,
  { handlePlace }: { handlePlace(): void },
): Reservation | AttemptObstacle {
  const { history, queueWait, response, retry } = context;
  /** The current attempt counts as a run, which it may be already. */
  const runs = history.possibleRuns + (current.isRunCounted() ? 0 : 1);
  const hasBegun = response.getSentBytes() > 0;
  const reservation = context.tryGetRepeatObstacle(runs) ??
    tryGetOwnObstacle(context) ??
    (queueWait.tryReserveNext({ hasBegun, handlePlace })
      ? tryTakeTarget(context)
      : "queue");
  if (typeof reservation !== "string") return reservation;
  retry.giveBack();
  if (reservation !== "queue") queueWait.releaseNext();
  return reservation;
}

/** Returns what holds any request of this router now; spends a retry if nothing. */
function tryGetOwnObstacle(
  { host, quarantine, queueWait, retry }: DirectContext,
): AttemptObstacle | undefined {
  // The first attempt would end late, as timers do.
  if (host.isLoopBusy()) return "busy";
  if (queueWait.isTooLate()) return "stopping";
  if (quarantine.tryRefuse() !== undefined) return "quarantined";
  return retry.trySpend() ? undefined : "retry_budget";
}

function tryTakeTarget(context: DirectContext): Reservation | AttemptObstacle {
  const { host, request, queueWait, mayUse } = context;
  const choice = tryChooseTarget(host, request, mayUse, {
    preferred: queueWait.getNextTarget(),
  });
  // Without a usable target, one that is ejected may be chosen.
  if (choice === undefined) return "no_target";
  if (!host.health.isUsable(choice.target.id)) return "ejected";
  const queue = getTargetQueue(host, choice);
  if (isBeyondDeadline(queue, context.getTimeLeftMs())) return "full";
  // A full target may refuse late, when the response that has begun is given up.
  const hasBegun = context.response.getSentBytes() > 0;
  if (hasBegun && queue.load >= queue.slots) return "full";
  const permit = host.limits.tryTake(choice.target.address);
  return permit === undefined ? "limited" : { choice, permit };
}
