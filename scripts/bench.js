/**
 * Bundles and runs one measurement: `node scripts/bench.js <name> [words]`
 * runs bench/<name>.ts, which prints one JSON object a line.
 */
import { spawnSync } from "node:child_process";
import { build } from "esbuild";

const [name, ...words] = process.argv.slice(2);
if (name === undefined || !/^[a-z0-9_]+$/.test(name)) {
  console.error("usage: node scripts/bench.js <name> [words]");
  process.exit(2);
}
const outfile = `dist/bench/${name}.cjs`;
await build({
  entryPoints: [`bench/${name}.ts`],
  outfile,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  logLevel: "warning",
});
const { status } = spawnSync(
  process.execPath,
  ["--expose-gc", outfile, ...words],
  { stdio: "inherit" },
);
process.exit(status ?? 1);
