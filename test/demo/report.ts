/** The demo's report for a person, and its line of figures. */

/** Values of the line of figures. */
export type Figures = Record<string, number | string | boolean>;

/** Collects and prints what happened. */
export interface Report {
  /** Begins a part of the report. */
  section(title: string): void;
  /** Prints one line of it. */
  say(line: string): void;
  /** Notes a figure for the last line. */
  note(name: string, value: number | string | boolean): void;
  /** States what must hold; a failure is printed and remembered. */
  check(what: string, holds: boolean): void;
  getFailures(): readonly string[];
  /** Prints the figures as one line of JSON. */
  finish(): void;
}

/** Creates a report on standard output. */
export function createReport(): Report {
  const figures: Figures = {};
  const failures: string[] = [];

  return {
    section: (title) => print(`\n${title}`),
    say: (line) => print(`  ${line}`),
    note: (name, value) => {
      figures[name] = value;
    },
    check,
    getFailures: () => failures,
    finish: () => print(JSON.stringify({ ...figures, failures })),
  };

  function check(what: string, holds: boolean): void {
    print(`  ${holds ? "ok    " : "FAILED"} ${what}`);
    if (!holds) failures.push(what);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
