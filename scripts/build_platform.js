/** Bundles the router for the users' platform, to run on plain Node.js. */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync } from "node:fs";
import { resolve } from "node:path";
import { build } from "esbuild";
import { bundleOptions } from "./bundle_options.js";

/**
 * The modules of undici that the router uses. The package's index also
 * evaluates fetch, caches and web sockets, which takes most of the start time.
 */
const leanUndici = `
  const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
  Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));
  module.exports = {
    Pool: require("undici/lib/dispatcher/pool.js"),
    buildConnector: require("undici/lib/core/connect.js"),
  };
`;

/** The package's index also sets up log writers, with locales. */
const leanHistograms = `
  module.exports = require("hdr-histogram-js/dist/HistogramBuilder.js");
`;

/**
 * The HTTP client loads HTTP/2 and with it TLS at the start, but uses them only
 * for encrypted connections, of which the platform has none. It copes with a
 * runtime that lacks them.
 */
const leanHttp2 = `module.exports = { constants: {} };`;

/** Replacements for modules that start slowly, by module name. */
const leanModules = {
  undici: leanUndici,
  "hdr-histogram-js": leanHistograms,
  "node:http2": leanHttp2,
};

/** Matches the names of the modules that are replaced. */
const leanFilter = new RegExp(`^(${Object.keys(leanModules).join("|")})$`);

/** Loads the replacements of `leanModules` in place of the modules. */
const leanLibraries = {
  name: "lean-libraries",
  setup({ onLoad, onResolve }) {
    onResolve({ filter: leanFilter }, ({ path }) => ({
      path,
      namespace: "lean",
    }));
    onLoad({ filter: /.*/, namespace: "lean" }, ({ path }) => ({
      contents: leanModules[path],
      resolveDir: process.cwd(),
    }));
  },
};

/** Keeps the RPC library in a separate file that is loaded on first use. */
const lazyPulls = {
  name: "lazy-pulls",
  setup({ onResolve }) {
    onResolve({ filter: /directory_pull\.ts$/ }, ({ kind }) =>
      kind === "dynamic-import"
        ? { path: "./directory_pull.cjs", external: true }
        : undefined);
  },
};

/** Length of a line after which the bundle begins the next, in characters. */
const maxLineLength = 200;

/**
 * Runtime flags that deploy/system.toml gives the router. The optimizing compiler
 * for WebAssembly takes 38 MB for 0.4 s after the first response, for the parser of
 * HTTP; without it, the parser and the hash of placement are fast enough.
 */
const runtimeFlags = ["--max-old-space-size=127", "--liftoff-only"];

mkdirSync("target", { recursive: true });
await build({
  ...bundleOptions,
  entryPoints: {
    mimosatray: "src/platform/launch.ts",
    router: "src/platform/main.ts",
    code_cache: "src/cli/code_cache.ts",
    directory_pull: "src/connection/directory_pull.ts",
  },
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  // A smaller file compiles faster; names stay readable in stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  // The runtime prints the line of an error that ends the process.
  lineLimit: maxLineLength,
  legalComments: "none",
  // Code that is loaded from a code cache cannot use import().
  supported: { "dynamic-import": false },
  plugins: [leanLibraries, lazyPulls],
});
if (/\bimport\(/.test(readFileSync("target/router.cjs", "utf8"))) {
  throw new Error("target/router.cjs uses import(); cached code cannot use it");
}
// The cache is written from a compile without one.
rmSync("target/router.cjs.cache", { force: true });
execFileSync(process.execPath, [
  ...runtimeFlags,
  "scripts/write_code_cache.cjs",
  resolve("target/router.cjs"),
], { stdio: ["ignore", "ignore", "inherit"], env: {} });
