/** Runs tests that start the built binary and the stand-ins on loopback. */
const base = require("./jest.config.cjs");

module.exports = {
  ...base,
  testPathIgnorePatterns: ["/node_modules/"],
  testMatch: ["<rootDir>/test/processes/**/*_test.ts"],
  maxWorkers: 2,
  testTimeout: 60000,
};
