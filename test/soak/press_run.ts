/** Runs one seed that presses routers beyond what they can bear. */

import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { sleep } from "../harness/wait.ts";
import { createSeededRandom } from "../support/seeded_random.ts";
import { createJudgeContext, type Violation } from "./judge_context.ts";
import { judgeTimeouts } from "./judge_timeouts.ts";
import { startLoopClock } from "./loop_clock.ts";
import type { Arrival, CallerRequest } from "./observations.ts";
import { createOperator } from "./operator.ts";
import { startPressCallers } from "./press_callers.ts";
import { createRouterProcess } from "./router_process.ts";
import { allocateNetwork } from "./soak_network.ts";
import { startSoakStore } from "./soak_store.ts";
import { createSoakTarget } from "./soak_target.ts";

/** Length and place of a run. */
export interface PressOptions {
  readonly seed: number;
  readonly routers: number;
  readonly durationMs: number;
  /** Path of the routers' program. */
  readonly program: string;
  /** Folder for the settings and logs; removed unless a rule is broken. */
  readonly directory: string;
}

/** The outcome of a run. */
export interface PressResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Number of requests by how they ended: a status, or why there is none. */
  readonly ends: Readonly<Record<string, number>>;
  /** Share of the time in which the machine kept no router from running. */
  readonly judgedShare: number;
  /** Longest time between sending and the end, in milliseconds. */
  readonly longestMs: number;
  readonly ownExits: number;
  /** Longest time for which the observing process was busy. */
  readonly longestBusyMs: number;
}

/** Timeout of all routes, in milliseconds. */
export const pressTimeoutMs = 1_000;

/** Least and most of what a seed draws. */
const drawn = {
  /** Part of a core that a router gets. */
  share: [0.1, 0.3],
  /** Requests a second on new connections, per router. */
  newPerS: [150, 700],
  /** Callers of a router who keep their connections. */
  kept: [5, 60],
} as const;

const targetCount = 4;
const services = ["service-0", "service-1"] as const;

/** Time for routers to become ready, and to get warm with few callers, in ms. */
const startMs = 2_500;
const warmMs = 1_500;

/** Load before the routers are pressed. */
const warmLoad = { newPerS: 20, kept: 4 } as const;

/** Runs one seed; leaves no process behind. */
export async function runPress(options: PressOptions): Promise<PressResult> {
  const { seed, directory, program } = options;
  const random = createSeededRandom(seed * 1_000);
  rmSync(directory, { recursive: true, force: true });
  mkdirSync(directory, { recursive: true });
  const network = await allocateNetwork();
  const clock = startLoopClock();
  const store = await startSoakStore();
  const arrivals: Arrival[] = [];
  const requests: CallerRequest[] = [];
  const targets = Array.from(
    { length: targetCount },
    (_, index) =>
      createSoakTarget({
        ...{ store, clock, arrivals, random: createSeededRandom(seed + index) },
        ...{ pauses: [], limits: [], limitNotices: [], lives: [] },
        ...{ largeSpans: [], evacuations: [] },
      }, {
        ...{ index, address: `${network}.${100 + index}` },
        service: services[index % services.length] ?? "",
      }),
  );
  const addresses = Array.from(
    { length: options.routers },
    (_, index) => `${network}.${1 + index}`,
  );
  const storeAddresses = await Promise.all(addresses.map(store.listen));
  const routers = addresses.map((address, index) =>
    createRouterProcess({
      ...{ id: `r${index}`, address, seeds: addresses.slice(0, 3) },
      storeAddress: storeAddresses[index] ?? "",
      ...{ store, program, directory },
    })
  );
  const operator = createOperator(
    { store, random: createSeededRandom(seed) },
    services,
    { timeoutMs: pressTimeoutMs },
  );
  const share = drawBetween(...drawn.share);
  const load = {
    newPerS: Math.round(drawBetween(...drawn.newPerS)),
    kept: Math.round(drawBetween(...drawn.kept)),
  };

  try {
    await operator.change();
    await Promise.all(targets.map((target) => target.start()));
    routers.forEach((router) => router.start());
    await sleep(startMs);
    const startedAt = performance.now();
    await play(warmLoad, warmMs);
    const releases = routers.map((router) => router.throttle(share));
    await play(load, options.durationMs);
    releases.forEach((release) => release());
    return finish(startedAt);
  } finally {
    operator.stop();
    clock.stop();
    await Promise.all(routers.map((router) => router.end()));
    await Promise.all(targets.map((target) => target.close()));
    await store.close();
  }

  async function play(
    played: Parameters<typeof startPressCallers>[1],
    lengthMs: number,
  ): Promise<void> {
    const stopCallers = startPressCallers({
      ...{ routers, services, requests, random, run: `p${seed}` },
    }, played);
    await sleep(lengthMs);
    await stopCallers();
  }

  function finish(startedAt: number): PressResult {
    const context = createJudgeContext({
      ...{ startedAt, requests, arrivals, routers, storeSpans: [] },
      ...{ pauses: [], limits: [], limitNotices: [], lives: [] },
      ...{ largeSpans: [], evacuations: [] },
      ...{ versions: operator.versions, entries: store.entries },
    });
    const violations = judgeTimeouts(context, { timeoutMs: pressTimeoutMs });
    const ownExits = routers.map((router) => router.countOwnExits())
      .reduce((sum, count) => sum + count, 0);
    const header = `share ${share.toFixed(2)} ${JSON.stringify(load)}`;
    const texts = violations.map(({ rule, text }) => `${rule} ${text}`);
    writeFileSync(`${directory}/trace.txt`, [header, ...texts].join("\n"));
    if (violations.length === 0 && ownExits === 0) {
      rmSync(directory, { recursive: true });
    }
    return {
      ...{ seed, violations, ownExits, ends: countEnds(requests) },
      judgedShare: 1 - getStarvedMs() / (routers.length * options.durationMs),
      longestMs: Math.round(Math.max(...requests.map(getLengthMs))),
      longestBusyMs: Math.round(clock.getLongestBusyMs()),
    };
  }

  function getStarvedMs(): number {
    return routers.flatMap(({ spans }) => spans)
      .filter(({ kind }) => kind === "starved")
      .reduce((sum, { from, to }) => sum + to - from, 0);
  }

  function drawBetween(least: number, most: number): number {
    return least + random() * (most - least);
  }
}

function getLengthMs({ sentAt, result }: CallerRequest): number {
  return (result?.endedAt ?? Infinity) - (result?.openedAt ?? sentAt);
}

function countEnds(
  requests: readonly CallerRequest[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { result } of requests) {
    const name = getEndName(result);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function getEndName(result: CallerRequest["result"]): string {
  if (result?.status !== undefined) return String(result.status);
  if (result?.connection === "none") return "no connection";
  return result?.gaveUp === true ? "no answer" : "closed";
}
