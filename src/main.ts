/** Entry point of the one binary. */

/** Starts the command line. */
export function main(): void {
  process.exitCode = 0;
}

main();
