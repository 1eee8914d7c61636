/**
 * Runs the benchmarks of bench/ and saves their JSON lines:
 * `node scripts/bench_all.js [names]` writes docs/bench/<date>/<name>.jsonl.
 * Results of earlier dates are kept for comparison with later versions.
 */
import { spawnSync } from "node:child_process";
import { mkdirSync, writeFileSync } from "node:fs";

/** Benchmarks with their arguments, the shortest first. */
const benchmarks = {
  agent: [],
  configuration: [],
  mean: [],
  path: [],
  control: ["0.3", "1"],
  limits: [],
  placement: [],
};

const selected = process.argv.slice(2);
const names = selected.length > 0 ? selected : Object.keys(benchmarks);
const folder = `docs/bench/${new Date().toISOString().slice(0, 10)}`;
mkdirSync(folder, { recursive: true });
for (const name of names) {
  const args = benchmarks[name];
  if (args === undefined) throw new Error(`There is no benchmark ${name}`);
  console.log(`${name} ...`);
  const { status, stdout } = spawnSync(
    process.execPath,
    ["scripts/bench.js", name, ...args],
    { stdio: ["ignore", "pipe", "inherit"], encoding: "utf8" },
  );
  const lines = stdout.split("\n").filter((line) => line.startsWith("{"));
  writeFileSync(`${folder}/${name}.jsonl`, `${lines.join("\n")}\n`);
  console.log(`${name}: ${lines.length} lines, exit ${status}`);
  if (status !== 0) process.exitCode = 1;
}
