/** The places of one request at the targets, and its waits for them. */

import { getVariantFingerprint } from "../process/direct/crashes/crash_keys.ts";
import { getRetryAfterMs } from "../process/direct/limits/admission_estimate.ts";
import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import type {
  Place,
  QueuedRequest,
  QueueRefusal,
  QueueRefusalReason,
  WaitEnd,
} from "../process/direct/queue/queued_request.ts";
import {
  getRequestTokens,
  limitToMemory,
} from "../process/direct/queue/request_times.ts";
import { createReport, type DiagnosticCode } from "../types/diagnostics.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { RequestEnd } from "../types/reply.ts";
import type { DirectHost } from "./direct_host.ts";
import type { DirectPrefillWait } from "./direct_prefill_wait.ts";
import { getPriorityClass } from "./direct_timeouts.ts";
import { createEnd } from "./request_end.ts";
import type { RequestStop } from "./request_stop.ts";

/** The waits of one request; nothing waits unless callers compete. */
export interface DirectQueueWait {
  /**
   * Takes a place; undefined when the request goes on at once. Otherwise the
   * promise resolves when the wait has ended, after which the request is checked
   * anew, as it may be quarantined by then.
   */
  tryWait(options: {
    /** True when the caller has a part of the response and can't wait. */
    readonly hasBegun: boolean;
  }): Promise<void> | undefined;
  /**
   * Takes a place for the next attempt beside that of the current one; false while
   * the request waits for it or is refused one.
   */
  tryReserveNext(options: {
    readonly hasBegun: boolean;
    /** Called when a place is given after a wait. */
    handlePlace(): void;
  }): boolean;
  /** Gives the place of the next attempt back, or ends the wait for it. */
  releaseNext(): void;
  /** Returns the target that the place of the next attempt names, if any. */
  getNextTarget(): DirectTarget | undefined;
  /** Chooses a target, the one that the place names if there is one. */
  chooseTarget(
    choose: DirectPrefillWait["tryChooseTarget"],
  ): ReturnType<DirectPrefillWait["tryChooseTarget"]>;
  /**
   * Returns the end of a request that was not given a place, or whose run would
   * outlast a stop of the router.
   */
  tryGetEnd(): RequestEnd | undefined;
  /** Returns true when a stop of the router would cut off a run that begins now. */
  isTooLate(): boolean;
  /** Records that the first event of a stream has arrived. */
  recordFirstEvent(): void;
  /** Gives the place back after an attempt; that of the next one is kept. */
  leave(): void;
  /** Records that a target had no place for the request. */
  recordRefused(target: DirectTarget): void;
  /** Adds the time of the waits to what is logged, if there were any. */
  describe(
    decision: Readonly<Record<string, string | number>>,
  ): Readonly<Record<string, string | number>>;
}

/**
 * Part of the time to the deadline by which the place of a caller who comes too
 * early is put back at most; no Retry-After is longer than that.
 */
const maxDelayShare = 0.5;

/** Least time that a run is given before a stop cuts it off, in milliseconds. */
const minRunMs = 500;

/** Time that a run takes of which too few were seen, in milliseconds. */
const unknownRunMs = 1_000;

/** Diagnostics of requests that were not given a place. */
const refusalCodes = {
  late: "queue_wait_too_long",
  full: "target_full",
  displaced: "target_full",
  stopping: "router_stopping",
} as const satisfies Readonly<Record<QueueRefusalReason, DiagnosticCode>>;

/** Creates the waits of a request that has no place. */
export function createDirectQueueWait(
  host: Pick<
    DirectHost,
    "contention" | "queue" | "random" | "repeats" | "runTimes"
  >,
  request: DirectRequest,
  { stop, mayUse }: {
    readonly stop: Pick<RequestStop, "signal">;
    /** Returns true when the request may be sent to a target. */
    mayUse(target: DirectTarget): boolean;
  },
): DirectQueueWait {
  let place: Place | undefined;
  let nextPlace: Place | undefined;
  /** Ends the wait for the place of the next attempt. */
  let leaveNext: (() => void) | undefined;
  let refusal: QueueRefusal | undefined;
  let waitedMs = 0;
  let position = 0;

  return {
    tryWait,
    tryReserveNext,
    releaseNext,
    getNextTarget: () => nextPlace?.target,
    chooseTarget,
    tryGetEnd,
    isTooLate,
    recordFirstEvent: () => place?.recordFirstEvent(),
    leave,
    recordRefused: (target) => {
      if (host.contention.isActive()) host.queue.recordRefused(target);
    },
    describe,
  };

  function tryWait(
    { hasBegun }: { readonly hasBegun: boolean },
  ): Promise<void> | undefined {
    if (place !== undefined || refusal !== undefined) return undefined;
    if (!host.contention.isActive()) return undefined;
    const queued = getInOrder(createQueuedRequest(host, request, mayUse));
    if (hasBegun) {
      place = host.queue.enterUnheld(queued);
      return undefined;
    }
    const entry = host.queue.enter(queued);
    if (entry.kind !== "waiting") return recordEnd(entry);
    position = entry.position;
    return waitForEnd(entry);
  }

  function tryReserveNext(
    { hasBegun, handlePlace }: Parameters<
      DirectQueueWait["tryReserveNext"]
    >[0],
  ): boolean {
    if (nextPlace !== undefined) return true;
    if (!host.contention.isActive()) {
      releaseNext();
      return true;
    }
    if (leaveNext !== undefined) return false;
    const queued = createQueuedRequest(host, request, mayUse);
    if (hasBegun) {
      nextPlace = host.queue.enterUnheld(queued);
      return true;
    }
    // A refusal that is not told to the caller is not recorded.
    if (host.queue.preview(queued).kind === "refused") return false;
    const entry = host.queue.enter(queued);
    if (entry.kind === "place") nextPlace = entry.place;
    if (entry.kind === "waiting") void waitForNext(entry, handlePlace);
    return entry.kind === "place";
  }

  async function waitForNext(
    { end, leave: leaveQueue }: {
      readonly end: Promise<WaitEnd>;
      leave(): void;
    },
    handlePlace: () => void,
  ): Promise<void> {
    leaveNext = leaveQueue;
    const waitEnd = await end;
    const isWanted = leaveNext === leaveQueue;
    if (isWanted) leaveNext = undefined;
    if (waitEnd.kind !== "place") return;
    if (!isWanted) return waitEnd.place.end();
    nextPlace = waitEnd.place;
    handlePlace();
  }

  function releaseNext(): void {
    const leaveQueue = leaveNext;
    leaveNext = undefined;
    leaveQueue?.();
    nextPlace?.end();
    nextPlace = undefined;
  }

  /** A caller who comes before the time it was told gets the place of then. */
  function getInOrder(queued: QueuedRequest): QueuedRequest {
    const { requestId, arrivedAt, deadlineAt } = request;
    const placeAt = host.repeats.tryGetPlaceTime(() =>
      getVariantFingerprint(request)
    );
    if (placeAt === undefined) return queued;
    const maxPlaceAt = arrivedAt + (deadlineAt - arrivedAt) * maxDelayShare;
    return {
      ...queued,
      arrivedAt: Math.min(placeAt, maxPlaceAt),
      returnKey: `early ${requestId}`,
    };
  }

  async function waitForEnd(
    { end, leave: leaveQueue }: {
      readonly end: Promise<WaitEnd>;
      leave(): void;
    },
  ): Promise<void> {
    const startedAt = performance.now();
    stop.signal.addEventListener("abort", leaveQueue, { once: true });
    recordEnd(await end);
    stop.signal.removeEventListener("abort", leaveQueue);
    waitedMs += performance.now() - startedAt;
  }

  function recordEnd(end: WaitEnd): undefined {
    if (end.kind === "place") place = end.place;
    if (end.kind === "refused") refusal = end.refusal;
  }

  /** The target may have become unusable since the place was given. */
  function chooseTarget(
    choose: DirectPrefillWait["tryChooseTarget"],
  ): ReturnType<DirectPrefillWait["tryChooseTarget"]> {
    return choose(mayUse, { preferred: place?.target });
  }

  function tryGetEnd(): RequestEnd | undefined {
    if (refusal === undefined && isTooLate()) {
      refusal = { reason: "stopping", waitMs: 0 };
    }
    if (refusal === undefined) return undefined;
    const end = createQueueEnd(refusal, request, host.random());
    host.repeats.recordRefusal(
      () => getVariantFingerprint(request),
      end.report?.retryAfterMs ?? 0,
    );
    return end;
  }

  function isTooLate(): boolean {
    const meanMs = host.runTimes.tryGetMeanMs(request.service) ?? unknownRunMs;
    return !host.queue.hasTimeFor(Math.max(minRunMs, meanMs));
  }

  function leave(): void {
    place?.end();
    place = nextPlace;
    nextPlace = undefined;
  }

  function describe(
    decision: Readonly<Record<string, string | number>>,
  ): Readonly<Record<string, string | number>> {
    return {
      ...decision,
      ...(waitedMs > 0 ? { queueWaitMs: Math.round(waitedMs) } : {}),
      ...(position > 0 ? { queuePosition: position } : {}),
      ...(refusal === undefined ? {} : { queueRefusal: refusal.reason }),
    };
  }
}

/** Creates the end of a request that was not given a place. */
export function createQueueEnd(
  { reason, waitMs }: QueueRefusal,
  { service, deadlineAt }: Pick<DirectRequest, "deadlineAt" | "service">,
  random: number,
): RequestEnd {
  return createEnd(createReport(refusalCodes[reason], { service }, {
    retryAfterMs: getRetryAfterMs(undefined, {
      timeLeftMs: deadlineAt - performance.now(),
      ...{ waitMs, random },
    }),
  }));
}

/** Describes a request to the queue. */
export function createQueuedRequest(
  host: { readonly queue: Pick<DirectHost["queue"], "tryGetEngine"> },
  request: DirectRequest,
  mayUse: (target: DirectTarget) => boolean,
): QueuedRequest {
  const { route, service, holder, prompt } = request;
  const engine = host.queue.tryGetEngine(service);
  return {
    service,
    priorityClass: getPriorityClass(request),
    workspace: holder?.workspace ?? "",
    returnKey: getReturnKey(request),
    bytes: request.body.length,
    tokens: limitToMemory(getRequestTokens(prompt), engine),
    engine,
    arrivedAt: request.arrivedAt,
    goalMs: route.latencyGoalMs,
    deadlineAt: request.deadlineAt,
    isStream: route.kind === "stream",
    isUnsafe: route.kind === "unsafe",
    isResumed: request.resumes !== undefined,
    mayUse,
  };
}

/** Callers that come back use new request ids, so what they ask for counts. */
function getReturnKey(
  { route, holder, path, prompt }: DirectRequest,
): string {
  const parts = getSharedParts(prompt?.parts ?? []).map(({ id }) => id);
  const own = prompt?.parts.at(-1)?.id ?? "";
  return [holder?.workspace ?? "", route.name, path, ...parts, own].join("\n");
}
