/** Generates and runs random sequences of patches and faults. */

import * as fc from "fast-check";
import {
  createNetwork,
  type CreateStore,
  type Network,
} from "./configuration_network.ts";
import { createConfigurationChecker } from "./configuration_checker.ts";
import { createDraft, putWorkspace } from "./drafts.ts";
import { createSeededRandom } from "./seeded_random.ts";

/** One event of a script. */
export type ScriptEvent =
  | {
    readonly kind: "submit";
    readonly node: number;
    readonly workspace: number;
    readonly staleness: number;
  }
  | { readonly kind: "resubmit"; readonly node: number }
  | { readonly kind: "outage"; readonly isOut: boolean }
  | { readonly kind: "slow"; readonly delayMs: number }
  | { readonly kind: "lose_answer"; readonly node: number }
  | { readonly kind: "lose_request"; readonly node: number }
  | {
    readonly kind: "partition";
    readonly node: number;
    readonly isPartitioned: boolean;
  }
  | { readonly kind: "start" };

/** A sequence of events with the delay before each. */
export interface Script {
  readonly seed: number;
  readonly nodes: number;
  readonly watchers: number;
  readonly lossRate: number;
  readonly steps: readonly {
    readonly delayMs: number;
    readonly event: ScriptEvent;
  }[];
}

/** The result of one script. */
export interface ScriptResult {
  readonly violations: readonly string[];
  readonly accepted: number;
}

/** Time between two checks of the stores, in milliseconds. */
const checkIntervalMs = 250;

/**
 * Time without faults at the end, in milliseconds; every accepted patch comes
 * into force within it.
 */
const convergenceMs = 20_000;

const maxNodes = 8;

const nodeIndex = fc.nat({ max: maxNodes - 1 });

const events: fc.Arbitrary<ScriptEvent> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("submit" as const),
      node: nodeIndex,
      workspace: fc.nat({ max: 5 }),
      staleness: fc.nat({ max: 2 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("resubmit" as const),
      node: nodeIndex,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("outage" as const),
      isOut: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom("lose_answer" as const, "lose_request" as const),
      node: nodeIndex,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("partition" as const),
      node: nodeIndex,
      isPartitioned: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("slow" as const),
      delayMs: fc.constantFrom(0, 20, 300),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("start" as const) }),
  },
);

/** Generates scripts. */
export const scripts: fc.Arbitrary<Script> = fc.record({
  seed: fc.nat(),
  nodes: fc.integer({ min: 2, max: 5 }),
  watchers: fc.integer({ min: 1, max: 2 }),
  lossRate: fc.double({ min: 0, max: 0.4, noNaN: true }),
  steps: fc.array(
    fc.record({
      delayMs: fc.oneof(fc.nat({ max: 30 }), fc.nat({ max: 3_000 })),
      event: events,
    }),
    { minLength: 5, maxLength: 40 },
  ),
});

/** Runs a script under fake timers. */
export async function runScript(
  script: Script,
  options: { readonly createStore?: CreateStore } = {},
): Promise<ScriptResult> {
  const random = createSeededRandom(script.seed);
  const randomSpy = jest.spyOn(Math, "random").mockImplementation(random);
  const network = createNetwork({
    ...options,
    random,
    lossRate: script.lossRate,
    duplicationRate: 0.2,
    maxDelayMs: 400,
    watchers: script.watchers,
  });
  const checker = createConfigurationChecker(network);
  for (let index = 0; index < script.nodes; index++) network.addNode();
  let submissionCount = 0;
  let lastDraft = createDraft();
  await advanceTime(1_000);

  for (const { delayMs, event } of script.steps) {
    await advanceTime(delayMs);
    applyEvent(event);
  }
  clearFaults(network);
  await advanceTime(convergenceMs);
  checker.checkLog();
  await network.stop();
  await jest.advanceTimersByTimeAsync(30_000);
  randomSpy.mockRestore();
  return {
    violations: checker.violations,
    accepted: checker.getAcceptedCount(),
  };

  async function advanceTime(ms: number): Promise<void> {
    for (
      let remainingMs = ms;
      remainingMs > 0;
      remainingMs -= checkIntervalMs
    ) {
      await jest.advanceTimersByTimeAsync(
        Math.min(remainingMs, checkIntervalMs),
      );
      checker.check();
    }
  }

  function applyEvent(event: ScriptEvent): void {
    switch (event.kind) {
      case "submit":
        submit(event);
        return;
      case "resubmit":
        void checker.submit(getNode(event.node), lastDraft);
        return;
      case "outage":
        network.platform.serviceFaults.outage = event.isOut;
        return;
      case "slow":
        network.platform.serviceFaults.delayMs = event.delayMs;
        return;
      case "lose_answer":
        getNode(event.node).platform.faults.lostAnswers++;
        return;
      case "lose_request":
        getNode(event.node).platform.faults.lostRequests++;
        return;
      case "partition":
        network.setPartitioned(getNode(event.node), event.isPartitioned);
        return;
      case "start":
        if (network.nodes.length < maxNodes) network.addNode();
        return;
    }
  }

  function submit(event: ScriptEvent & { readonly kind: "submit" }): void {
    const node = getNode(event.node);
    const { version } = node.store.getConfiguration();
    submissionCount++;
    lastDraft = createDraft({
      id: `patch-${submissionCount}`,
      operator: `operator-${event.node}`,
      baseVersion: Math.max(0, version - event.staleness),
      operations: [putWorkspace(`studio-${event.workspace}`, submissionCount)],
    });
    void checker.submit(node, lastDraft);
  }

  function getNode(index: number): Network["nodes"][number] {
    const node = network.nodes[index % network.nodes.length];
    if (node === undefined) throw new Error("The network has no nodes");
    return node;
  }
}

function clearFaults(network: Network): void {
  network.platform.serviceFaults.outage = false;
  network.platform.serviceFaults.delayMs = 0;
  for (const node of network.nodes) {
    if (node.isPartitioned) network.setPartitioned(node, false);
  }
}
