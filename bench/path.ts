/**
 * Compares requests that pass through a router and an agent with requests sent
 * directly to the stand-in target, in one run. Requires `npm run build`.
 * The argument `bundle` selects dist/mimosatray.cjs in place of the binary.
 */

import { setMaxListeners } from "node:events";
import { readFileSync } from "node:fs";
import { Agent, request } from "undici";
import {
  binaryCommand,
  startFleet,
  type TestFleet,
} from "../test/harness/fleet.ts";
import { callHttp } from "../test/harness/http.ts";

/** Duration of one measurement, in milliseconds. */
const measurementMs = 4_000;

/** Duration of the warm-up, which is not measured, in milliseconds. */
const warmUpMs = 1_000;

/** Numbers of concurrent callers, each with one request at a time. */
const callerCounts = [1, 16, 64];

/** Numbers of concurrent streams. */
const streamCounts = [20, 60, 120];

/** Time between the tokens of a stream, in milliseconds. */
const tokenIntervalMs = 10;

/** Number of chats in flight in the measurement of memory. */
const idleChatCount = 500;

/** Names that test/harness/plan.ts defines. */
const modelService = "chat-model";
const plainService = "order-service";
const workspace = "team-1";

/** Share of failed requests above which a measurement is invalid. */
const maxErrorShare = 0.02;

/** Clock ticks per second, the unit of CPU times in /proc/PID/stat. */
const ticksPerSecond = 100;

setMaxListeners(0);

const dispatcher = new Agent({ connections: 1_000, pipelining: 1 });

interface Sample {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly errors: number;
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});

async function main(): Promise<void> {
  const fleet = await startFleet({
    routers: 1,
    engines: 3,
    services: 1,
    product: process.argv[2] === "bundle"
      ? [process.execPath, "dist/mimosatray.cjs"]
      : binaryCommand,
    engineSettings: { slots: 1_000, tokenMs: 0, promptTokenUs: 0 },
  });
  try {
    await raiseTargetLimits(fleet);
    await measureCalls(fleet);
    await measureStreams(fleet);
    await measureMemory(fleet);
  } finally {
    await fleet.stop();
    await dispatcher.destroy();
  }
}

/** Raises the limits of the targets so that they admit the measured load. */
async function raiseTargetLimits(fleet: TestFleet): Promise<void> {
  const policy = {
    loadMultiple: 3,
    slots: 1_000,
    queueLimit: 1_000,
    priorityWeights: { interactive: 4, background: 1 },
    retryBudget: 0.2,
    checksFencing: true,
  };
  const [router] = fleet.routers;
  if (router === undefined) throw new Error("The fleet has no router");
  await fleet.patch(router, {
    id: "widen",
    baseVersion: 1,
    operations: [
      {
        kind: "put_service",
        name: modelService,
        value: { ...policy, kind: "model", routes: [] },
      },
      {
        kind: "put_service",
        name: plainService,
        value: {
          ...policy,
          kind: "plain",
          routes: [{ method: "GET", pathPrefix: "/", repeatable: true }],
        },
      },
    ],
  });
  await sleep(2_000);
}

/** Measures requests per second and the added latency of short calls. */
async function measureCalls(fleet: TestFleet): Promise<void> {
  const target = fleet.services[0]?.url ?? "";
  const router = fleet.routers[0]?.callerUrl ?? "";
  for (const count of callerCounts) {
    const direct = await measureLoop(count, () => get(`${target}/proofs/1`));
    const path = await measureLoop(
      count,
      () => get(`${router}/services/${plainService}/proofs/1`),
    );
    print("calls", {
      callers: count,
      direct,
      path,
      ...compareSamples(direct, path),
    });
  }
}

function compareSamples(direct: Sample, path: Sample): Record<string, number> {
  return {
    throughputRatio: round(path.perSecond / direct.perSecond),
    addedP50Ms: round(path.p50Ms - direct.p50Ms),
    addedP99Ms: round(path.p99Ms - direct.p99Ms),
  };
}

async function measureLoop(
  callerCount: number,
  sendRequest: () => Promise<boolean>,
): Promise<Sample> {
  const times: number[] = [];
  let errors = 0;
  const measuredFrom = performance.now() + warmUpMs;
  const end = measuredFrom + measurementMs;
  await Promise.all(Array.from({ length: callerCount }, async () => {
    while (performance.now() < end) {
      const startedAt = performance.now();
      const hasSucceeded = await sendRequest();
      if (startedAt < measuredFrom) continue;
      times.push(performance.now() - startedAt);
      if (!hasSucceeded) errors++;
    }
  }));
  checkErrors(errors, times.length);
  return {
    perSecond: Math.round(times.length / (measurementMs / 1_000)),
    p50Ms: getPercentile(times, 0.5),
    p99Ms: getPercentile(times, 0.99),
    errors,
  };
}

async function get(url: string): Promise<boolean> {
  const response = await request(url, {
    dispatcher,
    headers: { "x-workspace": workspace },
  });
  await response.body.dump();
  return response.statusCode === 200;
}

/** Measures tokens per second and the time between tokens of streams. */
async function measureStreams(fleet: TestFleet): Promise<void> {
  const targets = fleet.engines.map(({ url }) => url);
  const [router] = fleet.routers;
  if (router === undefined) return;
  await setTokenMs(fleet, tokenIntervalMs);
  for (const count of streamCounts) {
    const direct = await measureTokens(count, targets);
    const cpuBefore = getCpuMs(router.child.pid);
    const startedAt = performance.now();
    const path = await measureTokens(count, [router.callerUrl]);
    const cpuMs = getCpuMs(router.child.pid) - cpuBefore;
    print("streams", {
      streams: count,
      direct,
      path,
      tokensRatio: round(path.tokensPerSecond / direct.tokensPerSecond),
      routerCores: round(cpuMs / (performance.now() - startedAt)),
      routerCpuUsPerToken: round(1_000 * cpuMs / path.tokens),
    });
  }
}

async function measureTokens(streamCount: number, urls: readonly string[]) {
  const intervalsMs: number[] = [];
  const controller = new AbortController();
  const startedAt = performance.now();
  let tokens = 0;
  let errors = 0;
  const readers = Array.from({ length: streamCount }, async (_value, index) => {
    const response = await openStream(urls[index % urls.length] ?? "", {
      conversation: `chat-${index}`,
      signal: controller.signal,
    });
    if (response.statusCode !== 200) errors++;
    let lastAt = 0;
    for await (const data of response.body) {
      const events = countEvents(data as Buffer);
      const now = performance.now();
      if (lastAt > 0) intervalsMs.push(now - lastAt);
      lastAt = now;
      tokens += events;
    }
  });
  const ended = Promise.allSettled(readers);
  await sleep(warmUpMs + measurementMs);
  const seconds = (performance.now() - startedAt) / 1_000;
  const measuredTokens = tokens;
  controller.abort();
  await ended;
  await sleep(200);
  checkErrors(errors, streamCount);
  return {
    tokens: measuredTokens,
    tokensPerSecond: Math.round(measuredTokens / seconds),
    betweenP50Ms: getPercentile(intervalsMs, 0.5),
    betweenP95Ms: getPercentile(intervalsMs, 0.95),
    betweenP99Ms: getPercentile(intervalsMs, 0.99),
    errors,
  };
}

/** Measures the router's memory for chats that wait for their next token. */
async function measureMemory(fleet: TestFleet): Promise<void> {
  const [router] = fleet.routers;
  if (router === undefined) return;
  await setTokenMs(fleet, 500);
  const before = getResidentBytes(router.child.pid);
  const controller = new AbortController();
  const readers = Array.from(
    { length: idleChatCount },
    async (_value, index) => {
      const response = await openStream(router.callerUrl, {
        conversation: `slow-${index}`,
        signal: controller.signal,
      });
      for await (const _data of response.body);
    },
  );
  const ended = Promise.allSettled(readers);
  await sleep(5_000);
  const after = getResidentBytes(router.child.pid);
  const dump = await callHttp(`${router.adminUrl}/dump`);
  controller.abort();
  await ended;
  await sleep(3_000);
  print("memory", {
    chats: idleChatCount,
    inFlight: parseInFlightCount(dump.text),
    residentBefore: before,
    residentAfter: after,
    residentAfterEnd: getResidentBytes(router.child.pid),
    bytesPerChat: Math.round((after - before) / idleChatCount),
  });
}

function openStream(
  url: string,
  options: { readonly conversation: string; readonly signal: AbortSignal },
) {
  return request(`${url}/v1/chat/completions`, {
    dispatcher,
    method: "POST",
    headers: {
      "x-workspace": workspace,
      "x-conversation": options.conversation,
    },
    body: JSON.stringify({
      model: modelService,
      messages: [{ role: "user", content: `Go on, ${options.conversation}` }],
      max_tokens: 1_000,
      stream: true,
    }),
    signal: options.signal,
  });
}

async function setTokenMs(fleet: TestFleet, value: number): Promise<void> {
  for (const { url } of fleet.engines) {
    await callHttp(`${url}/faults`, { body: { tokenMs: value } });
  }
}

/** Throws if the share of failed requests is above the maximum. */
function checkErrors(errors: number, requestCount: number): void {
  if (errors <= requestCount * maxErrorShare) return;
  throw new Error(`${errors} of ${requestCount} requests failed`);
}

function parseInFlightCount(text: string): number {
  return Number(/"inFlight":\s*\{\s*"count":\s*(\d+)/.exec(text)?.[1] ?? -1);
}

/** Counts the events that end in a chunk of a stream. */
function countEvents(data: Buffer): number {
  let count = 0;
  for (let at = data.indexOf("\n\n"); at >= 0; at = data.indexOf("\n\n", at)) {
    count++;
    at += 2;
  }
  return count;
}

/** Returns the CPU time that a process has used, in milliseconds. */
function getCpuMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * 1_000 / ticksPerSecond;
}

function getResidentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1] ?? 0) * 1_024;
}

function getPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return round(sorted[Math.floor(share * (sorted.length - 1))] ?? 0);
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function print(measurement: string, values: object): void {
  console.log(JSON.stringify({ bench: "path", measurement, ...values }));
}
