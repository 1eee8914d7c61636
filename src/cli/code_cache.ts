/**
 * Loads a bundle with the V8 code cache of an earlier run. V8 only compares the
 * length of the source, so the cache file starts with a digest of the bundle
 * that it was made from.
 */

import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { createRequire, wrap } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** A compiled bundle. */
export interface Bundle {
  /** Evaluates the bundle as a CommonJS module and returns its exports. */
  run(): unknown;
  /**
   * Returns the content of the cache file for the next process: the bundle's
   * digest, then the code of all functions that ran.
   */
  createCache(): Buffer;
  /** True when the cache of an earlier run existed and was accepted. */
  readonly isCached: boolean;
}

/** Hash function of the digest. */
const digestAlgorithm = "sha256";

/** Length of the digest, in bytes. */
const digestBytes = 32;

/** Returns the name of a bundle's cache file. */
export function getCacheFile(bundleFile: string): string {
  return `${bundleFile}.cache`;
}

/**
 * Compiles a bundle, from its cache if possible. A cache of another bundle, of
 * another runtime or of other flags is rejected, and the source is compiled
 * instead. Throws when the bundle cannot be read. The bundle must load other
 * files with `require`: cached code cannot use `import()`.
 */
export function compileBundle(file: string): Bundle {
  const source = readFileSync(file);
  const digest = createHash(digestAlgorithm).update(source).digest();
  const script = new Script(wrap(source.toString()), {
    filename: file,
    cachedData: tryReadCache(getCacheFile(file), digest),
  });

  return {
    run,
    createCache: () => Buffer.concat([digest, script.createCachedData()]),
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

/**
 * Returns the cached code of the bundle with this digest; undefined without a
 * cache, as in the first run of a build, or when another bundle's is found.
 */
function tryReadCache(file: string, digest: Buffer): Buffer | undefined {
  try {
    const cache = readFileSync(file);
    return cache.subarray(0, digestBytes).equals(digest)
      ? cache.subarray(digestBytes)
      : undefined;
  } catch {
    return undefined;
  }
}
