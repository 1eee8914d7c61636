/** Bundles the router of the users' platform for the plain Node.js runtime. */
import { mkdirSync } from "node:fs";
import { build } from "esbuild";

mkdirSync("target", { recursive: true });
await build({
  entryPoints: ["src/platform/main.ts"],
  outfile: "target/mimosatray.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  logLevel: "warning",
});
