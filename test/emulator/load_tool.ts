/**
 * Replays each load pattern under each policy on emulated engines, prints a
 * table and writes a plot. Usage: `npm run load [-- seed]`.
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { install } from "@sinonjs/fake-timers";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { loadPlacementHost } from "../../src/process/placement/placement.ts";
import { createArrivals, type LoadPattern } from "./arrivals.ts";
import { type Policy, replay, type ReplayResult } from "./fleet.ts";

const patterns: readonly LoadPattern[] = [
  "calm",
  "hot_part",
  "burst",
  "crash",
];
const policies: readonly Policy[] = ["rank", "no_wait", "product"];

/** Size of the fleet, as in a production system, and length of a replay. */
const size = { engines: 6, routers: 5, lengthMs: 30_000 } as const;

/** Path of the plot. */
const plotFile = "docs/bench/load.svg";

/** One row of the table: the result of a pattern under a policy. */
interface Row {
  readonly pattern: LoadPattern;
  readonly policy: Policy;
  readonly result: ReplayResult;
}

const seed = Number(process.argv[2] ?? 7);
const rows = await replayAll();
printTable(rows);
await plot(rows);

async function replayAll(): Promise<readonly Row[]> {
  const placementHost = await loadPlacementHost();
  const allRows: Row[] = [];
  for (const pattern of patterns) {
    const arrivals = createArrivals(pattern, { seed, ...size });
    for (const policy of policies) {
      const clock = install();
      try {
        const result = await replay(arrivals, {
          ...size,
          ...{ policy, pattern, placementHost },
          advance: async (ms) => {
            await clock.tickAsync(ms);
          },
        });
        allRows.push({ pattern, policy, result });
      } finally {
        clock.uninstall();
      }
    }
  }
  return allRows;
}

function printTable(all: readonly Row[]): void {
  const columns = [
    ...["pattern", "policy", "requests", "on time %", "failed"],
    ...["first event p50 ms", "p99 ms", "read again", "copied"],
    ...["busiest/mean", "highest multiple"],
  ];
  console.log(`| ${columns.join(" | ")} |`);
  console.log(`|${" --- |".repeat(columns.length)}`);
  for (const { pattern, policy, result } of all) {
    const cells = [
      pattern,
      policy,
      result.requests,
      (result.onTimeShare * 100).toFixed(1),
      result.failed,
      getPercentile(result.firstEventMs, 0.5),
      getPercentile(result.firstEventMs, 0.99),
      result.repeatedPrefillTokens,
      result.copiedTokens,
      result.maxRequestsOverMean.toFixed(2),
      result.maxLoadMultiple.toFixed(2),
    ];
    console.log(`| ${cells.join(" | ")} |`);
  }
}

function getPercentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return Math.round(sorted[Math.floor(sorted.length * fraction)] ?? 0);
}

async function plot(all: readonly Row[]): Promise<void> {
  const values = all.map(({ pattern, policy, result }) => ({
    pattern,
    policy,
    tokens: result.repeatedPrefillTokens,
  }));
  const spec: TopLevelSpec = {
    title: `Shared tokens read again, seed ${seed}`,
    data: { values },
    mark: "bar",
    encoding: {
      x: { field: "pattern", type: "nominal", title: "load pattern" },
      xOffset: { field: "policy" },
      y: { field: "tokens", type: "quantitative", title: "tokens" },
      color: { field: "policy", type: "nominal" },
    },
  };
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  mkdirSync("docs/bench", { recursive: true });
  writeFileSync(plotFile, await view.toSVG());
  console.log(`\nPlot: ${plotFile}`);
}
