/** Packages that are ES modules only; Jest transforms them like the sources. */
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
  // Far above the time of any test, so that a busy machine fails none.
  testTimeout: 60000,
  // Tests of real processes need the build; npm run test:processes runs them.
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
