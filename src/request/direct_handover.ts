/**
 * Moves a request from a silent target to another one.
 *
 * Load pattern: targets pause in the middle of their responses, many at once,
 * while the router stops, the retries of the service are spent or the other
 * targets are full. A silent target may be about to finish, so its attempt goes on
 * until another target has taken the request. What can keep another target from
 * taking it is settled before it is sent there. Both attempts run side by side only
 * until the new target has responded, or has had the request for a short time
 * without refusing it.
 */

import type { DirectResult } from "../types/direct_calls.ts";
import { isServerError, promisesNotRun } from "../types/promises.ts";
import type { AttemptObstacle, DirectContext } from "./direct_context.ts";
import type { AttemptEnd } from "./direct_host.ts";
import { type DirectOffer, startOffer } from "./direct_offer.ts";
import { tryReserve } from "./direct_reservation.ts";
import { judgeUnused } from "./direct_verdict.ts";

/**
 * Time after the request is written to the new target until the attempt at the
 * silent one ends, in milliseconds. A target that is full refuses well within it.
 * Two targets may work on one request for 400 ms; a timer that is late by as much
 * as an event loop that is not busy stays below that.
 */
export const maxOverlapMs = 150;

/**
 * Intervals at which a move that is held up is tried again, in milliseconds: the
 * first one, which doubles up to the last, as thousands may be held at once.
 */
const retryIntervalsMs = { first: 250, last: 1_000 } as const;

/** The move of a request from its current attempt to the next one. */
export interface DirectHandover {
  /**
   * Ends the move with the current attempt. Returns the attempt with which the
   * request goes on; undefined without one.
   */
  finish(end: AttemptEnd): DirectOffer | undefined;
}

/** Ends after which a request goes on elsewhere if another target has it. */
const continuedEnds: ReadonlySet<AttemptEnd["kind"]> = new Set([
  "lost",
  "not_run",
  "repeat",
]);

/**
 * Obstacles that lie in the request and last while its target is silent. What can't
 * move says nothing of its target's health either.
 */
const lastingObstacles: ReadonlySet<AttemptObstacle> = new Set([
  "deadline",
  "caller_gone",
  "not_repeatable",
  "response_begun",
  "attempts",
  "quarantined",
]);

/** Moves a request when the target of its current attempt is silent. */
export function createDirectHandover(
  context: DirectContext,
  current: DirectOffer,
): DirectHandover {
  const { host } = context;
  let next: DirectOffer | undefined;
  let isFinished = false;
  /** Number of moves that were begun or cancelled. */
  let moves = 0;
  /** True once the request is written to the next target. */
  let isNextSent = false;
  /** Tells those who wait who goes on with the request. */
  let decide: (() => void) | undefined;
  let decision: Promise<void> | undefined;
  let overlapTimer: NodeJS.Timeout | undefined;
  let retryIntervalMs: number = retryIntervalsMs.first;
  let reportedObstacle: AttemptObstacle | undefined;
  current.watch({
    handleSilence: tryMove,
    ...{ handleResponding, handleData },
    isMoving: () => next !== undefined,
  });

  return { finish };

  function watchAgain(): void {
    current.attempt.watchSilence(retryIntervalMs);
    retryIntervalMs = Math.min(2 * retryIntervalMs, retryIntervalsMs.last);
  }

  /** The move ends, but not when the next target may run the request already. */
  function handleResponding(): void {
    retryIntervalMs = retryIntervalsMs.first;
    if (!current.attempt.hasTimedOut() && !isNextSent) cancelNext();
  }

  /**
   * A target that may have the request is not left for the one before, which would
   * go on beside a run that has begun. So data waits until the next target has
   * refused the request, or the current attempt ends.
   */
  function handleData(): Promise<void> | undefined {
    if (next === undefined || !isNextSent) return undefined;
    if (current.attempt.hasTimedOut()) return undefined;
    decision ??= new Promise((resolve) => {
      decide = resolve;
    });
    return decision;
  }

  function endWait(): void {
    decide?.();
    decide = undefined;
    decision = undefined;
  }

  function tryMove(): void {
    const { attempt } = current;
    if (isFinished || !attempt.isSilent() || next !== undefined) return;
    const reservation = tryReserve(context, current, { handlePlace: tryMove });
    const isHeld = typeof reservation === "string";
    if (isHeld) recordObstacle(reservation);
    if (isHeld && lastingObstacles.has(reservation)) return;
    current.recordSilence();
    if (isHeld) return watchAgain();
    const move = ++moves;
    isNextSent = false;
    const offer = startOffer(context, reservation, {
      tryGetHold: () => host.isLoopBusy() ? "busy" : undefined,
      handleSent: () => handleSent(move),
      handleSilence: () => {
        if (!attempt.hasTimedOut()) offer.attempt.cancel();
      },
    });
    next = offer;
    void settle(offer);
  }

  /** Called right before the request is written to the next target. */
  function handleSent(move: number): void {
    if (isFinished || move !== moves) return;
    isNextSent = true;
    overlapTimer = setTimeout(abandonCurrent, maxOverlapMs);
  }

  async function settle(offer: DirectOffer): Promise<void> {
    const result = await offer.result;
    if (next !== offer || isFinished) return;
    if (isAcceptable(context, result)) return abandonCurrent();
    clearTimeout(overlapTimer);
    next = undefined;
    isNextSent = false;
    context.queueWait.releaseNext();
    endWait();
    await endUnused(offer, result);
    if (!isFinished && current.attempt.isSilent()) watchAgain();
  }

  function abandonCurrent(): void {
    clearTimeout(overlapTimer);
    if (current.attempt.hasTimedOut()) return;
    host.metrics.count("attempts_moved_total");
    current.attempt.giveUp();
    endWait();
  }

  function cancelNext(): void {
    const offer = next;
    context.queueWait.releaseNext();
    if (offer === undefined) return;
    clearTimeout(overlapTimer);
    next = undefined;
    moves++;
    offer.attempt.cancel();
    void offer.result.then((result) => endUnused(offer, result));
  }

  async function endUnused(
    offer: DirectOffer,
    result: DirectResult,
  ): Promise<void> {
    try {
      await judgeUnused(context, offer, result);
    } finally {
      offer.end();
    }
  }

  function finish(end: AttemptEnd): DirectOffer | undefined {
    clearTimeout(overlapTimer);
    if (next === undefined || !continuedEnds.has(end.kind)) cancelNext();
    isFinished = true;
    endWait();
    return next;
  }

  /** Logs each reason once, as a move is tried again and again. */
  function recordObstacle(obstacle: AttemptObstacle): void {
    host.metrics.count("attempt_moves_held_total", { reason: obstacle });
    if (obstacle === reportedObstacle) return;
    reportedObstacle = obstacle;
    host.log.info("Silent attempt goes on", {
      request: context.request.requestId,
      service: context.request.service,
      target: current.choice.target.id,
      heldBy: obstacle,
      silentMs: Math.round(current.attempt.getSilentMs()),
      leftMs: Math.round(context.getTimeLeftMs()),
    });
  }
}

/** Returns true for a response with which the request can go on. */
function isAcceptable(
  { response }: DirectContext,
  result: DirectResult,
): boolean {
  if (result.kind !== "answer") return false;
  const { head } = result;
  return !isServerError(head.status) && !promisesNotRun(head.status) &&
    response.accepts(head);
}
