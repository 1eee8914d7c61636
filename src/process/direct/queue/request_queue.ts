/**
 * Holds requests in this router while the targets of their service have no room.
 *
 * Load pattern: a burst, or the loss of targets, makes more requests due than the
 * targets take. Sent at once, they would fill the targets' queues and be refused
 * there, those that could be served with them. A request waits here while it can
 * still begin before its deadline; one that can not is refused at once, with the
 * time at which there is room. The queue is bounded in requests and bytes; when
 * it is full, the least urgent request gives way.
 */

import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { EngineTraits } from "../../../types/route_table.ts";
import { createHoldLog } from "./hold_log.ts";
import { createPeerDemand, type ServiceDemand } from "./peer_demand.ts";
import type {
  Place,
  QueuedRequest,
  QueueEntry,
  QueuePreview,
  QueueRefusalReason,
  WaitEnd,
} from "./queued_request.ts";
import { createQueueStop } from "./queue_stop.ts";
import { createRefusalRecords } from "./refusal_records.ts";
import { createRequestSizes, getFirstResponseMs } from "./request_times.ts";
import type { Waiter } from "./service_queue.ts";
import {
  createServiceStates,
  getTimesIn,
  getWaitMsIn,
  type ServiceStatesHost,
} from "./service_states.ts";

/** Maximum number of requests that wait, of all services. */
const maxWaiting = 600;

/** Maximum size of the bodies of requests that wait, in bytes. */
const maxWaitingBytes = 16 * 1024 * 1024;

/**
 * Interval at which room is looked for while requests wait, in milliseconds; for
 * changes that nothing reports, such as the end of a pause.
 */
const refreshIntervalMs = 20;

/** Refreshes from one to the next that counts the targets anew. */
const refreshesPerTargetCheck = 5;

/** Minimum interval of refreshes for peers' reports, in milliseconds. */
const minReportRefreshMs = 5;

/** Weight of a new response in the mean time to responses. */
const smoothingFactor = 0.1;

/** What the queue needs from the process. */
export interface RequestQueueHost
  extends Omit<ServiceStatesHost, "peers" | "sizes"> {
  readonly log: Pick<Log, "info">;
  /** Returns the traits of a service's engines; undefined for other targets. */
  tryGetEngine(service: string): EngineTraits | undefined;
  readonly metrics: Pick<Metrics, "count" | "gauge" | "record">;
}

/** The queue of one router. */
export interface RequestQueue {
  /**
   * Asks for a place. A request that gets one at once, or that is refused, does
   * not wait.
   */
  enter(request: QueuedRequest): QueueEntry;
  /**
   * Returns what `enter` would return now. Nothing is counted, recorded or drawn,
   * so the next request gets what it would have got.
   */
  preview(request: QueuedRequest): QueuePreview;
  /** Takes a place whether or not there is room, for what can't wait. */
  enterUnheld(request: QueuedRequest): Place;
  /** Returns the traits of a service's engines; undefined for other targets. */
  tryGetEngine(service: string): EngineTraits | undefined;
  /** Records that a target had no place for a request. */
  recordRefused(target: DirectTarget): void;
  /** Looks for room, as targets may have become ready. */
  refresh(): void;
  /** Records the demand that a peer reports. */
  recordPeerDemand(peer: string, demands: readonly ServiceDemand[]): void;
  /** Returns this router's demand, as reported to peers. */
  getOwnDemand(): readonly ServiceDemand[];
  /** Refuses what could not run before a time; without one, all that waits. */
  stop(endsAt?: number): void;
  /**
   * Returns true when a run of a length in milliseconds may still end before the
   * router stops.
   */
  hasTimeFor(runMs: number): boolean;
  /** Describes the queues for the dump. */
  describe(): readonly Readonly<Record<string, string | number>>[];
}

/** A request in the queue, with its first arrival. */
interface QueueWaiter extends Waiter {
  readonly firstArrivedAt: number;
}

/** Creates a queue in which nothing waits. */
export function createRequestQueue(host: RequestQueueHost): RequestQueue {
  const { metrics } = host;
  const peers = createPeerDemand(host.log);
  const refusals = createRefusalRecords();
  const sizes = createRequestSizes();
  const services = createServiceStates({ ...host, peers, sizes });
  const holds = createHoldLog(host.log);
  /** Ends the waits of requests. */
  const waits = new Map<Waiter, (end: WaitEnd) => void>();
  let waitingBytes = 0;
  let refreshes = 0;
  let refreshTimer: NodeJS.Timeout | undefined;
  let reportRefreshedAt = Number.NEGATIVE_INFINITY;
  const stopping = createQueueStop({
    getRunMs: (service) => services.tryGet(service)?.runMs ?? 0,
    refuse: (waiter) => refuseWaiter(waiter, "stopping"),
  });
  metrics.gauge("requests_queued", () => waits.size);
  metrics.gauge("requests_queued_bytes", () => waitingBytes);

  return {
    enter,
    preview,
    enterUnheld,
    tryGetEngine: host.tryGetEngine,
    recordRefused: (target) =>
      services.tryGet(target.service)?.queue.recordRefused(target),
    refresh,
    recordPeerDemand,
    getOwnDemand: services.getDemand,
    hasTimeFor: stopping.hasTimeFor,
    stop: (endsAt = performance.now()) => stopping.begin(waits.keys(), endsAt),
    describe: services.describe,
  };

  function enter(request: QueuedRequest): QueueEntry {
    const state = services.record(request);
    const { queue } = state;
    let place: Place | undefined;
    const cost = sizes.record(request.service, request.tokens);
    const firstArrivedAt = refusals.tryTake(request.returnKey) ??
      request.arrivedAt;
    const waiter: QueueWaiter = {
      ...{ request, cost, firstArrivedAt },
      times: getTimesIn(state, request, { firstArrivedAt, cost }),
      start: (target) => {
        place = createPlace(request, target);
        waits.get(waiter)?.({ kind: "place", place });
      },
    };
    queue.add(waiter);
    queue.refresh();
    if (place !== undefined) return { kind: "place", place };
    const reason = tryGetRefusalReason(waiter);
    if (reason !== undefined) {
      const refusal = { reason, waitMs: getWaitMs(request) };
      queue.remove(waiter);
      recordRefusal(waiter, reason);
      return { kind: "refused", refusal };
    }
    const position = queue.countAhead(request.priorityClass);
    return {
      ...{ kind: "waiting", position, end: startWait(waiter) },
      leave: () => {
        if (queue.remove(waiter)) waits.get(waiter)?.({ kind: "left" });
      },
    };
  }

  function preview(request: QueuedRequest): QueuePreview {
    const { service, priorityClass, tokens } = request;
    const state = services.peek(request);
    const cost = sizes.getCost(service, tokens);
    const firstArrivedAt = refusals.tryGet(request.returnKey) ??
      request.arrivedAt;
    const times = getTimesIn(state, request, { firstArrivedAt, cost });
    const targets = state.queue.tryPreviewTargets(request);
    if (targets !== undefined) return { kind: "place", targets };
    const waitMs = getWaitMsIn(state, priorityClass, 1);
    const position = state.queue.countAhead(priorityClass) + 1;
    const beginsAt = performance.now() + waitMs;
    const reason = !stopping.mayBegin({ request }, beginsAt)
      ? "stopping"
      : beginsAt > times.latestAt
      ? "late"
      : hasSpace(request) || tryGetYielding(request) !== undefined
      ? undefined
      : "full";
    return reason === undefined
      ? { kind: "waiting", position, waitMs }
      : { kind: "refused", refusal: { reason, waitMs } };
  }

  function createPlace(
    request: QueuedRequest,
    target: DirectTarget | undefined,
  ): Place {
    const { service, priorityClass, isStream } = request;
    const startedAt = performance.now();
    const state = services.tryGet(service);
    let isEnded = false;
    return { target, recordFirstEvent: recordResponse, end };

    function recordResponse(): void {
      if (state === undefined) return;
      const { responseMs, runMs } = state;
      const tookMs = performance.now() - startedAt;
      const known = responseMs.get(priorityClass) ??
        getFirstResponseMs(request, runMs);
      const mean = known + (tookMs - known) * smoothingFactor;
      responseMs.set(priorityClass, mean);
    }

    function end(): void {
      if (isEnded || state === undefined) return;
      isEnded = true;
      if (!isStream) recordResponse();
      state.queue.end(priorityClass);
      state.queue.refresh();
    }
  }

  function enterUnheld(request: QueuedRequest): Place {
    services.record(request).queue.begin(request.priorityClass);
    return createPlace(request, undefined);
  }

  function tryGetRefusalReason(
    waiter: QueueWaiter,
  ): QueueRefusalReason | undefined {
    const { request, times } = waiter;
    const beginsAt = performance.now() + getWaitMs(request);
    if (!stopping.mayBegin(waiter, beginsAt)) return "stopping";
    if (beginsAt > times.latestAt) return "late";
    return makeWay(waiter) ? undefined : "full";
  }

  /** Returns the expected wait of a request, in milliseconds. */
  function getWaitMs({ service, priorityClass }: QueuedRequest): number {
    const state = services.tryGet(service);
    return state === undefined ? 0 : getWaitMsIn(state, priorityClass);
  }

  /** Makes room for a request in the queue; false when others come first. */
  function makeWay({ request }: QueueWaiter): boolean {
    while (!hasSpace(request)) {
      const last = tryGetYielding(request);
      if (last === undefined) return false;
      refuseWaiter(last, "displaced");
    }
    return true;
  }

  function hasSpace({ bytes }: QueuedRequest): boolean {
    return waits.size < maxWaiting && waitingBytes + bytes <= maxWaitingBytes;
  }

  /** Returns the request that gives way to another; undefined when none does. */
  function tryGetYielding(request: QueuedRequest): Waiter | undefined {
    const last = services.getLongestQueue()?.tryGetLast();
    return last !== undefined && givesWay(last, request) ? last : undefined;
  }

  /** A request gives way to more urgent ones and to workspaces with fewer. */
  function givesWay(last: Waiter, request: QueuedRequest): boolean {
    const { service, priorityClass, workspace } = last.request;
    if (!waits.has(last)) return false;
    if (priorityClass !== request.priorityClass) {
      return priorityClass > request.priorityClass;
    }
    if (service !== request.service) return true;
    const queue = services.tryGet(service)?.queue;
    return queue !== undefined && workspace !== request.workspace &&
      queue.countOfWorkspace(last.request) > queue.countOfWorkspace(request);
  }

  /** Holds a request that stays in the queue until its wait ends. */
  function startWait(waiter: QueueWaiter): Promise<WaitEnd> {
    const { request: { service, priorityClass, bytes }, times } = waiter;
    const startedAt = performance.now();
    const timer = setTimeout(
      () => refuseWaiter(waiter, "late"),
      Math.max(0, times.latestAt - startedAt),
    );
    waitingBytes += bytes;
    holds.recordHeld(service);
    refreshTimer ??= setInterval(refreshHeld, refreshIntervalMs).unref();
    return new Promise((resolve) => {
      waits.set(waiter, (end) => {
        clearTimeout(timer);
        waits.delete(waiter);
        waitingBytes -= bytes;
        metrics.record("queue_wait_ms", performance.now() - startedAt, {
          priority: String(priorityClass),
        });
        if (end.kind === "refused") recordRefusal(waiter, end.refusal.reason);
        resolve(end);
      });
      stopping.watch(waiter);
    });
  }

  function refuseWaiter(waiter: Waiter, reason: QueueRefusalReason): void {
    const { request } = waiter;
    const waitMs = getWaitMs(request);
    if (services.tryGet(request.service)?.queue.remove(waiter) !== true) return;
    const refusal = { reason, waitMs };
    waits.get(waiter)?.({ kind: "refused", refusal });
  }

  function recordRefusal(
    { request, firstArrivedAt }: QueueWaiter,
    reason: QueueRefusalReason,
  ): void {
    refusals.record(request.returnKey, firstArrivedAt);
    metrics.count("queue_refusals_total", { reason });
  }

  /** Looks for room and stops to do so once nothing has waited for a while. */
  function refreshHeld(): void {
    refreshes++;
    if (refreshes % refreshesPerTargetCheck === 0) refresh();
    services.forEach(({ queue }, service) => {
      queue.refresh();
      holds.check(service, queue.getWaiting());
    });
    if (waits.size > 0 || holds.isHolding()) return;
    clearInterval(refreshTimer);
    refreshTimer = undefined;
  }

  function refresh(): void {
    services.forEach(({ queue }) => {
      queue.recordTargets();
      queue.refresh();
    });
  }

  function recordPeerDemand(
    peer: string,
    demands: readonly ServiceDemand[],
  ): void {
    peers.recordReport(peer, demands);
    const now = performance.now();
    if (waits.size === 0 || now - reportRefreshedAt < minReportRefreshMs) {
      return;
    }
    reportRefreshedAt = now;
    services.forEach(({ queue }) => queue.refresh());
  }
}
