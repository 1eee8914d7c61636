/** The demo's report for a person, and its line of figures. */

/** Values of the line of figures. */
export type Figures = Record<string, number | string | boolean>;

/** Collects and prints what happened. */
export interface Report {
  /** Begins a part of the report. */
  startSection(title: string): void;
  /** Prints one line of it. */
  printLine(line: string): void;
  /** Notes a figure for the last line. */
  recordFigure(name: string, value: number | string | boolean): void;
  /** States what must hold; a failure is printed and remembered. */
  check(statement: string, isTrue: boolean): void;
  getFailures(): readonly string[];
  /** Prints the figures as one line of JSON. */
  finish(): void;
}

/** Creates a report on standard output. */
export function createReport(): Report {
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
