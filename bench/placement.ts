/**
 * Compares placement policies for returning chats in a simulation. Prints one
 * JSON object per scenario and policy, each on a line.
 *
 * Arguments: scenario names, or none for all.
 */

import { getColdMultiple } from "../src/process/admission/load_gate.ts";
import { loadPlacementHost, runExperiment } from "./placement/simulation.ts";
import { policies } from "./placement/policies.ts";
import type { Experiment } from "./placement/experiment.ts";

const base: Experiment = {
  engines: 210,
  ratePerEngine: 4.76,
  chatsPerEngine: 286,
  cacheSize: 1_500,
  loadMultiple: 1.25,
  coldMultiple: 1.25,
  meanTurns: 8,
  maxReportAgeSeconds: 1,
  samplesPerSecond: 4,
  lengthSigma: 0,
  surgeShare: 0,
  warmUpSeconds: 150,
  seconds: 180,
  seed: 11,
  churn: "none",
};

/** All scenarios by name. */
const scenarios: Readonly<Record<string, Experiment>> = {
  steady_210: base,
  unequal_210: { ...base, lengthSigma: 1 },
  stale_210: { ...base, lengthSigma: 1, maxReportAgeSeconds: 3 },
  surge_210: { ...base, lengthSigma: 1, surgeShare: 0.4 },
  churn_210: { ...base, lengthSigma: 1, churn: "leave_and_join" },
  planned_210: { ...base, lengthSigma: 1, churn: "planned_leave_with_export" },
  flap_210: { ...base, lengthSigma: 1, churn: "flap" },
  zone_210: { ...base, lengthSigma: 1, churn: "zone_lost_and_back" },
  tight_210: { ...base, lengthSigma: 1, loadMultiple: 1.1 },
  steady_13: { ...base, engines: 13 },
  unequal_13: { ...base, engines: 13, lengthSigma: 1 },
  churn_13: { ...base, engines: 13, lengthSigma: 1, churn: "leave_and_join" },
  planned_13: {
    ...base,
    engines: 13,
    lengthSigma: 1,
    churn: "planned_leave_with_export",
  },
  steady_6: { ...base, engines: 6 },
  unequal_6: { ...base, engines: 6, lengthSigma: 1 },
  churn_6: { ...base, engines: 6, lengthSigma: 1, churn: "leave_and_join" },
};

/** Runs the named scenarios, or all of them, with every policy. */
async function main(names: readonly string[]): Promise<void> {
  const placementHost = await loadPlacementHost();
  const selectedNames = names.length > 0 ? names : Object.keys(scenarios);
  for (const name of selectedNames) {
    const experiment = scenarios[name];
    if (experiment === undefined) throw new Error(`Unknown scenario: ${name}`);
    for (const policy of Object.keys(policies)) {
      const coldMultiple = policy.startsWith("product")
        ? getColdMultiple(experiment.loadMultiple, undefined)
        : experiment.coldMultiple;
      const result = runExperiment(policy, {
        ...experiment,
        coldMultiple,
      }, placementHost);
      console.log(
        JSON.stringify({ bench: "placement", scenario: name, ...result }),
      );
    }
  }
}

void main(process.argv.slice(2));
