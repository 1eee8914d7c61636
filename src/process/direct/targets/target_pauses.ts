/**
 * Sends nothing to targets for the time that they ask for, and lets their load
 * return in steps.
 *
 * Load pattern: a full target refuses requests and says for how long it wants
 * none. All routers hear that within a short time, so all their pauses end at
 * about the same time, when the target has the lowest load and every request
 * would choose it. Each router therefore adds a random delay, begins with one
 * request, and doubles the number of concurrent requests with each step that the
 * target answers.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";

/** Random delay after a pause: a share of it and a maximum in ms. */
const returnDelay = { pauseShare: 0.25, maxMs: 1_000 } as const;

/** Concurrent requests of this router in the first step after a pause. */
const firstStepRequests = 1;

/**
 * Time after a pause at which its steps end, also for a target that got no
 * requests since, in milliseconds.
 */
const stepsTimeoutMs = 10_000;

/**
 * Maximum difference between the clocks of a target and of this router, in
 * milliseconds.
 */
const maxClockSkewMs = 1_000;

/** The pause of one process and the steps after it. */
interface Pause {
  /** Start time of the target that it was recorded for, in epoch ms. */
  startedAtMs: number;
  /** When the target asked last, in epoch milliseconds. */
  askedAtMs: number;
  /** Share of the maximum random delay. */
  readonly delayShare: number;
  /** End of the pause with the random delay, on the monotonic clock. */
  endsAt: number;
  /** Requests that may run concurrently in the current step. */
  allowance: number;
  /** Requests sent since the end of the pause that still run. */
  inFlight: number;
  /** Start of the current step, on the monotonic clock. */
  stepStartedAt: number;
  /** True once a request was sent after the end of the pause. */
  hasReturned: boolean;
}

/** One request at a target, as far as it counts for the steps. */
export interface PausableRequest {
  /** Records that the target has answered, which may end a step. */
  recordAnswer(): void;
  end(): void;
}

/** The pauses of all targets. */
export interface TargetPauses {
  /** Records that a target wants no requests for a time. */
  recordPause(target: DirectTarget, pauseMs: number): void;
  /** Returns true while nothing may be sent to the target. */
  isPaused(target: DirectTarget): boolean;
  /** Returns the targets that may receive one more request, possibly none. */
  getUsable(targets: readonly DirectTarget[]): readonly DirectTarget[];
  /** Counts a request that is sent now. */
  begin(target: DirectTarget): PausableRequest;
  /**
   * Returns the time until the first of the targets is back, in milliseconds; 0
   * when one of them is not paused.
   */
  getFirstEndMs(targets: readonly DirectTarget[]): number;
  /** Returns the ids of the paused targets. */
  getPaused(): readonly string[];
}

const uncounted: PausableRequest = {
  recordAnswer: () => undefined,
  end: () => undefined,
};

/** Creates a record without pauses. */
export function createTargetPauses(
  host: {
    readonly log: Log;
    /** Returns a random number in [0, 1). */
    random(): number;
    /**
     * Handles the first request to a target after a pause that it asked for at
     * `since`, on the monotonic clock.
     */
    handleReturned?(target: DirectTarget, since: number): void;
  },
): TargetPauses {
  const pausesById = new Map<string, Pause>();

  return {
    recordPause,
    isPaused,
    getUsable,
    begin,
    getFirstEndMs,
    getPaused: () =>
      [...pausesById].filter(([, pause]) => isActive(pause)).map(([id]) => id),
  };

  function recordPause(target: DirectTarget, pauseMs: number): void {
    if (pauseMs <= 0) return;
    const now = performance.now();
    const known = tryGet(target);
    if (known !== undefined && isActive(known)) {
      known.endsAt = Math.max(known.endsAt, getEnd(pauseMs, known.delayShare));
      known.startedAtMs = target.startedAtMs;
      known.askedAtMs = Date.now();
      return;
    }
    const delayShare = host.random();
    pausesById.set(target.id, {
      startedAtMs: target.startedAtMs,
      askedAtMs: Date.now(),
      delayShare,
      endsAt: getEnd(pauseMs, delayShare),
      allowance: firstStepRequests,
      inFlight: 0,
      stepStartedAt: 0,
      hasReturned: false,
    });
    host.log.info("Target asks for a pause", {
      ...{ target: target.id, service: target.service },
      pauseMs: Math.round(pauseMs),
    });
    removeOld();

    function getEnd(ms: number, share: number): number {
      const { pauseShare, maxMs } = returnDelay;
      return now + ms + share * Math.min(maxMs, ms * pauseShare);
    }
  }

  function removeOld(): void {
    for (const [id, pause] of pausesById) {
      if (isOver(pause)) pausesById.delete(id);
    }
  }

  function isPaused(target: DirectTarget): boolean {
    const pause = tryGet(target);
    return pause !== undefined && isActive(pause);
  }

  function getUsable(
    targets: readonly DirectTarget[],
  ): readonly DirectTarget[] {
    if (pausesById.size === 0) return targets;
    return targets.filter((target) => {
      const pause = tryGet(target);
      return pause === undefined ||
        (!isActive(pause) && pause.inFlight < pause.allowance);
    });
  }

  function begin(target: DirectTarget): PausableRequest {
    const pause = tryGet(target);
    if (pause === undefined || isActive(pause)) return uncounted;
    const startedAt = performance.now();
    if (!pause.hasReturned) {
      pause.hasReturned = true;
      const sinceAskedMs = Date.now() - pause.askedAtMs;
      host.handleReturned?.(target, startedAt - sinceAskedMs);
    }
    let isRunning = true;
    pause.inFlight++;
    return {
      recordAnswer: () => {
        if (startedAt >= pause.stepStartedAt) startNextStep(target, pause);
      },
      end: () => {
        if (isRunning) pause.inFlight--;
        isRunning = false;
      },
    };
  }

  function startNextStep(target: DirectTarget, pause: Pause): void {
    // A pause that began since then has steps of its own.
    if (tryGet(target) !== pause || isActive(pause)) return;
    pause.allowance *= 2;
    pause.stepStartedAt = performance.now();
    if (pause.allowance < target.slots) return;
    pausesById.delete(target.id);
    host.log.info("Target is back after a pause", {
      target: target.id,
      service: target.service,
      tookMs: Math.round(pause.stepStartedAt - pause.endsAt),
    });
  }

  function getFirstEndMs(targets: readonly DirectTarget[]): number {
    if (targets.length === 0) return 0;
    const now = performance.now();
    const endTimes = targets.map((target) => tryGet(target)?.endsAt ?? now);
    return Math.max(0, Math.min(...endTimes) - now);
  }

  /** Returns the pause of this process; one of an earlier process is over. */
  function tryGet({ id, startedAtMs }: DirectTarget): Pause | undefined {
    const pause = pausesById.get(id);
    if (pause === undefined || isOver(pause)) return undefined;
    // A process may ask before its start is known here.
    const mayHaveAsked = pause.startedAtMs === startedAtMs ||
      pause.askedAtMs + maxClockSkewMs >= startedAtMs;
    return mayHaveAsked ? pause : undefined;
  }
}

function isActive({ endsAt }: Pause): boolean {
  return performance.now() < endsAt;
}

function isOver({ endsAt }: Pause): boolean {
  return performance.now() >= endsAt + stepsTimeoutMs;
}
