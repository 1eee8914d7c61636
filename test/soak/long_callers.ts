/**
 * Callers whose requests last long: streams that they don't leave, long responses
 * that they read slowly, and long bodies that they send in pieces. They keep their
 * connections until the router's process is gone.
 */

import { Agent } from "node:http";
import { sleep } from "../harness/wait.ts";
import { type CallersHost, send } from "./callers.ts";
import type { CallerRequest, Manner, SoakRouteKind } from "./observations.ts";
import { getLongPrefix, lastingKey } from "./operator.ts";
import type { RouterProcess } from "./router_process.ts";

/** Longest time between two requests of a caller, in milliseconds. */
const maxThinkMs = 200;

/** Time until a caller comes back whom its router has not served, in ms. */
const absenceMs = 800;

/** Least and most events of a stream, and the time between two, in ms. */
const streams = { least: 8, most: 28, stepMs: 180 } as const;

/**
 * Size of a long response in characters, beyond what the buffers of the
 * connection hold.
 */
const longResponseSize = 3_000_000;

/** What the requests of one caller look like. */
interface Habit {
  readonly kind: SoakRouteKind;
  readonly manner: Manner;
  readonly deadlineMs: number;
}

const habits = {
  stream: { kind: "resumable", manner: "plain", deadlineMs: 11_500 },
  slowReader: { kind: "safe", manner: "slow_reader", deadlineMs: 10_000 },
  pieces: { kind: "unsafe", manner: "pieces", deadlineMs: 6_000 },
  chunkedPieces: {
    kind: "unsafe",
    manner: "chunked_pieces",
    deadlineMs: 6_000,
  },
} as const satisfies Record<string, Habit>;

/** Callers of each habit per router. */
export type LongCallerCounts = Readonly<Record<keyof typeof habits, number>>;

/** Starts callers; returns a function that waits for their last requests. */
export function startLongCallers(
  host: CallersHost,
  counts: LongCallerCounts,
): () => Promise<void> {
  let isStopped = false;
  const names = Object.keys(habits) as (keyof typeof habits)[];
  const callers = host.routers.flatMap((router) =>
    names.flatMap((name) =>
      Array.from({ length: counts[name] }, () => runCaller(router, name))
    )
  );

  return async () => {
    isStopped = true;
    await Promise.all(callers);
  };

  /** Sends one request after another to its router, whatever that does. */
  async function runCaller(
    router: RouterProcess,
    name: keyof typeof habits,
  ): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      await sleep(host.random() * maxThinkMs);
      const request = createRequest(host, router, {
        habit: habits[name],
        service: choose(host.services),
      });
      await sendOne(host, request, { router, agent });
      if (request.result?.status !== 200) await sleep(absenceMs);
    }
    agent.destroy();
  }

  function choose<T>(values: readonly T[]): T {
    return values[Math.floor(host.random() * values.length)] as T;
  }
}

/**
 * Sends streams of one service at the same time, spread over the routers, each on
 * a connection that has carried a call before. Resolves when all have ended.
 */
export async function sendBurst(
  host: CallersHost,
  { count, service }: { readonly count: number; readonly service: string },
): Promise<void> {
  const running = host.routers.filter((router) =>
    router.isRunning() && !router.isStopping()
  );
  const routers = running.length > 0 ? running : host.routers;
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    const router = routers[index % routers.length];
    if (router === undefined) return;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const options = { habit: habits.stream, service };
    const call = { ...options.habit, kind: "safe" } as const;
    await sendOne(
      host,
      createRequest(host, router, { habit: call, service }),
      { router, agent },
    );
    await sendOne(host, createRequest(host, router, options), {
      router,
      agent,
    });
    agent.destroy();
  }));
}

async function sendOne(
  host: CallersHost,
  request: CallerRequest,
  options: { readonly router: RouterProcess; readonly agent: Agent },
): Promise<void> {
  host.requests.push(request);
  const path = `${request.prefix}work?${createWork(host, request)}`;
  request.result = await send(request, { ...options, path });
}

function createWork(
  { random }: CallersHost,
  { kind, manner }: CallerRequest,
): string {
  if (manner === "slow_reader") {
    return `events=0&ms=20&size=${longResponseSize}`;
  }
  if (kind !== "resumable") return "events=0&ms=20";
  const { least, most, stepMs } = streams;
  const events = least + Math.floor(random() * (most - least));
  return `events=${events}&ms=${stepMs}`;
}

function createRequest(
  { run, requests }: CallersHost,
  router: RouterProcess,
  { habit, service }: { readonly habit: Habit; readonly service: string },
): CallerRequest {
  return {
    ...{ id: `${run}-${requests.length}`, router: router.id, ...habit },
    ...{ prefix: getLongPrefix(habit.kind, service), key: lastingKey },
    ...{ parts: [], cause: undefined, lastEventId: 0, resumes: undefined },
    ...{ leavesAfter: undefined, sentAt: performance.now() },
    result: undefined,
  };
}
