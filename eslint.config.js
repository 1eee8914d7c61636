import tseslint from "typescript-eslint";

/** Folders of src, longest lifetime of their state first (docs/DESIGN.md). */
const lifetimes = ["process", "version", "connection", "request"];

/** Libraries that open sockets; of `lifetimes` only connection/ uses them. */
const socketLibraries = [
  "node:net", "node:http", "node:http2", "node:https", "node:dgram",
  "node:child_process", "node:cluster", "@grpc/grpc-js", "polka", "undici",
];

/** Forbids imports from folders with a shorter lifetime, and of sockets. */
function restrictImports(name, index) {
  const shorter = lifetimes.slice(index + 1);
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
          group: [...shorter, ...outer].map((folder) => `**/${folder}/**`),
          message: "Do not import from a folder with a shorter lifetime",
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
  ...lifetimes.map(restrictImports),
  {
    files: ["test/**/*.ts", "bench/**/*.ts"],
    rules: { "no-console": "off" },
  },
);
