/**
 * Tests that accepted patches come into force everywhere in time and are never
 * reverted.
 */

import * as fc from "fast-check";
import { createNaiveStore } from "../naive/configuration_store.ts";
import {
  runScript,
  type Script,
  scripts,
} from "../support/configuration_script.ts";

const seed = 20261203;

describe("configuration across a lossy network", () => {
  beforeEach(() => {
    jest.useFakeTimers({ doNotFake: ["nextTick", "queueMicrotask"] });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("keeps its guarantees under random faults", async () => {
    let accepted = 0;
    await fc.assert(
      fc.asyncProperty(scripts, async (script) => {
        const scriptResult = await runScript(script);
        accepted += scriptResult.accepted;
        expect(scriptResult.violations).toEqual([]);
      }),
      {
        seed,
        numRuns: 60,
      },
    );
    expect(accepted).toBeGreaterThan(100);
  });

  it("breaks them with a store that applies whatever arrives", async () => {
    const violationKinds = new Set<string>();
    await fc.assert(
      fc.asyncProperty(scripts, async (script: Script) => {
        const scriptResult = await runScript(script, {
          createStore: createNaiveStore,
        });
        scriptResult.violations.forEach((violation) =>
          violationKinds.add(getViolationKind(violation))
        );
      }),
      { seed, numRuns: 20 },
    );
    expect([...violationKinds].sort()).toEqual([
      "has other content",
      "in the log twice",
      "lacks version",
      "logged as",
      "refused",
      "went back",
    ]);
  });
});

/** Returns the kind of a violation, without names and numbers. */
function getViolationKind(violation: string): string {
  const kinds = [
    "went back",
    "has other content",
    "lacks version",
    "refused",
    "logged as",
    "in the log twice",
  ];
  return kinds.find((kind) => violation.includes(kind)) ?? violation;
}
