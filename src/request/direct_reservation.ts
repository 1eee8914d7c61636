/**
 * Reserves the next attempt of a request whose current one still runs. All that
 * can keep the request from another target is settled here, without a wait.
 */

import { isBeyondDeadline } from "../process/direct/limits/admission_estimate.ts";
import { tryChooseTarget } from "./direct_choice.ts";
import type { AttemptObstacle, DirectContext } from "./direct_context.ts";
import { getTargetQueue } from "./direct_end.ts";
import type { DirectOffer, Reservation } from "./direct_offer.ts";

/** Returns a reservation, or why there is none; then nothing is kept. */
export function tryReserve(
  context: DirectContext,
  current: Pick<DirectOffer, "isRunCounted">,
): Reservation | AttemptObstacle {
  const { history, quarantine, queueWait, response, retry } = context;
  /** The current attempt counts as a run, which it may be already. */
  const runs = history.possibleRuns + (current.isRunCounted() ? 0 : 1);
  const obstacle = context.tryGetRepeatObstacle(runs);
  if (obstacle !== undefined) return obstacle;
  // The first attempt would end late, as timers do.
  if (context.host.isLoopBusy()) return "busy";
  if (queueWait.isTooLate()) return "stopping";
  if (quarantine.tryRefuse() !== undefined) return "quarantined";
  if (!retry.trySpend()) return "retry_budget";
  const hasBegun = response.getSentBytes() > 0;
  if (!queueWait.tryReserveNext({ hasBegun })) {
    retry.giveBack();
    return "queue";
  }
  const reservation = tryTakeTarget(context);
  if (typeof reservation === "string") {
    queueWait.releaseNext();
    retry.giveBack();
  }
  return reservation;
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
  if (isBeyondDeadline(queue, context.getTimeLeftMs())) return "deadline";
  const permit = host.limits.tryTake(choice.target.address);
  return permit === undefined ? "limited" : { choice, permit };
}
