/** Turns signals into the graceful stop of a process. */

import type { Log } from "../process/telemetry/log.ts";

/** Signals that ask for a stop, with their numbers. */
const stopSignals = { SIGINT: 2, SIGTERM: 15 } as const;

/** Added to a signal's number in the exit code. */
const signalExitBase = 128;

type StopSignal = keyof typeof stopSignals;

/** The process that receives the signals. */
export interface SignalHost {
  on(signal: StopSignal, listener: () => void): void;
  exit(code: number): void;
}

/**
 * Resolves at the first signal. A second SIGINT ends the process at once;
 * supervisors send SIGTERM more than once, so a further one changes nothing.
 */
export function waitForSignal(
  log: Log,
  host: SignalHost = getProcessHost(),
): Promise<StopSignal> {
  return new Promise((resolve) => {
    let isStopping = false;
    for (const signal of Object.keys(stopSignals) as StopSignal[]) {
      host.on(signal, () => handleSignal(signal));
    }

    function handleSignal(signal: StopSignal): void {
      if (!isStopping) {
        isStopping = true;
        resolve(signal);
        return;
      }
      if (signal === "SIGTERM") {
        log.info("Process is already stopping", { signal });
        return;
      }
      log.warn("Process ends at once", { signal });
      host.exit(signalExitBase + stopSignals[signal]);
    }
  });
}

function getProcessHost(): SignalHost {
  return {
    on: (signal, listener) => void process.on(signal, listener),
    exit: (code) => process.exit(code),
  };
}
