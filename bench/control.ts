/**
 * Measures the control traffic of a whole fleet: the decision modules of all
 * members in one process, under a simulated clock and a seed. Words: sizes as
 * multiples of the design size, such as `1 3 10`.
 */

import {
  createMember,
  createNetwork,
  createPatch,
  type Network,
  type Node,
} from "../test/support/exchange_network.ts";
import { createMemberTable } from "../src/process/membership/member_table.ts";
import { assertInvariant } from "../src/types/assert.ts";
import { installSimulatedClock } from "./support/clock.ts";

const routers = 350;
const agents = 640;
const services = 3;
const zones = 8;
const seed = 7;
const warmUpMs = 5_000;

const clock = installSimulatedClock();
const wallStart = process.hrtime.bigint();

void main();

/** Runs all sizes that the words name. */
async function main(): Promise<void> {
  const multiples = process.argv.slice(2).map(Number);
  for (const multiple of multiples.length > 0 ? multiples : [1]) {
    await measureFleet(multiple);
  }
}

/** Memory of one process's table, whose records are its own. */
function measureTable(size: number): void {
  const before = getHeapBytes();
  const table = createMemberTable();
  for (let number = 0; number < size; number++) {
    table.put(createMember(number, { id: `agent-${number}` }));
  }
  table.getAll();
  print("table_memory", { size, heapBytes: getHeapBytes() - before });
  assertInvariant(table.getAll().length === size, "all records are held");
}

async function measureFleet(multiple: number): Promise<void> {
  measureTable((routers + agents) * multiple);
  const memoryBefore = getHeapBytes();
  const network = createFleet(multiple);
  await clock.advance(warmUpMs);
  const memoryAfter = getHeapBytes();
  const size = network.nodes.length;
  print("memory", {
    size,
    heapBytesPerNode: (memoryAfter - memoryBefore) / size,
    heapBytesPerRecord: (memoryAfter - memoryBefore) / size / size,
  });
  await measureSteady(network, { name: "steady", seconds: 20, loss: 0 });
  await measureSteady(network, { name: "loss_1", seconds: 20, loss: 0.01 });
  network.setConditions({ lossRate: 0 });
  measureFreshness(network);
  await measureLeaving(network);
  await measurePatch(network);
  await measureJoin(network);
  await measureDeath(network);
  await measureZoneLoss(network);
  network.nodes.forEach(network.kill);
}

function createFleet(multiple: number): Network {
  const network = createNetwork({ seed });
  const regionDelay: readonly [number, number] = [0.5, 30];
  network.setConditions({ delayMs: regionDelay });
  for (let number = 0; number < routers * multiple; number++) {
    network.add(createMember(number, {
      id: `router-${number}`,
      role: "router",
      service: "",
      zone: `zone-${number % zones}`,
    }));
  }
  for (let index = 0; index < agents * multiple; index++) {
    const number = routers * multiple + index;
    network.add(createMember(number, {
      service: `model-${index % services}`,
      zone: `zone-${index % zones}`,
    })).load = 20_000 + network.random() * 10_000;
  }
  network.startAll();
  return network;
}

async function measureSteady(
  network: Network,
  { name, seconds, loss }: {
    readonly name: string;
    readonly seconds: number;
    readonly loss: number;
  },
): Promise<void> {
  network.setConditions({ lossRate: loss });
  const before = new Map(network.nodes.map((node) => [node, getBytes(node)]));
  const suspicionsBefore = sumSuspicions(network);
  const cpuBefore = process.cpuUsage();
  await clock.advance(seconds * 1_000);
  const cpu = process.cpuUsage(cpuBefore);
  for (const role of ["router", "agent"]) {
    const nodes = network.nodes.filter(({ exchange }) =>
      exchange.membership.getSelf().role === role
    );
    print(name, {
      size: network.nodes.length,
      role,
      bytesPerSecond: getRates(nodes, { before, seconds }),
    });
  }
  print(`${name}_cost`, {
    size: network.nodes.length,
    cpuMsPerNodeSecond: (cpu.user + cpu.system) / 1_000 /
      network.nodes.length / seconds,
    falseSuspicions: sumSuspicions(network) - suspicionsBefore,
    seconds,
    distinctTables: countTables(network),
  });
}

/** Versions beyond the first are refutations of suspicions. */
function sumSuspicions(network: Network): number {
  return network.nodes.reduce(
    (sum, { exchange }) => sum + exchange.membership.getSelf().version - 1,
    0,
  );
}

function countTables(network: Network): number {
  return new Set(
    network.nodes.filter(({ isUp }) => isUp)
      .map(({ exchange }) => exchange.membership.table.getHash()),
  ).size;
}

function getRates(
  nodes: readonly Node[],
  { before, seconds }: {
    readonly before: ReadonlyMap<Node, Readonly<Record<string, number>>>;
    readonly seconds: number;
  },
): Record<string, number> {
  const rates: Record<string, number> = {};
  for (const node of nodes) {
    const earlier = before.get(node) ?? {};
    for (const [series, bytes] of Object.entries(getBytes(node))) {
      const rate = (bytes - (earlier[series] ?? 0)) / seconds / nodes.length;
      rates[series] = (rates[series] ?? 0) + rate;
      rates["all"] = (rates["all"] ?? 0) + rate;
    }
  }
  return roundAll(rates);
}

function getBytes(node: Node): Record<string, number> {
  return Object.fromEntries(
    node.budget.getTotals().map(({ purpose, direction, bytes }) => [
      `${purpose}_${direction}`,
      bytes,
    ]),
  );
}

async function measureLeaving(network: Network): Promise<void> {
  const leaver = network.nodes.at(-1);
  if (leaver === undefined) return;
  const { id } = leaver.exchange.membership.getSelf();
  leaver.exchange.announce("leaving");
  const times = await measureArrival(
    network,
    ({ exchange }) => exchange.membership.table.tryGet(id)?.state === "leaving",
  );
  print("leaving_spread_ms", { size: network.nodes.length, ...times });
}

async function measurePatch(network: Network): Promise<void> {
  const committer = network.nodes[0];
  if (committer === undefined) return;
  const before = sumBytes(network, "configuration");
  committer.exchange.spreadPatch(createPatch(1));
  const times = await measureArrival(
    network,
    (node) => node === committer || node.patches.size > 0,
  );
  await clock.advance(1_000);
  print("patch_spread_ms", {
    size: network.nodes.length,
    ...times,
    bytesPerNode: (sumBytes(network, "configuration") - before) /
      network.nodes.length,
  });
}

/** Age of the newest load report that agents hold. */
function measureFreshness(network: Network): void {
  const ages = network.nodes.flatMap(({ exchange }) => {
    const { service } = exchange.membership.getSelf();
    return service === "" ? [] : [exchange.getMean(service).ageMs];
  }).sort((left, right) => left - right);
  print("newest_load_report_ms", {
    size: network.nodes.length,
    p50: ages[Math.floor(ages.length / 2)],
    max: ages.at(-1),
  });
}

async function measureJoin(network: Network): Promise<void> {
  const first = network.nodes[1]?.exchange.membership.getSelf();
  if (first === undefined) return;
  const joiner = network.add(createMember(60_000, { service: "model-0" }));
  joiner.exchange.start();
  joiner.exchange.announceTo({
    address: first.address,
    port: first.gossipPort,
  });
  const times = await measureArrival(
    network,
    ({ exchange }) =>
      exchange.membership.table.tryGet("agent-60000") !== undefined,
  );
  const before = clock.getNow();
  const size = network.nodes.length;
  while (joiner.exchange.membership.table.getAll().length < size) {
    await clock.advance(50);
    if (clock.getNow() - before > 60_000) break;
  }
  print("join_spread_ms", {
    size,
    ...times,
    wholeTableMs: clock.getNow() - before,
    bytesOfJoiner: joiner.budget.getTotals()
      .reduce((sum, { bytes }) => sum + bytes, 0),
  });
}

async function measureDeath(network: Network): Promise<void> {
  const victim = network.nodes.at(-3);
  if (victim === undefined) return;
  const { id } = victim.exchange.membership.getSelf();
  network.kill(victim);
  const times = await measureArrival(
    network,
    ({ exchange }) => exchange.membership.table.tryGet(id)?.state === "dead",
  );
  print("death_known_ms", { size: network.nodes.length, ...times });
}

/** A zone goes without a word; the others bury its members. */
async function measureZoneLoss(network: Network): Promise<void> {
  const lost = network.nodes.filter(({ exchange, isUp }) =>
    isUp && exchange.membership.getSelf().zone === "zone-1"
  );
  const ids = lost.map(({ exchange }) => exchange.membership.getSelf().id);
  lost.forEach(network.kill);
  const running = network.nodes.filter(({ isUp }) => isUp);
  const start = clock.getNow();
  let last = new Map(running.map((node) => [node, sumAll(node)]));
  let peakMean = 0;
  let peakNode = 0;
  let allDeadMs = -1;
  for (let second = 0; second < 40 && allDeadMs < 0; second++) {
    await clock.advance(1_000);
    const now = new Map(running.map((node) => [node, sumAll(node)]));
    const rates = running.map((node) =>
      (now.get(node) ?? 0) - (last.get(node) ?? 0)
    );
    peakNode = Math.max(peakNode, ...rates);
    const sum = rates.reduce((total, rate) => total + rate, 0);
    peakMean = Math.max(peakMean, sum / rates.length);
    last = now;
    const isKnown = running.every(({ exchange }) =>
      ids.every((id) => exchange.membership.table.tryGet(id)?.state === "dead")
    );
    if (isKnown) allDeadMs = clock.getNow() - start;
  }
  await clock.advance(10_000);
  print("zone_loss", {
    size: network.nodes.length,
    lost: ids.length,
    allDeadMs,
    peakBytesPerSecondMean: peakMean,
    peakBytesPerSecondNode: peakNode,
    distinctTables: countTables(network),
    wronglyDead: running.filter(({ exchange }) =>
      exchange.membership.getDeadMembers().some(({ id }) =>
        !ids.includes(id) &&
        running.some((node) =>
          node.exchange.membership.getSelf().id === id
        )
      )
    ).length,
  });
}

function sumAll({ budget }: Node): number {
  return budget.getTotals().reduce((sum, { bytes }) => sum + bytes, 0);
}

function sumBytes(network: Network, purpose: string): number {
  return network.nodes
    .flatMap(({ budget }) => budget.getTotals())
    .filter((total) => total.purpose === purpose)
    .reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Steps until all nodes have the news; times are steps of 5 ms. */
async function measureArrival(
  network: Network,
  hasArrived: (node: Node) => boolean,
): Promise<Record<string, number>> {
  const stepMs = 5;
  const limitMs = 10_000;
  const start = clock.getNow();
  const times: number[] = [];
  let waiting = network.nodes.filter(({ isUp }) => isUp);
  while (waiting.length > 0 && clock.getNow() - start < limitMs) {
    const left = waiting.filter((node) => !hasArrived(node));
    const passed = clock.getNow() - start;
    for (let count = left.length; count < waiting.length; count++) {
      times.push(passed);
    }
    waiting = left;
    await clock.advance(stepMs);
  }
  return {
    p50: times[Math.floor(times.length / 2)] ?? -1,
    p99: times[Math.floor(times.length * 0.99)] ?? -1,
    max: times.at(-1) ?? -1,
    missed: waiting.length,
  };
}

function getHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function print(name: string, values: Readonly<Record<string, unknown>>): void {
  const wallSeconds = Number(process.hrtime.bigint() - wallStart) / 1e9;
  const line = { bench: "control", name, seed, ...values, wallSeconds };
  console.log(JSON.stringify(line, roundNumber));
}

function roundNumber(_key: string, value: unknown): unknown {
  return typeof value === "number" ? Number(value.toPrecision(4)) : value;
}

function roundAll(rates: Record<string, number>): Record<string, number> {
  return Object.fromEntries(
    Object.entries(rates).map(([name, rate]) => [name, Math.round(rate)]),
  );
}
