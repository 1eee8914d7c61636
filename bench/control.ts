/**
 * Measures the control traffic of a whole fleet. Runs the decision modules of
 * all members in one process, with a simulated clock and seeded random numbers.
 * Arguments: fleet sizes as multiples of the design size, such as `1 3 10`.
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

const routerCount = 350;
const agentCount = 640;
const serviceCount = 3;
const zoneCount = 8;
const seed = 7;
const warmUpMs = 5_000;

const clock = installSimulatedClock();
const wallStartNs = process.hrtime.bigint();

void main();

/** Measures a fleet for each multiple in the arguments; 1 by default. */
async function main(): Promise<void> {
  const multiples = process.argv.slice(2).map(Number);
  for (const multiple of multiples.length > 0 ? multiples : [1]) {
    await measureFleet(multiple);
  }
}

/** Measures the heap of one table that shares no records with others. */
function measureTableMemory(size: number): void {
  const before = getHeapBytes();
  const table = createMemberTable();
  for (let number = 0; number < size; number++) {
    table.put(createMember(number, { id: `agent-${number}` }));
  }
  table.getAll();
  print("table_memory", { size, heapBytes: getHeapBytes() - before });
  assertInvariant(
    table.getAll().length === size,
    "the table holds every record",
  );
}

async function measureFleet(multiple: number): Promise<void> {
  measureTableMemory((routerCount + agentCount) * multiple);
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
  await measureSteadyState(network, {
    name: "steady",
    seconds: 20,
    lossRate: 0,
  });
  await measureSteadyState(network, {
    name: "loss_1",
    seconds: 20,
    lossRate: 0.01,
  });
  network.setConditions({ lossRate: 0 });
  measureReportAge(network);
  await measureLeavePropagation(network);
  await measurePatchPropagation(network);
  await measureJoinPropagation(network);
  await measureFailureDetection(network);
  await measureZoneLoss(network);
  network.nodes.forEach(network.kill);
}

function createFleet(multiple: number): Network {
  const network = createNetwork({ seed });
  const regionDelayMs: readonly [number, number] = [0.5, 30];
  network.setConditions({ delayMs: regionDelayMs });
  for (let number = 0; number < routerCount * multiple; number++) {
    network.add(createMember(number, {
      id: `router-${number}`,
      role: "router",
      service: "",
      zone: `zone-${number % zoneCount}`,
    }));
  }
  for (let index = 0; index < agentCount * multiple; index++) {
    const number = routerCount * multiple + index;
    network.add(createMember(number, {
      service: `model-${index % serviceCount}`,
      zone: `zone-${index % zoneCount}`,
    })).load = 20_000 + network.random() * 10_000;
  }
  network.startAll();
  return network;
}

async function measureSteadyState(
  network: Network,
  { name, seconds, lossRate: loss }: {
    readonly name: string;
    readonly seconds: number;
    readonly lossRate: number;
  },
): Promise<void> {
  network.setConditions({ lossRate: loss });
  const bytesBefore = new Map(
    network.nodes.map((node) => [node, getBytesBySeries(node)]),
  );
  const refutationsBefore = countRefutations(network);
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
      bytesPerSecond: getByteRates(nodes, { bytesBefore, seconds }),
    });
  }
  print(`${name}_cost`, {
    size: network.nodes.length,
    cpuMsPerNodeSecond: (cpu.user + cpu.system) / 1_000 /
      network.nodes.length / seconds,
    falseSuspicions: countRefutations(network) - refutationsBefore,
    seconds,
    distinctTables: countDistinctTables(network),
  });
}

/** Counts member versions beyond the first; each refutes a suspicion. */
function countRefutations(network: Network): number {
  return network.nodes.reduce(
    (sum, { exchange }) => sum + exchange.membership.getSelf().version - 1,
    0,
  );
}

function countDistinctTables(network: Network): number {
  return new Set(
    network.nodes.filter(({ isUp }) => isUp)
      .map(({ exchange }) => exchange.membership.table.getHash()),
  ).size;
}

function getByteRates(
  nodes: readonly Node[],
  { bytesBefore, seconds }: {
    readonly bytesBefore: ReadonlyMap<Node, Readonly<Record<string, number>>>;
    readonly seconds: number;
  },
): Record<string, number> {
  const rates: Record<string, number> = {};
  for (const node of nodes) {
    const previous = bytesBefore.get(node) ?? {};
    for (const [series, bytes] of Object.entries(getBytesBySeries(node))) {
      const rate = (bytes - (previous[series] ?? 0)) / seconds / nodes.length;
      rates[series] = (rates[series] ?? 0) + rate;
      rates["all"] = (rates["all"] ?? 0) + rate;
    }
  }
  return roundRates(rates);
}

function getBytesBySeries(node: Node): Record<string, number> {
  return Object.fromEntries(
    node.budget.getTotals().map(({ purpose, direction, bytes }) => [
      `${purpose}_${direction}`,
      bytes,
    ]),
  );
}

async function measureLeavePropagation(network: Network): Promise<void> {
  const leavingNode = network.nodes.at(-1);
  if (leavingNode === undefined) return;
  const { id } = leavingNode.exchange.membership.getSelf();
  leavingNode.exchange.announce("leaving");
  const times = await measurePropagation(
    network,
    ({ exchange }) => exchange.membership.table.tryGet(id)?.state === "leaving",
  );
  print("leaving_spread_ms", { size: network.nodes.length, ...times });
}

async function measurePatchPropagation(network: Network): Promise<void> {
  const originNode = network.nodes[0];
  if (originNode === undefined) return;
  const before = sumPurposeBytes(network, "configuration");
  originNode.exchange.spreadPatch(createPatch(1));
  const times = await measurePropagation(
    network,
    (node) => node === originNode || node.patches.size > 0,
  );
  await clock.advance(1_000);
  print("patch_spread_ms", {
    size: network.nodes.length,
    ...times,
    bytesPerNode: (sumPurposeBytes(network, "configuration") - before) /
      network.nodes.length,
  });
}

/** Measures the age of the newest load report that each agent holds. */
function measureReportAge(network: Network): void {
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

async function measureJoinPropagation(network: Network): Promise<void> {
  const seedMember = network.nodes[1]?.exchange.membership.getSelf();
  if (seedMember === undefined) return;
  const joiner = network.add(createMember(60_000, { service: "model-0" }));
  joiner.exchange.start();
  joiner.exchange.announceTo({
    address: seedMember.address,
    port: seedMember.gossipPort,
  });
  const times = await measurePropagation(
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

async function measureFailureDetection(network: Network): Promise<void> {
  const failedNode = network.nodes.at(-3);
  if (failedNode === undefined) return;
  const { id } = failedNode.exchange.membership.getSelf();
  network.kill(failedNode);
  const times = await measurePropagation(
    network,
    ({ exchange }) => exchange.membership.table.tryGet(id)?.state === "dead",
  );
  print("death_known_ms", { size: network.nodes.length, ...times });
}

/**
 * Stops a zone without a leave announcement. Measures the time until the other
 * members record all of its members as dead, and the peak control traffic.
 */
async function measureZoneLoss(network: Network): Promise<void> {
  const lost = network.nodes.filter(({ exchange, isUp }) =>
    isUp && exchange.membership.getSelf().zone === "zone-1"
  );
  const ids = lost.map(({ exchange }) => exchange.membership.getSelf().id);
  lost.forEach(network.kill);
  const running = network.nodes.filter(({ isUp }) => isUp);
  const start = clock.getNow();
  let previousBytes = new Map(
    running.map((node) => [node, getTotalBytes(node)]),
  );
  let peakMean = 0;
  let peakNode = 0;
  let allDeadMs = -1;
  for (let second = 0; second < 40 && allDeadMs < 0; second++) {
    await clock.advance(1_000);
    const currentBytes = new Map(
      running.map((node) => [node, getTotalBytes(node)]),
    );
    const rates = running.map((node) =>
      (currentBytes.get(node) ?? 0) - (previousBytes.get(node) ?? 0)
    );
    peakNode = Math.max(peakNode, ...rates);
    const sum = rates.reduce((total, rate) => total + rate, 0);
    peakMean = Math.max(peakMean, sum / rates.length);
    previousBytes = currentBytes;
    const isDetected = running.every(({ exchange }) =>
      ids.every((id) => exchange.membership.table.tryGet(id)?.state === "dead")
    );
    if (isDetected) allDeadMs = clock.getNow() - start;
  }
  await clock.advance(10_000);
  print("zone_loss", {
    size: network.nodes.length,
    lost: ids.length,
    allDeadMs,
    peakBytesPerSecondMean: peakMean,
    peakBytesPerSecondNode: peakNode,
    distinctTables: countDistinctTables(network),
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

function getTotalBytes({ budget }: Node): number {
  return budget.getTotals().reduce((sum, { bytes }) => sum + bytes, 0);
}

function sumPurposeBytes(network: Network, purpose: string): number {
  return network.nodes
    .flatMap(({ budget }) => budget.getTotals())
    .filter((total) => total.purpose === purpose)
    .reduce((sum, { bytes }) => sum + bytes, 0);
}

/**
 * Advances the clock until every running node has the update. Returns
 * percentiles of the arrival times, in milliseconds with a resolution of 5 ms.
 */
async function measurePropagation(
  network: Network,
  hasUpdate: (node: Node) => boolean,
): Promise<Record<string, number>> {
  const stepMs = 5;
  const timeoutMs = 10_000;
  const start = clock.getNow();
  const times: number[] = [];
  let waiting = network.nodes.filter(({ isUp }) => isUp);
  while (waiting.length > 0 && clock.getNow() - start < timeoutMs) {
    const remaining = waiting.filter((node) => !hasUpdate(node));
    const elapsedMs = clock.getNow() - start;
    for (let count = remaining.length; count < waiting.length; count++) {
      times.push(elapsedMs);
    }
    waiting = remaining;
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
  const wallSeconds = Number(process.hrtime.bigint() - wallStartNs) / 1e9;
  const line = { bench: "control", name, seed, ...values, wallSeconds };
  console.log(JSON.stringify(line, roundNumber));
}

function roundNumber(_key: string, value: unknown): unknown {
  return typeof value === "number" ? Number(value.toPrecision(4)) : value;
}

function roundRates(rates: Record<string, number>): Record<string, number> {
  return Object.fromEntries(
    Object.entries(rates).map(([name, rate]) => [name, Math.round(rate)]),
  );
}
