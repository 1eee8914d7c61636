/** Bundles the router of the users' platform for the plain Node.js runtime. */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync } from "node:fs";
import { resolve } from "node:path";
import { build } from "esbuild";

/**
 * Parts of the HTTP library that the router uses. The package's index also
 * evaluates fetch, caches and web sockets, which is most of a start's time.
 */
const leanUndici = `
  const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
  Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));
  module.exports = {
    Pool: require("undici/lib/dispatcher/pool.js"),
    buildConnector: require("undici/lib/core/connect.js"),
  };
`;

/** The package's index also sets up writers of log files, with locales. */
const leanHistograms = `
  module.exports = require("hdr-histogram-js/dist/HistogramBuilder.js");
`;

const leanContents = {
  undici: leanUndici,
  "hdr-histogram-js": leanHistograms,
};

const leanLibraries = {
  name: "lean-libraries",
  setup({ onLoad, onResolve }) {
    onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({
      path,
      namespace: "lean",
    }));
    onLoad({ filter: /.*/, namespace: "lean" }, ({ path }) => ({
      contents: leanContents[path],
      resolveDir: process.cwd(),
    }));
  },
};

/** Leaves the RPC library in a file of its own, which is loaded when needed. */
const lazyPulls = {
  name: "lazy-pulls",
  setup({ onResolve }) {
    onResolve({ filter: /directory_pull\.ts$/ }, ({ kind }) =>
      kind === "dynamic-import"
        ? { path: "./directory_pull.cjs", external: true }
        : undefined);
  },
};

/** Flags with which deploy/system.toml runs the router. */
const runtimeFlags = ["--max-old-space-size=127"];

mkdirSync("target", { recursive: true });
await build({
  entryPoints: {
    mimosatray: "src/platform/launch.ts",
    router: "src/platform/main.ts",
    code_cache: "src/cli/code_cache.ts",
    directory_pull: "src/connection/directory_pull.ts",
  },
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  // A smaller file is compiled sooner; names stay readable in stacks.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
  logLevel: "warning",
  // Code that comes from a cache cannot use import().
  supported: { "dynamic-import": false },
  plugins: [leanLibraries, lazyPulls],
});
if (/\bimport\(/.test(readFileSync("target/router.cjs", "utf8"))) {
  throw new Error("target/router.cjs uses import(), which a cache breaks");
}
execFileSync(process.execPath, [
  ...runtimeFlags,
  "scripts/write_code_cache.cjs",
  resolve("target/router.cjs"),
], { stdio: ["ignore", "ignore", "inherit"], env: {} });
