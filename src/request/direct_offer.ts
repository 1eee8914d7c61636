/** Sends a direct request to one target and counts it there while it runs. */

import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import type { SendPermit } from "../process/direct/limits/target_limits.ts";
import type { TargetOutcome } from "../process/direct/targets/target_health.ts";
import type { DirectResult, Hold } from "../types/direct_calls.ts";
import { type DirectAttempt, startDirectAttempt } from "./direct_attempt.ts";
import { createDirectCall } from "./direct_call.ts";
import type { DirectChoice } from "./direct_choice.ts";
import type { DirectContext } from "./direct_context.ts";
import { mayHaveArrived } from "./direct_host.ts";
import type { QuarantineAttempt } from "./direct_quarantine.ts";
import type { DirectResponse } from "./direct_response.ts";

/** A target that is chosen for a request, with the right to send it there. */
export interface Reservation {
  readonly choice: DirectChoice;
  readonly permit: SendPermit;
}

/** What happens at the target of an attempt that runs. */
export interface OfferWatcher {
  /** Handles that the target has sent nothing for too long. */
  handleSilence(): void;
  /** Handles that the target has sent a part of a response. */
  handleResponding(): void;
  /**
   * Handles that the target has sent data, which may hold no event. While another
   * target may have taken the request, the promise resolves when it is decided
   * which of the two goes on.
   */
  handleData(): Promise<void> | undefined;
  /** Returns true while another target is asked to take the request. */
  isMoving(): boolean;
}

/** A request that is on its way to a target, or at it. */
export interface DirectOffer {
  readonly choice: DirectChoice;
  readonly attempt: DirectAttempt;
  /** The attempt as far as the request may be quarantined. */
  readonly quarantine: QuarantineAttempt;
  /** The end of the call, or the head of the response. */
  readonly result: Promise<DirectResult>;
  /** What the caller had received when the attempt started. */
  readonly sentBefore: ReturnType<DirectResponse["getSent"]>;
  /** Number of attempts of the request, with this one. */
  readonly sends: number;
  /** Counts, at most once, that the target may have run the request. */
  countPossibleRun(): void;
  isRunCounted(): boolean;
  /** Records the outcome of the attempt; only the first one counts. */
  recordOutcome(outcome: TargetOutcome): void;
  /** Records, at most once, that the target is silent; it may respond yet. */
  recordSilence(): void;
  /** Watches the target, in place of what handles its silence until then. */
  watch(watcher: OfferWatcher): void;
  isMoving(): boolean;
  /** Called when data has arrived, before it is used; see `OfferWatcher`. */
  handleData(): Promise<void> | undefined;
  /** Ends the counts of the attempt and gives its permit back. */
  end(): void;
}

/** What an offer asks and tells before it is watched. */
export interface OfferOptions {
  /** Returns why the request must not be written to a connection now. */
  tryGetHold?(): Hold | undefined;
  /** Called right before the request is written to a connection. */
  handleSent?(): void;
  /** Called when the target is silent. */
  handleSilence?(): void;
}

/** Sends a request to the target that is reserved for it. */
export function startOffer(
  context: DirectContext,
  reservation: Reservation,
  options: OfferOptions = {},
): DirectOffer {
  try {
    return createOffer(context, reservation, options);
  } catch (error) {
    reservation.permit.release();
    throw error;
  }
}

function createOffer(
  context: DirectContext,
  { choice, permit }: Reservation,
  options: OfferOptions,
): DirectOffer {
  const { host, request, response, history, queueWait } = context;
  const { target: chosen, prefillParts } = choice;
  const quarantine = context.quarantine.beginAttempt(chosen);
  const { prompt } = request;
  history.attempted.add(chosen.address);
  history.sends++;
  if (prompt !== undefined) {
    const shared = getSharedParts(prompt.parts);
    host.cachedParts.recordParts(chosen.id, shared, prefillParts);
  }
  const attempt = startDirectAttempt(host, choice, {
    ...{ request, getTimeLeftMs: context.getTimeLeftMs },
    isRepeatable: context.isRepeatable,
    stopSignal: context.stop.signal,
    handleSilence: () => {
      if (watcher === undefined) options.handleSilence?.();
      else watcher.handleSilence();
    },
    handleResponding: () => watcher?.handleResponding(),
    handleFirstEvent: () => {
      context.streamVersion.recordFirstEvent(chosen);
      queueWait.recordFirstEvent();
      quarantine.recordResponseBegun();
    },
  });
  let watcher: OfferWatcher | undefined;
  const retry = context.retry.beginAttempt();
  let isRunCounted = false;
  let isOutcomeRecorded = false;
  let isSilenceRecorded = false;

  return {
    ...{ choice, attempt, quarantine, countPossibleRun, recordOutcome, end },
    ...{ recordSilence, isRunCounted: () => isRunCounted },
    watch: (value) => {
      watcher = value;
      if (attempt.isSilent()) watcher.handleSilence();
    },
    isMoving: () => watcher?.isMoving() ?? false,
    handleData: () => watcher?.handleData(),
    sentBefore: response.getSent(),
    sends: history.sends,
    result: send(),
  };

  async function send(): Promise<DirectResult> {
    const result = await host.calls.send({
      ...createDirectCall(request, choice),
      deadlineMs: context.getTimeLeftMs(),
      lastEventId: response.getLastEventId() ?? request.lastEventId,
      signal: attempt.signal,
      tryGetHold: () => {
        // The timer of the deadline may be due and have had no turn.
        if (context.getTimeLeftMs() <= 0 || queueWait.isTooLate()) {
          return "late";
        }
        const hold = options.tryGetHold?.();
        if (hold !== undefined) return hold;
        if (quarantine.isQuarantined()) return "quarantined";
        return permit.tryUse() ? undefined : "limited";
      },
      recordSent,
    });
    attempt.recordResult(result);
    if (mayHaveArrived(result)) retry.recordSent();
    return result;
  }

  function recordSent(): void {
    retry.recordSent();
    attempt.recordSent();
    options.handleSent?.();
  }

  function countPossibleRun(): void {
    if (!isRunCounted) history.possibleRuns++;
    isRunCounted = true;
  }

  function recordOutcome(outcome: TargetOutcome): void {
    if (isOutcomeRecorded) return;
    isOutcomeRecorded = true;
    host.health.recordOutcome(chosen, outcome);
  }

  function recordSilence(): void {
    if (isSilenceRecorded) return;
    isSilenceRecorded = true;
    host.health.recordOutcome(chosen, "silent");
  }

  function end(): void {
    retry.end();
    attempt.end();
    permit.release();
  }
}
