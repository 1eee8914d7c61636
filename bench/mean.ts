/**
 * Measures the error of the mean load that agents estimate, and the control
 * traffic that this takes: with changing loads, load reports 1 to 3 s old, and
 * 6, 13, 213 and 1,065 targets.
 */

import { defaultExchangeOptions } from "../src/process/membership/exchange_options.ts";
import {
  createMember,
  createNetwork,
  type Network,
  type Node,
} from "../test/support/exchange_network.ts";
import { installSimulatedClock } from "./support/clock.ts";

const seed = 11;
const stepMs = 250;
const warmUpSteps = 60;
const stepCount = 260;

/** A target whose load changes in steps, with its past loads. */
interface Target {
  readonly node: Node;
  /** Age of the load that the target reports, in steps. */
  readonly lagSteps: number;
  readonly history: number[];
  /** Deviation from the common mean, as a fraction. */
  deviation: number;
}

interface Plan {
  readonly targets: number;
  readonly peersPerSecond: number;
  readonly wholeServiceRate: number;
  readonly windowMs: number;
  readonly peerMeanWeight: number;
  /** True when reports are 1 to 3 s old, false when they are current. */
  readonly isLate: boolean;
  readonly loss: number;
}

const clock = installSimulatedClock();

void main();

async function main(): Promise<void> {
  for (const plan of getPlans()) await measurePlan(plan);
}

/** Returns the plans of the group that the first argument names, or all. */
function getPlans(): readonly Plan[] {
  const base: Plan = {
    targets: 213,
    isLate: true,
    loss: 0,
    peersPerSecond: defaultExchangeOptions.peersPerSecond,
    wholeServiceRate: defaultExchangeOptions.smallServiceCyclesPerSecond,
    ...defaultExchangeOptions.mean,
  };
  const createVariants = (changes: readonly Partial<Plan>[]): readonly Plan[] =>
    changes.map((change) => ({ ...base, ...change }));
  const groups: Readonly<Record<string, readonly Plan[]>> = {
    small: createVariants(
      [6, 13].flatMap((targets) =>
        [0.5, 1].flatMap((wholeServiceRate) =>
          [false, true].map((isLate) => ({ targets, wholeServiceRate, isLate }))
        )
      ),
    ),
    peers: createVariants(
      [1, 2, 4, 8].map((peersPerSecond) => ({ peersPerSecond })),
    ),
    windows: createVariants(
      [1_000, 1_500, 2_000, 3_000].flatMap((windowMs) =>
        [2, 4].map((peersPerSecond) => ({ windowMs, peersPerSecond }))
      ),
    ),
    weights: createVariants(
      [0, 0.25, 0.5].map((peerMeanWeight) => ({ peerMeanWeight })),
    ),
    prompt: createVariants([1, 2, 4, 8].map((peersPerSecond) => ({
      peersPerSecond,
      isLate: false,
    }))),
    faults: createVariants([{ loss: 0.2 }, { targets: 1_065 }]),
  };
  const groupName = process.argv[2];
  return groupName === undefined
    ? Object.values(groups).flat()
    : groups[groupName] ?? [];
}

async function measurePlan(plan: Plan): Promise<void> {
  const network = createNetwork({
    seed,
    exchange: {
      peersPerSecond: plan.peersPerSecond,
      smallServiceCyclesPerSecond: plan.wholeServiceRate,
      mean: {
        windowMs: plan.windowMs,
        peerMeanWeight: plan.peerMeanWeight,
      },
    },
  });
  network.setConditions({ lossRate: plan.loss });
  const targets = createTargets(network, plan);
  network.startAll();
  const errors: number[] = [];
  const surgeErrors: number[] = [];
  for (let step = 0; step < stepCount; step++) {
    const mean = advanceLoads(targets, { step, network, plan });
    await clock.advance(stepMs);
    if (step < warmUpSteps) continue;
    const isSurge = step >= stepCount - 40;
    const samples = isSurge ? surgeErrors : errors;
    for (const { node } of targets) {
      const estimate = node.exchange.getMean("chat").mean;
      samples.push((estimate - mean) / mean);
    }
  }
  const seconds = stepCount * stepMs / 1_000;
  const bytes = network.nodes.flatMap(({ budget }) => budget.getTotals())
    .filter(({ purpose }) => purpose === "loads")
    .reduce((sum, total) => sum + total.bytes, 0);
  network.nodes.forEach(network.kill);
  print(plan, {
    ...summarize(errors),
    surgeP99: summarize(surgeErrors)["errorP99"],
    bytesPerSecond: Math.round(bytes / seconds / plan.targets),
  });
}

function createTargets(network: Network, plan: Plan): readonly Target[] {
  return Array.from({ length: plan.targets }, (_value, number) => ({
    node: network.add(createMember(number)),
    lagSteps: plan.isLate ? 4 + Math.floor(network.random() * 9) : 0,
    history: [],
    deviation: 0,
  }));
}

/** Advances all loads by one step and returns their true mean. */
function advanceLoads(
  targets: readonly Target[],
  { step, network, plan }: {
    readonly step: number;
    readonly network: Network;
    readonly plan: Plan;
  },
): number {
  // The common load varies by 30% with a period of one minute; a surge adds
  // 50%.
  const baseFactor = 1 + 0.3 * Math.sin(step * stepMs / 60_000 * 2 * Math.PI);
  const surgeFactor = step >= stepCount - 40 ? 1.5 : 1;
  let sum = 0;
  for (const target of targets) {
    const noise = (network.random() + network.random() - 1) * 0.2;
    target.deviation = target.deviation * 0.9 + noise;
    const load = 25_000 * baseFactor * surgeFactor * (1 + target.deviation);
    target.history.push(load);
    sum += load;
    const reportedIndex = target.history.length - 1 -
      (plan.isLate ? target.lagSteps : 0);
    target.node.load = target.history[Math.max(0, reportedIndex)] ?? load;
  }
  return sum / targets.length;
}

function summarize(errors: readonly number[]): Record<string, number> {
  const absoluteErrors = errors.map(Math.abs).sort((left, right) =>
    left - right
  );
  const bias = errors.reduce((sum, error) => sum + error, 0) / errors.length;
  return {
    errorP50: absoluteErrors[Math.floor(absoluteErrors.length / 2)] ?? 0,
    errorP99: absoluteErrors[Math.floor(absoluteErrors.length * 0.99)] ?? 0,
    bias,
  };
}

function print(plan: Plan, values: Readonly<Record<string, unknown>>): void {
  console.log(JSON.stringify(
    { bench: "mean", seed, ...plan, ...values },
    (_key, value: unknown) =>
      typeof value === "number" ? Number(value.toPrecision(3)) : value,
  ));
}
