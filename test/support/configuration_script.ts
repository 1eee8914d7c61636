/** Random histories of operators and faults, and how they are played. */

import * as fc from "fast-check";
import {
  createNetwork,
  type CreateStore,
  type Network,
} from "./configuration_network.ts";
import { createReferee } from "./configuration_referee.ts";
import { createDraft, putWorkspace } from "./drafts.ts";
import { createSeededRandom } from "./seeded_random.ts";

/** One event of a history. */
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
  | { readonly kind: "cut"; readonly node: number; readonly isCut: boolean }
  | { readonly kind: "start" };

/** A history: events with the time that passes before each. */
export interface Script {
  readonly seed: number;
  readonly nodes: number;
  readonly watchers: number;
  readonly lossRate: number;
  readonly steps: readonly {
    readonly waitMs: number;
    readonly event: ScriptEvent;
  }[];
}

/** What came of a history. */
export interface Verdict {
  readonly breaches: readonly string[];
  readonly accepted: number;
}

/** Time between two looks at the stores, in milliseconds. */
const lookMs = 250;

/** Quiet time at the end, in which everything must come into force. */
const settleMs = 20_000;

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
      kind: fc.constant("cut" as const),
      node: nodeIndex,
      isCut: fc.boolean(),
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

/** Generates histories. */
export const scripts: fc.Arbitrary<Script> = fc.record({
  seed: fc.nat(),
  nodes: fc.integer({ min: 2, max: 5 }),
  watchers: fc.integer({ min: 1, max: 2 }),
  lossRate: fc.double({ min: 0, max: 0.4, noNaN: true }),
  steps: fc.array(
    fc.record({
      waitMs: fc.oneof(fc.nat({ max: 30 }), fc.nat({ max: 3_000 })),
      event: events,
    }),
    { minLength: 5, maxLength: 40 },
  ),
});

/** Plays a history under fake timers. */
export async function playScript(
  script: Script,
  options: { readonly createStore?: CreateStore } = {},
): Promise<Verdict> {
  const random = createSeededRandom(script.seed);
  const mathRandom = jest.spyOn(Math, "random").mockImplementation(random);
  const network = createNetwork({
    ...options,
    random,
    lossRate: script.lossRate,
    doubleRate: 0.2,
    delayMs: 400,
    watchers: script.watchers,
  });
  const referee = createReferee(network);
  for (let index = 0; index < script.nodes; index++) network.addNode();
  let submitted = 0;
  let last = createDraft();
  await pass(1_000);

  for (const { waitMs, event } of script.steps) {
    await pass(waitMs);
    act(event);
  }
  heal(network);
  await pass(settleMs);
  referee.checkLog();
  await network.stop();
  await jest.advanceTimersByTimeAsync(30_000);
  mathRandom.mockRestore();
  return {
    breaches: referee.breaches,
    accepted: referee.getAcceptedCount(),
  };

  async function pass(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= lookMs) {
      await jest.advanceTimersByTimeAsync(Math.min(left, lookMs));
      referee.check();
    }
  }

  function act(event: ScriptEvent): void {
    switch (event.kind) {
      case "submit":
        submit(event);
        return;
      case "resubmit":
        void referee.submit(getNode(event.node), last);
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
      case "cut":
        network.setCut(getNode(event.node), event.isCut);
        return;
      case "start":
        if (network.nodes.length < maxNodes) network.addNode();
        return;
    }
  }

  function submit(event: ScriptEvent & { readonly kind: "submit" }): void {
    const node = getNode(event.node);
    const { version } = node.store.getConfiguration();
    submitted++;
    last = createDraft({
      id: `patch-${submitted}`,
      operator: `operator-${event.node}`,
      baseVersion: Math.max(0, version - event.staleness),
      operations: [putWorkspace(`studio-${event.workspace}`, submitted)],
    });
    void referee.submit(node, last);
  }

  function getNode(index: number): Network["nodes"][number] {
    const node = network.nodes[index % network.nodes.length];
    if (node === undefined) throw new Error("The network has no nodes");
    return node;
  }
}

function heal(network: Network): void {
  network.platform.serviceFaults.outage = false;
  network.platform.serviceFaults.delayMs = 0;
  for (const node of network.nodes) {
    if (node.isCut) network.setCut(node, false);
  }
}
