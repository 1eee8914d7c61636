/**
 * Measures how accurately 350 routers enforce the request limit of one
 * workspace, and the control traffic that this takes: at typical load, in a
 * surge, and after the router that owns the limit has failed.
 */

import {
  createMember,
  createNetwork,
  type Network,
  type Node,
} from "../test/support/exchange_network.ts";
import { installSimulatedClock } from "./support/clock.ts";

const seed = 5;
const routerCount = 350;
const stepMs = 10;

interface Phase {
  readonly name: string;
  /** Requests per second offered to the whole fleet. */
  readonly offered: number;
  readonly seconds: number;
  /** Number of routers that receive the requests. */
  readonly reached: number;
  /** Share of messages that are lost, 0 to 1; 0 by default. */
  readonly lossRate?: number;
}

const clock = installSimulatedClock();

void main();

async function main(): Promise<void> {
  for (const limit of [20, 100, 500]) await measureLimit(limit);
}

async function measureLimit(limit: number): Promise<void> {
  const network = createNetwork({ seed, limits: new Map([["one", limit]]) });
  network.setConditions({ delayMs: [0.5, 30] });
  for (let number = 0; number < routerCount; number++) {
    network.add(createMember(number, {
      id: `router-${number}`,
      role: "router",
      service: "",
    }));
  }
  network.startAll();
  await clock.advance(3_000);
  const phases: readonly Phase[] = [
    { name: "usual", offered: limit * 0.5, seconds: 20, reached: routerCount },
    { name: "near", offered: limit * 0.9, seconds: 20, reached: routerCount },
    { name: "surge", offered: limit * 10, seconds: 30, reached: routerCount },
    {
      name: "surge_lossy",
      offered: limit * 10,
      seconds: 30,
      reached: routerCount,
      lossRate: 0.01,
    },
    { name: "surge_few", offered: limit * 10, seconds: 30, reached: 5 },
  ];
  for (const phase of phases) await measurePhase(network, { limit, phase });
  const owner = getOwner(network);
  if (owner !== undefined) network.kill(owner);
  await measurePhase(network, {
    limit,
    phase: {
      name: "home_lost",
      offered: limit * 10,
      seconds: 30,
      reached: routerCount,
    },
  });
  network.nodes.forEach(network.kill);
}

async function measurePhase(
  network: Network,
  { limit, phase }: { readonly limit: number; readonly phase: Phase },
): Promise<void> {
  const { offered, seconds, reached } = phase;
  network.setConditions({ lossRate: phase.lossRate ?? 0 });
  const receivers = network.nodes.filter(({ isUp }) => isUp).slice(0, reached);
  const bytesBefore = new Map(
    network.nodes.map((node) => [node, getLimitBytes(node)]),
  );
  const grantsBySecond = new Array<number>(seconds).fill(0);
  const latenciesMs: number[] = [];
  let sent = 0;
  let dueRequests = 0;
  for (let step = 0; step < seconds * 1_000 / stepMs; step++) {
    dueRequests += offered * stepMs / 1_000;
    for (; sent < dueRequests; sent++) {
      const node = receivers[Math.floor(network.random() * receivers.length)];
      if (node !== undefined) void sendRequest(node);
    }
    await clock.advance(stepMs);
  }
  const admitted = grantsBySecond.reduce((sum, count) => sum + count, 0);
  const byteRates = [...bytesBefore]
    .map(([node, bytes]) => (getLimitBytes(node) - bytes) / seconds)
    .sort((left, right) => left - right);
  latenciesMs.sort((left, right) => left - right);
  print(phase.name, {
    limit,
    offered,
    reached,
    admittedPerSecond: admitted / seconds,
    ofAllowed: admitted / seconds / Math.min(limit, offered),
    busiestSecond: Math.max(...grantsBySecond) / limit,
    busiest5Seconds: getPeakRate(grantsBySecond, 5) / limit,
    waitP50Ms: latenciesMs[Math.floor(latenciesMs.length / 2)],
    waitP99Ms: latenciesMs[Math.floor(latenciesMs.length * 0.99)],
    bytesPerRouterSecond: byteRates.reduce((sum, rate) => sum + rate, 0) /
      byteRates.length,
    bytesOfHome: byteRates.at(-1),
  });

  async function sendRequest(node: Node): Promise<void> {
    const start = clock.getNow();
    const decision = await node.exchange.acquire("one");
    const second = Math.floor(sent / offered);
    if (decision.kind !== "granted") return;
    latenciesMs.push(clock.getNow() - start);
    grantsBySecond[second] = (grantsBySecond[second] ?? 0) + 1;
  }
}

function getPeakRate(
  grantsBySecond: readonly number[],
  windowSeconds: number,
): number {
  let maxCount = 0;
  for (let start = 0; start + windowSeconds <= grantsBySecond.length; start++) {
    const window = grantsBySecond.slice(start, start + windowSeconds);
    maxCount = Math.max(
      maxCount,
      window.reduce((sum, count) => sum + count, 0),
    );
  }
  return maxCount / windowSeconds;
}

/** Returns the router that owns the limit. */
function getOwner(network: Network): Node | undefined {
  return network.nodes.find(({ exchange }) =>
    exchange.limits.getSizes().kept > 0
  );
}

function getLimitBytes({ budget }: Node): number {
  return budget.getTotals()
    .filter(({ purpose }) => purpose === "limits")
    .reduce((sum, { bytes }) => sum + bytes, 0);
}

function print(name: string, values: Readonly<Record<string, unknown>>): void {
  console.log(JSON.stringify(
    { bench: "limits", name, seed, ...values },
    (_key, value: unknown) =>
      typeof value === "number" ? Number(value.toPrecision(3)) : value,
  ));
}
