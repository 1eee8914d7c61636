/** Prints the demo's report and, as its last line, the figures as JSON. */

/** Figures by name, for the last line of the report. */
export type Figures = Record<string, number | string | boolean>;

/** The report of one run of the demo. */
export interface DemoReport {
  /** Prints the title of the next section. */
  startSection(title: string): void;
  /** Prints one line of the section. */
  printLine(line: string): void;
  /** Records a figure for the last line. */
  recordFigure(name: string, value: number | string | boolean): void;
  /** Prints whether a statement is true and records it as failed if not. */
  check(statement: string, isTrue: boolean): void;
  /** Returns the statements that failed. */
  getFailures(): readonly string[];
  /** Prints the figures and the failures as one line of JSON. */
  finish(): void;
}

/** Creates a report that is printed to standard output. */
export function createDemoReport(): DemoReport {
  const figures: Figures = {};
  const failures: string[] = [];

  return {
    startSection: (title) => print(`\n${title}`),
    printLine: (line) => print(`  ${line}`),
    recordFigure: (name, value) => {
      figures[name] = value;
    },
    check,
    getFailures: () => failures,
    finish: () => print(JSON.stringify({ ...figures, failures })),
  };

  function check(statement: string, isTrue: boolean): void {
    print(`  ${isTrue ? "ok    " : "FAILED"} ${statement}`);
    if (!isTrue) failures.push(statement);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
