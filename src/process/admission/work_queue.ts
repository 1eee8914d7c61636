/**
 * Runs admitted work in a bounded number of slots and queues the rest. Keeps
 * goodput under sustained overload: work that would miss its deadline is
 * refused on arrival, with the delay after which a retry may succeed.
 */

import PQueue from "p-queue";
import type { Refusal } from "../../types/response.ts";
import { priorities, type Priority } from "../../types/work.ts";
import { createThroughputEstimator } from "./throughput_estimator.ts";
import {
  createFairQueue,
  type FairQueueHost,
  type WaitingWork,
} from "./fair_queue.ts";

/** Limits and weights, read each time they are needed. */
export interface WorkQueueHost extends FairQueueHost {
  /** Returns how many requests the target runs at the same time. */
  getSlots(): number;
  /** Returns how many requests may wait. */
  getQueueLimit(): number;
}

/** A request for a slot. */
export interface Job {
  readonly priority: Priority;
  readonly workspace: string;
  /** Estimated work, in work units. */
  readonly cost: number;
  /** Time by which the work must be done, in epoch milliseconds. */
  readonly deadlineAt: number;
  /** True when it may run only while no other exclusive job runs. */
  readonly exclusive: boolean;
  /** Does the work; the slot is freed when the promise resolves. */
  run(): Promise<void>;
  /** Called when a waiting job is refused and will not run. */
  onRefused(refusal: Refusal): void;
}

/** Whether a job was admitted to the queue. */
export type QueueDecision =
  | { readonly kind: "admitted"; withdraw(): void }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** The slots of one target and the work that waits for them. */
export interface WorkQueue {
  add(job: Job): QueueDecision;
  /** Refuses all waiting jobs with a code. */
  refuseQueued(code: Refusal["code"]): void;
  /** Applies a changed number of slots. */
  refresh(): void;
  getWaiting(): number;
  getRunning(): number;
  /** Returns the retry-after delay for `cost` work units, in milliseconds. */
  estimateRetryAfterMs(cost: number): number;
}

/** Queue places that a workspace of weight 1 may hold per free place. */
const workspacePlacesPerFreePlace = 2;

/** Bounds of the retry-after delay, in milliseconds. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 30_000;

/** A waiting job with the timer that refuses it. */
interface QueuedJob {
  readonly job: Job;
  readonly start: () => Promise<unknown>;
  expiryTimer: ReturnType<typeof setTimeout> | undefined;
}

/** Creates a queue with all slots free. */
export function createWorkQueue(host: WorkQueueHost): WorkQueue {
  const waiting = createFairQueue<QueuedJob>(host);
  const waitingByJob = new Map<Job, WaitingWork<QueuedJob>>();
  const throughput = createThroughputEstimator();
  let running = 0;
  let exclusiveRunning = 0;
  let addedJob: Job | undefined;
  const slots = new PQueue({
    concurrency: host.getSlots(),
    queueClass: asQueueClass({
      get size() {
        return waiting.getSize();
      },
      enqueue,
      dequeue: () => waiting.take(mayStart)?.start,
      filter: () => [],
      setPriority: () => undefined,
    }),
  });

  return {
    add,
    refuseQueued,
    refresh: () => {
      slots.concurrency = host.getSlots();
    },
    getWaiting: () => waiting.getSize(),
    getRunning: () => running,
    estimateRetryAfterMs: (cost) =>
      clampRetryAfter(throughput.estimateCompletionMs(cost)),
  };

  function add(job: Job): QueueDecision {
    const refusal = tryGetRefusal(job);
    if (refusal !== undefined) return { kind: "refused", refusal };
    addedJob = job;
    void slots.add(() => run(job));
    addedJob = undefined;
    return { kind: "admitted", withdraw: () => withdraw(job) };
  }

  function tryGetRefusal(job: Job): Refusal | undefined {
    if (job.deadlineAt <= Date.now()) {
      return createRefusal("deadline_passed", 0);
    }
    if (hasFreeSlot(job)) return undefined;
    if (!hasPlace(job)) {
      return createRefusal(
        "target_full",
        throughput.estimateCompletionMs(job.cost),
      );
    }
    // Work that would end too late takes slots from work that ends in time.
    const waitMs = throughput.estimateCompletionMs(waiting.estimateAhead(job));
    const slackMs = getLatestStartAt(job) - Date.now();
    if (waitMs <= slackMs) return undefined;
    return createRefusal("queue_wait_too_long", waitMs - slackMs);
  }

  /**
   * Returns true when the job's priority and workspace may hold one more place.
   * Their thresholds are proportional to the free places, so some stay free
   * for other workspaces, and work with late deadlines cannot fill the queue.
   */
  function hasPlace({ priority, workspace }: Job): boolean {
    const free = host.getQueueLimit() - waiting.getSize();
    const sizes = waiting.getSizes(priority, workspace);
    const weight = host.getWorkspaceWeight(workspace);
    return sizes.inPriority < free * getRelativeWeight(priority) &&
      sizes.inWorkspace < free * workspacePlacesPerFreePlace * weight;
  }

  /** Returns the weight of a priority relative to the lowest weight. */
  function getRelativeWeight(priority: Priority): number {
    const weights = priorities.map(host.getPriorityWeight);
    const minWeight = Math.min(...weights);
    return minWeight > 0 ? host.getPriorityWeight(priority) / minWeight : 1;
  }

  function getLatestStartAt(job: Job): number {
    return job.deadlineAt - throughput.estimateSlotMs(job.cost);
  }

  function hasFreeSlot(job: Job): boolean {
    return running < host.getSlots() &&
      !(job.exclusive && exclusiveRunning > 0);
  }

  function enqueue(start: () => Promise<unknown>): void {
    if (addedJob === undefined) throw new Error("jobs must be added by add()");
    const job = addedJob;
    const queued: QueuedJob = { job, start, expiryTimer: undefined };
    queued.expiryTimer = setTimeout(
      () => refuseIfWaiting(job, createRefusal("queue_wait_too_long", 0)),
      getLatestStartAt(job) - Date.now(),
    );
    const { priority, workspace, cost } = job;
    const work = { priority, workspace, cost, item: queued };
    waitingByJob.set(job, work);
    waiting.add(work);
  }

  function mayStart({ job }: QueuedJob): boolean {
    return !job.exclusive || exclusiveRunning === 0;
  }

  async function run(job: Job): Promise<void> {
    clearTimeout(waitingByJob.get(job)?.item.expiryTimer);
    waitingByJob.delete(job);
    running++;
    if (job.exclusive) exclusiveRunning++;
    const startedAt = Date.now();
    throughput.recordRunning(running);
    try {
      await job.run();
    } finally {
      running--;
      if (job.exclusive) exclusiveRunning--;
      const tookMs = Date.now() - startedAt;
      throughput.recordFinished({ cost: job.cost, tookMs, running });
    }
  }

  function withdraw(job: Job): boolean {
    const work = waitingByJob.get(job);
    if (work === undefined) return false;
    clearTimeout(work.item.expiryTimer);
    waitingByJob.delete(job);
    return waiting.remove(work);
  }

  function refuseIfWaiting(job: Job, refusal: Refusal): void {
    if (withdraw(job)) job.onRefused(refusal);
  }

  function refuseQueued(code: Refusal["code"]): void {
    waiting.forEach(({ job }) => refuseIfWaiting(job, createRefusal(code, 0)));
  }
}

function createRefusal(code: Refusal["code"], retryAfterMs: number): Refusal {
  return { kind: "refusal", code, retryAfterMs: clampRetryAfter(retryAfterMs) };
}

function clampRetryAfter(ms: number): number {
  return Math.round(
    Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)),
  );
}

/** The interface that the library requires of a queue. */
interface LibraryQueue {
  readonly size: number;
  enqueue(start: () => Promise<unknown>): void;
  dequeue(): (() => Promise<unknown>) | undefined;
  filter(): (() => Promise<unknown>)[];
  setPriority(): void;
}

/** Wraps a queue in a class, as the library constructs its queue itself. */
function asQueueClass(queue: LibraryQueue): new () => LibraryQueue {
  return function construct() {
    return queue;
  } as unknown as new () => LibraryQueue;
}
