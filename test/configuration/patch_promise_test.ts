/** Accepted patches are in force everywhere in time and never revert. */

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

  it("keeps the promise through random faults", async () => {
    let accepted = 0;
    await fc.assert(
      fc.asyncProperty(scripts, async (script) => {
        const verdict = await runScript(script);
        accepted += verdict.accepted;
        expect(verdict.violations).toEqual([]);
      }),
      {
        seed,
        numRuns: 60,
      },
    );
    expect(accepted).toBeGreaterThan(100);
  });

  it("is broken by a store that applies whatever arrives", async () => {
    const breaches = new Set<string>();
    await fc.assert(
      fc.asyncProperty(scripts, async (script: Script) => {
        const verdict = await runScript(script, {
          createStore: createNaiveStore,
        });
        verdict.violations.forEach((breach) => breaches.add(classify(breach)));
      }),
      { seed, numRuns: 20 },
    );
    expect([...breaches].sort()).toEqual([
      "has other content",
      "in the log twice",
      "lacks version",
      "logged as",
      "refused",
      "went back",
    ]);
  });
});

/** Returns the kind of a breach without its names and numbers. */
function classify(breach: string): string {
  const kinds = [
    "went back",
    "has other content",
    "lacks version",
    "refused",
    "logged as",
    "in the log twice",
  ];
  return kinds.find((kind) => breach.includes(kind)) ?? breach;
}
