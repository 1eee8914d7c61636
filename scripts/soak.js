/**
 * Builds the router and runs the soak:
 * `npm run soak [-- --seeds 1..50 --jobs 3]`.
 */
import { spawnSync } from "node:child_process";
import { build } from "esbuild";

const outfile = "dist/soak/soak.mjs";
await import("./build_platform.js");
await build({
  entryPoints: ["test/soak/main.ts"],
  outfile,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  packages: "external",
  logLevel: "warning",
});
const { status } = spawnSync(
  process.execPath,
  [outfile, ...process.argv.slice(2)],
  { stdio: "inherit" },
);
process.exit(status ?? 1);
