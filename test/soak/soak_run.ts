/** Runs one seed of a soak: routers as processes, all else in this process. */

import { cpSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { sleep } from "../harness/wait.ts";
import { createSeededRandom } from "../support/seeded_random.ts";
import { type CallersHost, startCallers } from "./callers.ts";
import { startCrashingCallers } from "./crashing_callers.ts";
import { startOddCaller } from "./odd_callers.ts";
import { runFault } from "./fault_actions.ts";
import { judge } from "./judge.ts";
import { createJudgeContext, type Violation } from "./judge_context.ts";
import { startLoopClock } from "./loop_clock.ts";
import type {
  Arrival,
  AskedPauseNotice,
  CallerRequest,
  LimitNotice,
  LimitSpan,
  Observations,
  TargetLife,
} from "./observations.ts";
import { createOperator } from "./operator.ts";
import { createRouterProcess } from "./router_process.ts";
import { type LongCallerCounts, startLongCallers } from "./long_callers.ts";
import {
  createAddedFaults,
  createLoneCutSchedule,
  createLossSchedule,
  createPlannedSchedule,
  createSchedule,
  createUploadFaults,
  type Fault,
  formatFault,
  isLoneCutSeed,
  isLossSeed,
  isPlannedSeed,
} from "./schedule.ts";
import { allocateNetwork } from "./soak_network.ts";
import { startSoakStore } from "./soak_store.ts";
import { createSoakTarget } from "./soak_target.ts";

/** Size and length of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly routers: number;
  readonly targets: number;
  readonly durationMs: number;
  /** Path of the routers' program. */
  readonly program: string;
  /** Folder for the settings and logs; removed unless a rule is broken. */
  readonly directory: string;
}

/** The outcome of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly served: number;
  readonly faults: number;
  /** Requests that were sent while their router was in touch. */
  readonly inTouch: number;
  /** Processes of routers that ended without being told to. */
  readonly ownExits: number;
  /** Ends of the logs of these; the logs are kept in a folder of their own. */
  readonly ownExitLogs: readonly string[];
  /** Longest time for which the observing process was busy. */
  readonly longestBusyMs: number;
}

/** Callers per router, and of all routers together at most. */
const callerCounts = { perRouter: 9, most: 120 } as const;

/** Callers whose requests last long, per router. */
const longCallerCounts: LongCallerCounts = {
  ...{ stream: 1, slowReader: 0, pieces: 0, chunkedPieces: 1 },
};

/**
 * Callers beside planned work: few ask often, so that repeats of the others may
 * use up what is granted.
 */
const plannedCounts = {
  perRouter: 2,
  long: { stream: 6, slowReader: 1, pieces: 1, chunkedPieces: 1 },
} as const;

/** Interval between configurations outside of storms, in milliseconds. */
const changeIntervalMs = 900;

/** Most targets of one service. */
const targetsPerService = 20;

/** Time for routers to become ready, in milliseconds. */
const startMs = 2_500;

/** Time after the last fault until the callers stop, in milliseconds. */
const settleMs = 3_500;

/** Runs one seed; leaves no process behind. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, directory, program } = options;
  const createRandom = (stream: number): () => number =>
    createSeededRandom(seed * 1_000 + stream);
  rmSync(directory, { recursive: true, force: true });
  mkdirSync(directory, { recursive: true });
  const network = await allocateNetwork();
  const clock = startLoopClock();
  const store = await startSoakStore();
  const arrivals: Arrival[] = [];
  const pauses: AskedPauseNotice[] = [];
  const limits: LimitSpan[] = [];
  const limitNotices: LimitNotice[] = [];
  const lives: TargetLife[] = [];
  const requests: CallerRequest[] = [];
  const serviceCount = Math.ceil(options.targets / targetsPerService);
  const services = range(Math.max(2, serviceCount))
    .map((index) => `service-${index}`);
  const targets = range(options.targets).map((index) =>
    createSoakTarget(
      {
        ...{ store, clock, arrivals, pauses, limits, limitNotices, lives },
        random: createRandom(100 + index),
      },
      {
        ...{ index, address: `${network}.${100 + index}` },
        service: services[index % services.length] ?? "",
      },
    )
  );
  const addresses = range(options.routers).map((index) =>
    `${network}.${1 + index}`
  );
  const storeAddresses = await Promise.all(addresses.map(store.listen));
  const routers = addresses.map((address, index) =>
    createRouterProcess({
      ...{ id: `r${index}`, address, seeds: addresses.slice(0, 3) },
      storeAddress: storeAddresses[index] ?? "",
      ...{ store, program, directory },
    })
  );
  const operator = createOperator({ store, random: createRandom(1) }, services);
  const isPlanned = isPlannedSeed(seed);
  const watches: (() => void)[] = [];
  const schedule = drawSchedule()
    .sort((left, right) => left.atMs - right.atMs);
  const createHost = (stream: number): CallersHost => ({
    ...{ routers, services, requests, random: createRandom(stream) },
    run: `q${seed}`,
  });

  try {
    await operator.change();
    await Promise.all(targets.map((target) => target.start()));
    routers.forEach((router) => router.start());
    watches.push(...routers.map((router) => router.watchStarvation()));
    await sleep(startMs);
    const startedAt = performance.now();
    await play();
    const longestBusyMs = Math.round(clock.getLongestBusyMs());
    return finish({
      ...{ startedAt, requests, arrivals, pauses, limits, limitNotices },
      ...{ lives, routers },
      ...{ versions: operator.versions, entries: store.entries },
      ...{ storeSpans: store.spans, largeSpans: store.largeSpans },
      ...{ evacuations: store.evacuations, busySpans: clock.busySpans },
    }, longestBusyMs);
  } finally {
    operator.stop();
    clock.stop();
    watches.forEach((stopWatch) => stopWatch());
    await Promise.all(routers.map((router) => router.end()));
    await Promise.all(targets.map((target) => target.close()));
    await store.close();
  }

  /** Draws each part from a source of its own, so that others stay the same. */
  function drawSchedule(): Fault[] {
    if (isLossSeed(seed, options)) {
      return [...createLossSchedule(createRandom(9), options)];
    }
    if (isLoneCutSeed(seed, options)) {
      return [...createLoneCutSchedule(createRandom(11), options)];
    }
    const uploads = createUploadFaults(createRandom(8), options);
    return isPlanned
      ? [...createPlannedSchedule(createRandom(5), options), ...uploads]
      : [
        ...createSchedule(createRandom(2), options),
        ...createAddedFaults(createRandom(5), options),
        ...uploads,
      ];
  }

  async function play(): Promise<void> {
    const perRouter = (isPlanned ? plannedCounts : callerCounts).perRouter;
    const stops = [
      startCallers(
        createHost(3),
        Math.min(callerCounts.most, options.routers * perRouter),
      ),
      startLongCallers(
        createHost(6),
        isPlanned ? plannedCounts.long : longCallerCounts,
      ),
      startOddCaller(createHost(10)),
      // Targets that crash are no planned work.
      ...(isPlanned ? [] : [startCrashingCallers(createHost(4))]),
    ];
    const callers = createHost(7);
    const changes = setInterval(() => void operator.change(), changeIntervalMs);
    const faults = schedule.map(async (fault) => {
      await sleep(fault.atMs);
      await runFault({ callers, routers, targets, store, operator }, fault);
    });
    await Promise.all([sleep(durationMs), ...faults]);
    await sleep(settleMs);
    clearInterval(changes);
    await Promise.all(stops.map((stop) => stop()));
  }

  function finish(
    observations: Observations,
    longestBusyMs: number,
  ): SoakResult {
    const violations = judge(observations);
    const { isInTouch } = createJudgeContext(observations);
    const ownExits = routers.map((router) => router.countOwnExits())
      .reduce((sum, count) => sum + count, 0);
    const lines = [
      ...schedule.map(formatFault),
      ...violations.map(({ rule, text }) => `${rule} ${text}`),
    ];
    writeFileSync(`${directory}/trace.txt`, `${lines.join("\n")}\n`);
    if (violations.length === 0 && ownExits === 0) {
      rmSync(directory, { recursive: true });
    }
    // The next run of the seed replaces the folder.
    if (ownExits > 0) {
      cpSync(directory, `${directory}_ended_${Date.now()}`, {
        recursive: true,
      });
    }
    return {
      ...{ seed, violations, ownExits, longestBusyMs },
      ownExitLogs: routers.flatMap((router) => router.getOwnExitLogs()),
      requests: requests.length,
      served: requests.filter(({ result }) => result?.status === 200).length,
      faults: schedule.length,
      inTouch:
        requests.filter(({ router, sentAt }) => isInTouch(router, sentAt))
          .length,
    };
  }
}

function range(length: number): readonly number[] {
  return Array.from({ length }, (_, index) => index);
}
