/** Bundles the router of the users' platform for the plain Node.js runtime. */
import { mkdirSync } from "node:fs";
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

const leanLibraries = {
  name: "lean-libraries",
  setup({ onLoad, onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({
      path: "undici",
      namespace: "lean",
    }));
    onLoad({ filter: /.*/, namespace: "lean" }, () => ({
      contents: leanUndici,
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

mkdirSync("target", { recursive: true });
await build({
  entryPoints: {
    mimosatray: "src/platform/main.ts",
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
  plugins: [leanLibraries, lazyPulls],
});
