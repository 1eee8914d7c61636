/**
 * Replays requests at a fleet whose targets crash, through the routers' records of
 * crashes and the digests in which they travel. Needs paused time.
 */

import {
  type DigestState,
  tryDecodeDigest,
} from "../../src/process/direct/peers/peer_digests.ts";
import {
  createDirectQuarantine,
  type DirectQuarantine,
  type QuarantineAttempt,
} from "../../src/request/direct_quarantine.ts";
import type { DirectTarget } from "../../src/types/direct_target.ts";
import type { Prompt } from "../../src/types/prompt.ts";
import { type CrashRouter, createCrashRouter } from "./crash_router.ts";
import { createRequest, createRoute, createTarget } from "./direct.ts";
import { createFleetStore } from "./fleet_store.ts";

/** Step of the replay, that of the routers' decision about digests, in ms. */
const stepMs = 60;

/** Time for which a crashed target is down, in milliseconds. */
const downMs = 2_000;

/** Time from a crash to the removal of the target's entry, in milliseconds. */
const entryLapseMs = 3_600;

/** Time after which a request is answered or ended, in milliseconds. */
const deadlineMs = 15_000;

/** Fraction of a request's run after which its response begins. */
const responseBeginsAt = 0.1;

/** One kind of requests that come again with the same body. */
export interface RepeatedRequest {
  readonly path: string;
  /** What results count it as; its path by default. */
  readonly name?: string;
  /** Returns the prompt that it comes with, by how often it has come. */
  createPrompt?(count: number): Prompt;
  /** Time between two, in milliseconds; the next may come before an end. */
  readonly gapMs: number;
  readonly runMs: number;
  /** How a run ends: by a whole response, or by a crash of its target. */
  readonly end: "served" | "crash_before_event" | "crash_after_event";
  /** Callers that leave: the time after which, and one of how many does. */
  readonly leaves?: { readonly afterMs: number; readonly oneOf: number };
}

/** Size and load of a replay. */
export interface CrashReplay {
  readonly routers: number;
  readonly targets: number;
  readonly lengthMs: number;
  readonly requests: readonly RepeatedRequest[];
  /** Returns the index of the router that gets a request. */
  chooseRouter(sent: number): number;
  /** Returns the index of a running target, of so many. */
  chooseTarget(running: number): number;
  /** When all routers are killed: so long after a crash of `path`, by its number. */
  readonly kill?: {
    readonly path: string;
    readonly crash: number;
    readonly afterMs: number;
  };
  /** False without the withdrawals of losses, which digests carry too. */
  readonly withdrawsLosses?: boolean;
  /** Times at which targets crash by themselves, and the share that does. */
  readonly herds?: readonly { readonly atMs: number; readonly share: number }[];
}

/** What was sent and refused, by path, and what the records took. */
export interface CrashReplayResult {
  readonly sentAt: ReadonlyMap<string, readonly number[]>;
  readonly crashedAt: ReadonlyMap<string, readonly number[]>;
  readonly refused: ReadonlyMap<string, number>;
  /** Bytes of crash records that a router sent, a second, on average. */
  readonly bytesPerS: number;
  /** The same in the second in which a router sent most. */
  readonly peakBytesPerS: number;
  /** Probes of targets that may run what was aborted, a second and router. */
  readonly probesPerS: number;
  /** Writes to the store by all routers, and most of them in one second. */
  readonly writes: number;
  readonly peakWritesPerS: number;
  /** When all routers were killed. */
  readonly killedAt: number | undefined;
}

interface Run {
  readonly request: RepeatedRequest;
  readonly quarantine: DirectQuarantine;
  readonly attempt: QuarantineAttempt;
  readonly target: DirectTarget;
  readonly startedAt: number;
  /** When its caller leaves; infinite for one that stays. */
  readonly leavesAt: number;
  recordResponse(): void;
  hasBegun: boolean;
  hasLeft: boolean;
}

const emptyState: DigestState = {
  ...{ position: { era: 1, revision: 1 }, isSettled: true, isWatching: false },
  ...{
    storeContactMs: 0,
    storeAgeMs: undefined,
    storeSilentMs: 0,
    lostEntries: 0,
  },
  ...{ leaves: [], limits: [], paces: [], loads: new Map() },
  ...{ demands: [], partRates: [] },
};

/** Runs a replay. */
export async function replayCrashes(
  replay: CrashReplay,
): Promise<CrashReplayResult> {
  const startedAt = performance.now();
  let lives = 0;
  const store = createFleetStore(() => routers);
  let routers = Array.from({ length: replay.routers }, createRouter);
  let killedAt: number | undefined;
  const route = createRoute();
  const sentAt = new Map<string, number[]>();
  const crashedAt = new Map<string, number[]>();
  const refused = new Map<string, number>();
  const down = new Map<string, number>();
  /** Crashed processes that still have an entry, with the time of its removal. */
  const lapsesAt = new Map<DirectTarget, number>();
  const removed = new Set<DirectTarget>();
  const crashed = new Set<DirectTarget>();
  let probes = 0;
  const counts = new Map<RepeatedRequest, number>();
  const herds = [...replay.herds ?? []];
  const nextAt = new Map(
    replay.requests.map((request, index) => [
      request,
      // Spread, so that they don't all come at once.
      (index % 97) / 97 * request.gapMs,
    ]),
  );
  let targets = Array.from(
    { length: replay.targets },
    (_, index) => createLife(index),
  );
  let runs: Run[] = [];
  let sent = 0;

  while (getNow() < replay.lengthMs) {
    killRouters();
    startRequests();
    leave();
    await endRuns();
    await crashHerd();
    await removeEntries();
    routers.forEach(sendWhenDue);
    jest.advanceTimersByTime(stepMs);
    await Promise.resolve();
    await Promise.resolve();
  }
  routers.forEach(({ evidenceStore }) => evidenceStore.stop());
  const seconds = replay.lengthMs / 1_000;
  const totals = routers.map(({ bytes }) =>
    bytes.reduce((sum, count) => sum + count, 0)
  );
  return {
    ...{ sentAt, crashedAt, refused, killedAt },
    ...store.getWrites(),
    probesPerS: probes / seconds / replay.routers,
    bytesPerS: Math.round(Math.max(...totals) / seconds),
    peakBytesPerS: Math.max(
      ...routers.map(({ bytes }) => Math.max(...bytes)),
    ),
  };

  function getNow(): number {
    return performance.now() - startedAt;
  }

  function createLife(index: number): DirectTarget {
    return createTarget(`t${index}`, { startedAtMs: ++lives });
  }

  function createRouter(_: unknown, rank: number): CrashRouter {
    return createCrashRouter({
      ...{ rank, store, routers: replay.routers },
      seconds: Math.ceil(replay.lengthMs / 1_000),
      checkAborted: (target) => {
        probes++;
        return Promise.resolve(crashed.has(target));
      },
      hasEntry: (target) => !removed.has(target),
    });
  }

  /** Kills all routers, with what they know; new ones read the store. */
  function killRouters(): void {
    if (replay.kill === undefined || killedAt !== undefined) return;
    const { path, crash: number, afterMs } = replay.kill;
    const at = crashedAt.get(path)?.[number - 1] ?? Infinity;
    if (getNow() < at + afterMs) return;
    killedAt = getNow();
    routers.forEach(({ evidenceStore }) => evidenceStore.stop());
    routers = Array.from({ length: replay.routers }, createRouter);
    store.tellAll();
    runs.forEach((run) => run.hasLeft = true);
  }

  function startRequests(): void {
    for (const [request, at] of nextAt) {
      if (getNow() < at) continue;
      nextAt.set(request, at + request.gapMs);
      start(request);
    }
  }

  function start(request: RepeatedRequest): void {
    const router = routers[replay.chooseRouter(sent++)] as CrashRouter;
    const deadlineAt = performance.now() + deadlineMs;
    const { path, createPrompt } = request;
    const name = getName(request);
    const count = (counts.get(request) ?? 0) + 1;
    counts.set(request, count);
    const candidate = createRequest(route, {
      ...{ path, deadlineAt, prompt: createPrompt?.(count) },
    });
    const quarantine = createDirectQuarantine({
      crashes: router.suspects,
      quarantine: router.quarantine,
      targetCrashes: {
        check: (target) => {
          router.abortedAttempts.recordCrash(target);
          return Promise.resolve(true);
        },
      },
      abortedAttempts: router.abortedAttempts,
    }, candidate);
    const running = targets.filter(({ id }) => !down.has(id));
    const target = running[replay.chooseTarget(running.length)];
    if (target === undefined) return;
    const attempt = quarantine.beginAttempt(target);
    if (quarantine.tryRefuse() !== undefined || attempt.isQuarantined()) {
      refused.set(name, (refused.get(name) ?? 0) + 1);
      return;
    }
    push(sentAt, name);
    const startedAt = getNow();
    const { afterMs = 0, oneOf = Infinity } = request.leaves ?? {};
    runs.push({
      ...{ request, quarantine, attempt, target, startedAt },
      recordResponse: () => {
        if (replay.withdrawsLosses ?? true) {
          router.suspects.recordResponse(candidate);
        }
        quarantine.recordResponse();
      },
      leavesAt: count % oneOf === 0 ? startedAt + afterMs : Infinity,
      ...{ hasBegun: false, hasLeft: false },
    });
  }

  /** Targets go on with what crashes them, and drop the others. */
  function leave(): void {
    for (const run of runs) {
      if (run.hasLeft || getNow() < run.leavesAt) continue;
      run.hasLeft = true;
      run.attempt.recordAbort();
      run.quarantine.end();
    }
    runs = runs.filter(({ request, hasLeft }) =>
      !hasLeft || request.end !== "served"
    );
  }

  async function endRuns(): Promise<void> {
    const ended = new Set<DirectTarget>();
    for (const run of runs) {
      const { request: { runMs, end } } = run;
      const ranMs = getNow() - run.startedAt;
      if (!run.hasBegun && ranMs >= runMs * responseBeginsAt) {
        run.hasBegun = end !== "crash_before_event";
        if (run.hasBegun && !run.hasLeft) run.attempt.recordResponseBegun();
      }
      if (ranMs < runMs) continue;
      if (end === "served") run.recordResponse();
      else if (!ended.has(run.target)) {
        ended.add(run.target);
        push(crashedAt, getName(run.request));
      }
    }
    await crash(ended);
    runs = runs.filter(({ request, startedAt }) =>
      getNow() - startedAt < request.runMs
    );
    for (const [id, at] of down) if (getNow() >= at) down.delete(id);
  }

  async function crashHerd(): Promise<void> {
    const [herd] = herds;
    if (herd === undefined || getNow() < herd.atMs) return;
    herds.shift();
    const count = Math.ceil(targets.length * herd.share);
    await crash(new Set(targets.slice(0, count)));
  }

  /** Crashes targets, with all that is in flight at them. */
  async function crash(ended: ReadonlySet<DirectTarget>): Promise<void> {
    if (ended.size === 0) return;
    const lost = runs.filter(({ target, hasLeft }) =>
      ended.has(target) && !hasLeft
    );
    runs = runs.filter(({ target }) => !ended.has(target));
    targets = targets.map((target, index) => {
      if (!ended.has(target)) return target;
      down.set(target.id, getNow() + downMs);
      lapsesAt.set(target, getNow() + entryLapseMs);
      crashed.add(target);
      return createLife(index);
    });
    for (const { attempt } of lost) void attempt.recordLoss();
    await Promise.resolve();
    await Promise.resolve();
    for (const { quarantine } of lost) quarantine.end();
  }

  async function removeEntries(): Promise<void> {
    const due = [...lapsesAt].filter(([, at]) => getNow() >= at);
    for (const [target] of due) {
      lapsesAt.delete(target);
      removed.add(target);
    }
    if (due.length === 0) return;
    for (const { abortedAttempts } of routers) abortedAttempts.checkTargets();
    await Promise.resolve();
    await Promise.resolve();
  }

  function sendWhenDue(router: CrashRouter): void {
    const { quarantine, writer, pace, bytes } = router;
    const hasUpdates = writer.getQueueLength() > 0 || quarantine.hasChanges();
    const peers = routers.length - 1;
    if (!pace.trySend({ peers, hasUpdates, isWatcher: false })) return;
    const digest = writer.write(emptyState, quarantine.takeRecords());
    const extra = digest.length - writer.writeResponse(emptyState).length;
    const second = Math.floor(getNow() / 1_000);
    bytes[second] = (bytes[second] ?? 0) + extra * peers;
    if (extra === 0) return;
    const decoded = tryDecodeDigest(digest);
    for (const peer of routers) {
      if (peer === router || decoded === undefined) continue;
      decoded.crashes.forEach(peer.suspects.merge);
      decoded.crashEvidence.forEach(peer.quarantine.merge);
    }
  }

  function push(times: Map<string, number[]>, path: string): void {
    times.set(path, [...times.get(path) ?? [], getNow()]);
  }
}

function getName({ name, path }: RepeatedRequest): string {
  return name ?? path;
}
