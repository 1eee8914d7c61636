/**
 * The options of esbuild that all bundled programs of the product share. They are
 * used from the root of the repository.
 */

import { resolve } from "node:path";

const leanAssert = resolve("scripts/lean_assert.cjs");

/** @type {import("esbuild").BuildOptions} */
export const bundleOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  alias: { "node:assert": leanAssert, assert: leanAssert },
  logLevel: "warning",
};
