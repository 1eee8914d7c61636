/** A Jest reporter that ends a run with one plain line of counts. */
class ClosingLine {
  onRunComplete(_contexts, results) {
    const { numPassedTests, numFailedTests } = results;
    console.log(`${numPassedTests} passed, ${numFailedTests} failed`);
  }
}

module.exports = ClosingLine;
