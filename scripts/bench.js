/**
 * Bundles and runs one benchmark: `node scripts/bench.js <name> [args]` runs
 * bench/<name>.ts, which prints one JSON object per line.
 */
import { spawnSync } from "node:child_process";
import { build } from "esbuild";

const [name, ...args] = process.argv.slice(2);
if (name === undefined || !/^[a-z0-9_]+$/.test(name)) {
  console.error("usage: node scripts/bench.js <name> [args]");
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
  ["--expose-gc", outfile, ...args],
  { stdio: "inherit" },
);
process.exit(status ?? 1);
