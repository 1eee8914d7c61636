/**
 * Repeats the measurements of bench/ and keeps their JSON lines:
 * `node scripts/bench_all.js [names]` writes docs/bench/<date>/<name>.jsonl.
 * Earlier dates are kept, so that a later version is compared with them.
 */
import { spawnSync } from "node:child_process";
import { mkdirSync, writeFileSync } from "node:fs";

/** Measurements with their words, the shortest first. */
const measurements = {
  agent: [],
  configuration: [],
  mean: [],
  path: [],
  control: ["0.3", "1"],
  limits: [],
  placement: [],
};

const wanted = process.argv.slice(2);
const names = wanted.length > 0 ? wanted : Object.keys(measurements);
const folder = `docs/bench/${new Date().toISOString().slice(0, 10)}`;
mkdirSync(folder, { recursive: true });
for (const name of names) {
  const words = measurements[name];
  if (words === undefined) throw new Error(`There is no measurement ${name}`);
  console.log(`${name} ...`);
  const { status, stdout } = spawnSync(
    process.execPath,
    ["scripts/bench.js", name, ...words],
    { stdio: ["ignore", "pipe", "inherit"], encoding: "utf8" },
  );
  const lines = stdout.split("\n").filter((line) => line.startsWith("{"));
  writeFileSync(`${folder}/${name}.jsonl`, `${lines.join("\n")}\n`);
  console.log(`${name}: ${lines.length} lines, exit ${status}`);
  if (status !== 0) process.exitCode = 1;
}
