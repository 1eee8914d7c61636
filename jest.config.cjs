/** Jest runs the TypeScript sources directly; ESM-only libraries are transformed too. */
const esmPackages = [
  "p-queue",
  "p-timeout",
  "eventemitter3",
  "consola",
  "clipanion",
  "xxhash-wasm",
  "@bufbuild",
  "tinybench",
  "fast-check",
  "pure-rand",
];

module.exports = {
  testEnvironment: "node",
  reporters: ["default", "<rootDir>/scripts/closing_line.cjs"],
  // A busy machine must not decide the verdict; it is far above any test's time.
  testTimeout: 60000,
  // Tests on real processes need the build; npm run test:processes runs them.
  testPathIgnorePatterns: [
    "/node_modules/",
    "<rootDir>/test/processes/",
    "<rootDir>/test/known_red/",
  ],
  testMatch: ["<rootDir>/src/**/*_test.ts", "<rootDir>/test/**/*_test.ts"],
  transform: {
    "^.+\\.(t|j)s$": ["@swc/jest", {
      jsc: { parser: { syntax: "typescript" }, target: "es2022" },
      module: { type: "commonjs" },
    }],
  },
  transformIgnorePatterns: [
    `/node_modules/(?!(${esmPackages.join("|")})/)`,
  ],
  moduleFileExtensions: ["ts", "js", "json"],
};
