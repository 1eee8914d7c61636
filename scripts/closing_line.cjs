/** Jest reporter that prints the counts of a run as one plain last line. */
class ClosingLine {
  onRunComplete(_contexts, results) {
    const { numPassedTests, numFailedTests } = results;
    console.log(`${numPassedTests} passed, ${numFailedTests} failed`);
  }
}

module.exports = ClosingLine;
