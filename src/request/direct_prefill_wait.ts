/** Chooses the target of a request, if need be after a prefill of its parts. */

import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { DirectRoute } from "../types/route_table.ts";
import type { PromptPart } from "../types/prompt.ts";
import {
  type ChoiceOptions,
  type DirectChoice,
  tryChooseTarget,
} from "./direct_choice.ts";
import type { DirectHost } from "./direct_host.ts";

/**
 * Share of the latency goal that a request may wait for another request's
 * prefill of its parts; the rest is left for its own prefill.
 */
const prefillWaitGoalShare = 0.3;

/** Maximum time for which a request waits for its turn to prefill, in ms. */
const maxTurnWaitMs = 200;

/** Returns the engine whose prefill a request waits for. */
export function getHolder(
  { fetchFrom, target }: Pick<DirectChoice, "fetchFrom" | "target">,
): DirectTarget {
  return fetchFrom ?? target;
}

/** Returns the longest wait for a prefill, in milliseconds. */
export function getMaxPrefillWaitMs(
  { latencyGoalMs }: Pick<DirectRoute, "latencyGoalMs">,
): number {
  return latencyGoalMs * prefillWaitGoalShare;
}

/** The choices of one request. */
export interface DirectPrefillWait {
  /**
   * Chooses a target and waits once while the parts that the request would use
   * or copy are being prefilled. After a wait it chooses again, since the best
   * target or the engine to copy from may have changed. Without a prompt, the
   * choice is made at once, so that the attempt begins before another request
   * chooses by the same loads.
   */
  tryChooseTarget(
    mayUse: (target: DirectTarget) => boolean,
    options?: ChoiceOptions,
  ): Promise<DirectChoice | undefined> | DirectChoice | undefined;
  /** Returns the time of the waits, for the log; nothing without a wait. */
  describe(): Readonly<Record<string, number>>;
}

/** Creates the choices of a request that has not waited. */
export function createDirectPrefillWait(
  host: DirectHost,
  request: DirectRequest,
): DirectPrefillWait {
  const { prompt, route } = request;
  let readWaitMs = 0;
  let turnWaitMs = 0;
  host.partDemand.recordRequest(getSharedParts(prompt?.parts ?? []));

  return {
    tryChooseTarget: tryChooseAfterPrefill,
    describe,
  };

  function describe(): Readonly<Record<string, number>> {
    return {
      ...(readWaitMs > 0 ? { readWaitMs: Math.round(readWaitMs) } : {}),
      ...(turnWaitMs > 0 ? { turnWaitMs } : {}),
    };
  }

  function getTimeLeftMs(): number {
    return Math.max(0, request.deadlineAt - performance.now());
  }

  function tryChooseAfterPrefill(
    mayUse: (target: DirectTarget) => boolean,
    options?: ChoiceOptions,
  ): Promise<DirectChoice | undefined> | DirectChoice | undefined {
    return prompt === undefined
      ? tryChooseTarget(host, request, mayUse, options)
      : chooseAfterPrefill(
        getSharedParts(prompt.parts),
        () => tryChooseTarget(host, request, mayUse, options),
      );
  }

  async function chooseAfterPrefill(
    parts: readonly PromptPart[],
    choose: () => DirectChoice | undefined,
  ): Promise<DirectChoice | undefined> {
    const choice = await chooseInTurn(choose);
    if (choice === undefined) return undefined;
    const waitedMs = await host.prefills.wait(getHolder(choice).id, parts, {
      timeoutMs: Math.min(getMaxPrefillWaitMs(route), getTimeLeftMs()),
    });
    if (waitedMs === 0) return choice;
    readWaitMs += waitedMs;
    return choose();
  }

  /** Chooses a target; one that has to prefill unknown parts in its turn only. */
  async function chooseInTurn(
    choose: () => DirectChoice | undefined,
  ): Promise<DirectChoice | undefined> {
    while (true) {
      const choice = choose();
      const isOver = turnWaitMs >= maxTurnWaitMs || getTimeLeftMs() === 0;
      if (choice === undefined || isOver) return choice;
      const waitMs = host.prefillTurns?.takeTurn(choice.prefillParts) ?? 0;
      if (waitMs === 0) return choice;
      turnWaitMs += waitMs;
      await new Promise((resolve) => {
        setTimeout(resolve, Math.min(waitMs, getTimeLeftMs()));
      });
    }
  }
}
