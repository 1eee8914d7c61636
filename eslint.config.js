import tseslint from "typescript-eslint";

/** Life spans from the longest to the shortest; see docs/DESIGN.md. */
const lifeSpans = ["process", "version", "connection", "request"];

/** Libraries that open sockets; only connection/, roles/ and cli/ use them. */
const socketLibraries = [
  "node:net", "node:http", "node:http2", "node:https", "node:dgram",
  "node:child_process", "node:cluster", "@grpc/grpc-js", "polka", "undici",
];

/** A longer life span never imports from a shorter one. */
function restrictLifeSpan(name, index) {
  const shorter = lifeSpans.slice(index + 1);
  const outer = ["roles", "cli"];
  return {
    files: [`src/${name}/**/*.ts`],
    ignores: ["**/*_test.ts"],
    rules: {
      "no-restricted-imports": ["error", {
        paths: name === "connection"
          ? ["node:child_process", "node:cluster"]
          : socketLibraries,
        patterns: [{
          group: [...shorter, ...outer].map((span) => `**/${span}/**`),
          message: "A longer life span never imports from a shorter one",
        }],
      }],
    },
  };
}

export default tseslint.config(
  { ignores: ["dist/**", "node_modules/**", "src/generated/**", "*.cjs"] },
  ...tseslint.configs.recommended,
  {
    files: ["src/**/*.ts", "test/**/*.ts", "bench/**/*.ts"],
    rules: {
      "no-restricted-exports": ["error", {
        restrictDefaultExports: { direct: true, named: true },
      }],
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/consistent-type-imports": "error",
      "max-params": "off",
      "no-restricted-syntax": [
        "error",
        { selector: "TSEnumDeclaration", message: "Use a string union" },
        {
          selector: "ExportNamedDeclaration > VariableDeclaration"
            + " > VariableDeclarator > ArrowFunctionExpression",
          message: "Use the function keyword at top level",
        },
        { selector: "ClassDeclaration", message: "Use a factory function" },
      ],
      eqeqeq: "error",
      "no-console": "error",
      "@typescript-eslint/no-unused-vars": ["error", {
        argsIgnorePattern: "^_",
        varsIgnorePattern: "^_",
      }],
    },
  },
  ...lifeSpans.map(restrictLifeSpan),
  {
    files: ["test/**/*.ts", "bench/**/*.ts"],
    rules: { "no-console": "off" },
  },
);
