/**
 * Writes the code cache of a bundle: runs it without settings, so that it exits
 * immediately, and saves the compiled code of what ran. A cache is valid only
 * for a runtime with the same flags, so this script runs with those flags.
 */
const { writeFileSync } = require("node:fs");
const { compileBundle, getCacheFile } = require("../target/code_cache.cjs");

const file = process.argv[2];
const bundle = compileBundle(file);
process.on("exit", () => {
  writeFileSync(getCacheFile(file), bundle.createCache());
  // Without settings the bundle fails; that is expected here.
  process.exitCode = 0;
});
bundle.run();
