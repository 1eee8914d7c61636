/** Bundles and runs the load tool: `npm run load [-- seed]`. */
import { spawnSync } from "node:child_process";
import { build } from "esbuild";

const outfile = "dist/bench/load_tool.mjs";
await build({
  entryPoints: ["test/emulator/load_tool.ts"],
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
