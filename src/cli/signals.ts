/** Turns signals into the graceful stop of a process. */

import type { Log } from "../process/log.ts";

/** Signals that ask for a stop, with their numbers. */
const stopSignals = { SIGINT: 2, SIGTERM: 15 } as const;

/** Added to a signal's number in the exit code. */
const signalExitBase = 128;

type StopSignal = keyof typeof stopSignals;

/** Resolves at the first signal; a second one ends the process at once. */
export function waitForSignal(log: Log): Promise<StopSignal> {
  return new Promise((resolve) => {
    let isStopping = false;
    for (const signal of Object.keys(stopSignals) as StopSignal[]) {
      process.on(signal, () => handle(signal));
    }

    function handle(signal: StopSignal): void {
      if (!isStopping) {
        isStopping = true;
        resolve(signal);
        return;
      }
      log.warn("Process ends at once", { signal });
      process.exit(signalExitBase + stopSignals[signal]);
    }
  });
}
