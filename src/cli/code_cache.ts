/** Loads a bundle with the V8 code cache of an earlier run. */

import { readFileSync } from "node:fs";
import { createRequire, wrap } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** A compiled bundle. */
export interface Bundle {
  /** Evaluates the bundle as a CommonJS module and returns its exports. */
  run(): unknown;
  /** Returns the code of all functions that ran, for the next process. */
  createCache(): Buffer;
  /** True when the cache of an earlier run existed and was accepted. */
  readonly isCached: boolean;
}

/** Returns the name of a bundle's cache file. */
export function getCacheFile(bundleFile: string): string {
  return `${bundleFile}.cache`;
}

/**
 * Compiles a bundle, from its cache if possible. A cache of another runtime or
 * of other flags is rejected, and the source is compiled instead. Throws when
 * the bundle cannot be read. The bundle must load other files with `require`:
 * cached code cannot use `import()`.
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

/** Returns undefined without a cache; the first run of a build has none. */
function tryReadCache(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch {
    return undefined;
  }
}
