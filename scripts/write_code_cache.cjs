/**
 * Runs a bundle without settings, so that it ends at once, and keeps the code
 * of what ran. Flags of the runtime are part of the code's key.
 */
const { writeFileSync } = require("node:fs");
const { compileBundle, getCacheFile } = require("../target/code_cache.cjs");

const file = process.argv[2];
const bundle = compileBundle(file);
process.on("exit", () => {
  writeFileSync(getCacheFile(file), bundle.createCache());
  // Without settings the bundle ends with a failure; this script has not.
  process.exitCode = 0;
});
bundle.run();
