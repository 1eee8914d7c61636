/**
 * Measures how well the limit of one workspace holds over 350 routers, and
 * what it costs: usual load, a surge, and the loss of the limit's home.
 */

import {
  createMember,
  createNetwork,
  type Network,
  type Node,
} from "../test/support/exchange_network.ts";
import { installSimulatedClock } from "./support/clock.ts";

const seed = 5;
const routers = 350;
const stepMs = 10;

interface Phase {
  readonly name: string;
  /** Requests per second offered to the whole fleet. */
  readonly offered: number;
  readonly seconds: number;
  /** Routers that the requests reach. */
  readonly reached: number;
  readonly loss?: number;
}

const clock = installSimulatedClock();

void main();

async function main(): Promise<void> {
  for (const limit of [20, 100, 500]) await measureLimit(limit);
}

async function measureLimit(limit: number): Promise<void> {
  const network = createNetwork({ seed, limits: new Map([["one", limit]]) });
  network.setConditions({ delayMs: [0.5, 30] });
  for (let number = 0; number < routers; number++) {
    network.add(createMember(number, {
      id: `router-${number}`,
      role: "router",
      service: "",
    }));
  }
  network.startAll();
  await clock.advance(3_000);
  const phases: readonly Phase[] = [
    { name: "usual", offered: limit * 0.5, seconds: 20, reached: routers },
    { name: "near", offered: limit * 0.9, seconds: 20, reached: routers },
    { name: "surge", offered: limit * 10, seconds: 30, reached: routers },
    {
      name: "surge_lossy",
      offered: limit * 10,
      seconds: 30,
      reached: routers,
      loss: 0.01,
    },
    { name: "surge_few", offered: limit * 10, seconds: 30, reached: 5 },
  ];
  for (const phase of phases) await measurePhase(network, { limit, phase });
  const home = getHome(network);
  if (home !== undefined) network.kill(home);
  await measurePhase(network, {
    limit,
    phase: {
      name: "home_lost",
      offered: limit * 10,
      seconds: 30,
      reached: routers,
    },
  });
  network.nodes.forEach(network.kill);
}

async function measurePhase(
  network: Network,
  { limit, phase }: { readonly limit: number; readonly phase: Phase },
): Promise<void> {
  const { offered, seconds, reached } = phase;
  network.setConditions({ lossRate: phase.loss ?? 0 });
  const alive = network.nodes.filter(({ isUp }) => isUp).slice(0, reached);
  const before = new Map(network.nodes.map((node) => [node, getBytes(node)]));
  const perSecond = new Array<number>(seconds).fill(0);
  const waits: number[] = [];
  let sent = 0;
  let due = 0;
  for (let step = 0; step < seconds * 1_000 / stepMs; step++) {
    due += offered * stepMs / 1_000;
    for (; sent < due; sent++) {
      const node = alive[Math.floor(network.random() * alive.length)];
      if (node !== undefined) void offer(node);
    }
    await clock.advance(stepMs);
  }
  const admitted = perSecond.reduce((sum, count) => sum + count, 0);
  const rates = [...before]
    .map(([node, bytes]) => (getBytes(node) - bytes) / seconds)
    .sort((left, right) => left - right);
  waits.sort((left, right) => left - right);
  print(phase.name, {
    limit,
    offered,
    reached,
    admittedPerSecond: admitted / seconds,
    ofAllowed: admitted / seconds / Math.min(limit, offered),
    busiestSecond: Math.max(...perSecond) / limit,
    busiest5Seconds: getBusiest(perSecond, 5) / limit,
    waitP50Ms: waits[Math.floor(waits.length / 2)],
    waitP99Ms: waits[Math.floor(waits.length * 0.99)],
    bytesPerRouterSecond: rates.reduce((sum, rate) => sum + rate, 0) /
      rates.length,
    bytesOfHome: rates.at(-1),
  });

  async function offer(node: Node): Promise<void> {
    const start = clock.getNow();
    const decision = await node.exchange.acquire("one");
    const second = Math.floor(sent / offered);
    if (decision.kind !== "granted") return;
    waits.push(clock.getNow() - start);
    perSecond[second] = (perSecond[second] ?? 0) + 1;
  }
}

function getBusiest(perSecond: readonly number[], width: number): number {
  let most = 0;
  for (let start = 0; start + width <= perSecond.length; start++) {
    const window = perSecond.slice(start, start + width);
    most = Math.max(most, window.reduce((sum, count) => sum + count, 0));
  }
  return most / width;
}

/** The router that keeps the limit. */
function getHome(network: Network): Node | undefined {
  return network.nodes.find(({ exchange }) =>
    exchange.limits.getSizes().kept > 0
  );
}

function getBytes({ budget }: Node): number {
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
