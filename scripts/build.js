/**
 * Builds the binary: bundles src/main.ts to CommonJS, then injects the bundle
 * into a copy of the running Node.js as a single executable application.
 */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { build } from "esbuild";
import { bundleOptions } from "./bundle_options.js";

/** Sentinel that postject sets in the executable to enable the bundle. */
const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("dist", { recursive: true });
await bundle("src/main.ts", "dist/mimosatray.cjs");
// The stand-ins and the demo are separate bundles, not part of the binary.
await bundle("test/stand_ins/main.ts", "dist/stand_ins.cjs");
await bundle("test/demo/demo.ts", "dist/demo.cjs");
writeFileSync(
  "dist/sea.json",
  JSON.stringify({
    main: "dist/mimosatray.cjs",
    output: "dist/sea.blob",
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"]);
copyFileSync(process.execPath, "dist/mimosatray");
chmodSync("dist/mimosatray", 0o755);
execFileSync("node_modules/.bin/postject", [
  "dist/mimosatray",
  "NODE_SEA_BLOB",
  "dist/sea.blob",
  "--sentinel-fuse",
  fuse,
], { stdio: "ignore" });

/** Bundles an entry point with everything that it imports. */
async function bundle(entryPoint, outfile) {
  await build({
    ...bundleOptions,
    entryPoints: [entryPoint],
    outfile,
  });
}
