/**
 * Replays requests at a fleet whose targets crash, through the routers' records of
 * crashes and the digests in which they travel. Needs paused time.
 */

import {
  type CrashSuspects,
  createCrashSuspects,
} from "../../src/process/direct/crashes/crash_suspects.ts";
import {
  createQuarantine,
  type Quarantine,
} from "../../src/process/direct/crashes/quarantine.ts";
import {
  createDigestPace,
  type DigestPace,
} from "../../src/process/direct/peers/digest_pace.ts";
import {
  createDigestWriter,
  type DigestState,
  type DigestWriter,
  tryDecodeDigest,
} from "../../src/process/direct/peers/peer_digests.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createMetrics } from "../../src/process/telemetry/metrics.ts";
import {
  createDirectQuarantine,
  type DirectQuarantine,
  type QuarantineAttempt,
} from "../../src/request/direct_quarantine.ts";
import type { DirectRequest } from "../../src/types/direct_request.ts";
import type { DirectTarget } from "../../src/types/direct_target.ts";
import { createRequest, createRoute, createTarget } from "./direct.ts";

/** Step of the replay, that of the routers' decision about digests, in ms. */
const stepMs = 60;

/** Time for which a crashed target is down, in milliseconds. */
const downMs = 2_000;

/** Fraction of a request's run after which its response begins. */
const responseBeginsAt = 0.1;

/** One kind of requests that come again with the same body. */
export interface RepeatedRequest {
  readonly path: string;
  /** Time between two, in milliseconds; the next may come before an end. */
  readonly gapMs: number;
  readonly runMs: number;
  /** How a run ends: by a whole response, or by a crash of its target. */
  readonly end: "served" | "crash_before_event" | "crash_after_event";
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
}

interface Router {
  readonly id: string;
  readonly suspects: CrashSuspects;
  readonly quarantine: Quarantine;
  readonly writer: DigestWriter;
  readonly pace: DigestPace;
  /** Bytes of crash records sent, by second. */
  readonly bytes: number[];
}

interface Run {
  readonly request: RepeatedRequest;
  readonly quarantine: DirectQuarantine;
  readonly attempt: QuarantineAttempt;
  readonly target: DirectTarget;
  readonly startedAt: number;
  hasBegun: boolean;
}

const emptyState: DigestState = {
  ...{ position: { era: 1, revision: 1 }, isSettled: true, isWatching: false },
  ...{ storeContactMs: 0, storeAgeMs: undefined, lostEntries: 0 },
  ...{ leaves: [], limits: [], paces: [], loads: new Map() },
  ...{ demands: [], partRates: [] },
};

/** Runs a replay. */
export async function replayCrashes(
  replay: CrashReplay,
): Promise<CrashReplayResult> {
  const startedAt = performance.now();
  let lives = 0;
  const routers = Array.from({ length: replay.routers }, createRouter);
  const route = createRoute();
  const sentAt = new Map<string, number[]>();
  const crashedAt = new Map<string, number[]>();
  const refused = new Map<string, number>();
  const down = new Map<string, number>();
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
    startRequests();
    await endRuns();
    await crashHerd();
    routers.forEach(sendWhenDue);
    jest.advanceTimersByTime(stepMs);
  }
  const seconds = replay.lengthMs / 1_000;
  const totals = routers.map(({ bytes }) =>
    bytes.reduce((sum, count) => sum + count, 0)
  );
  return {
    ...{ sentAt, crashedAt, refused },
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

  function createRouter(_: unknown, rank: number): Router {
    const id = `router-${rank}`;
    const writer = createDigestWriter(id);
    return {
      ...{ id, writer, pace: createDigestPace() },
      bytes: Array.from(
        { length: Math.ceil(replay.lengthMs / 1_000) },
        () => 0,
      ),
      suspects: createCrashSuspects({
        log: createSilentLog(),
        report: writer.queueCrash,
      }),
      quarantine: createQuarantine({
        log: createSilentLog(),
        metrics: createMetrics(),
        tryGetTrialDelayMs: () => rank * 250,
        announce: () => undefined,
      }),
    };
  }

  function startRequests(): void {
    for (const [request, at] of nextAt) {
      if (getNow() < at) continue;
      nextAt.set(request, at + request.gapMs);
      start(request);
    }
  }

  function start(request: RepeatedRequest): void {
    const router = routers[replay.chooseRouter(sent++)] as Router;
    const quarantine = createDirectQuarantine({
      crashes: router.suspects,
      quarantine: router.quarantine,
      targetCrashes: { check: () => Promise.resolve(true) } as never,
    }, createRequest(route, { path: request.path }) as DirectRequest);
    const running = targets.filter(({ id }) => !down.has(id));
    const target = running[replay.chooseTarget(running.length)];
    if (target === undefined) return;
    const attempt = quarantine.beginAttempt(target);
    if (quarantine.tryRefuse() !== undefined || attempt.isQuarantined()) {
      refused.set(request.path, (refused.get(request.path) ?? 0) + 1);
      return;
    }
    push(sentAt, request.path);
    const startedAt = getNow();
    const run = { request, quarantine, attempt, target, startedAt };
    runs.push({ ...run, hasBegun: false });
  }

  async function endRuns(): Promise<void> {
    const crashed = new Set<DirectTarget>();
    for (const run of runs) {
      const { request: { runMs, end, path }, quarantine } = run;
      const ranMs = getNow() - run.startedAt;
      if (!run.hasBegun && ranMs >= runMs * responseBeginsAt) {
        run.hasBegun = end !== "crash_before_event";
        if (run.hasBegun) run.attempt.recordResponseBegun();
      }
      if (ranMs < runMs) continue;
      if (end === "served") quarantine.recordResponse();
      else if (!crashed.has(run.target)) {
        crashed.add(run.target);
        push(crashedAt, path);
      }
    }
    await crash(crashed);
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
  async function crash(crashed: ReadonlySet<DirectTarget>): Promise<void> {
    if (crashed.size === 0) return;
    const lost = runs.filter(({ target }) => crashed.has(target));
    runs = runs.filter(({ target }) => !crashed.has(target));
    targets = targets.map((target, index) => {
      if (!crashed.has(target)) return target;
      down.set(target.id, getNow() + downMs);
      return createLife(index);
    });
    for (const { attempt } of lost) void attempt.recordLoss();
    await Promise.resolve();
    await Promise.resolve();
    for (const { quarantine } of lost) quarantine.end();
  }

  function sendWhenDue(router: Router): void {
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
