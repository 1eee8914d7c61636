/** Loads a bundle with the compiled code that an earlier run has left. */

import { readFileSync } from "node:fs";
import { createRequire, wrap } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** A bundle that has been compiled. */
export interface Bundle {
  /** Evaluates it as a CommonJS module and returns what it exports. */
  run(): unknown;
  /** Code of all functions that have run so far, for the next process. */
  createCache(): Buffer;
  /** True when code of an earlier run was given and could be used. */
  readonly isCached: boolean;
}

/** Name of the file that holds the code of a bundle. */
export function getCacheFile(bundleFile: string): string {
  return `${bundleFile}.cache`;
}

/**
 * Compiles a bundle. Code of another runtime or with other flags is not used;
 * the bundle is then compiled from its source. Throws when it cannot be read.
 * The bundle must load other files by `require`: compiled code that comes from
 * a cache cannot use `import()`.
 */
export function compileBundle(file: string): Bundle {
  const script = new Script(wrap(readFileSync(file, "utf8")), {
    filename: file,
    cachedData: tryReadCache(getCacheFile(file)),
  });

  return {
    run,
    createCache: () => script.createCachedData(),
    isCached: script.cachedDataRejected === false,
  };

  function run(): unknown {
    const module: { exports: unknown } = { exports: {} };
    const evaluate = script.runInThisContext() as (
      ...args: readonly unknown[]
    ) => void;
    evaluate(
      module.exports,
      createRequire(file),
      module,
      file,
      dirname(file),
    );
    return module.exports;
  }
}

/** A missing cache is no fault: the first run of a build has none. */
function tryReadCache(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch {
    return undefined;
  }
}
