/** Handles the signals that stop a process. */

import type { Log } from "../process/telemetry/log.ts";

/** Signals that stop a process, with their numbers. */
const stopSignals = { SIGINT: 2, SIGTERM: 15 } as const;

/** Offset of a signal's number in the exit code. */
const signalExitBase = 128;

type StopSignal = keyof typeof stopSignals;

/** Host that receives signals and exits the process. */
export interface SignalHost {
  on(signal: StopSignal, listener: () => void): void;
  exit(code: number): void;
}

/**
 * Resolves at the first signal. A second SIGINT exits the process immediately.
 * Supervisors may send SIGTERM more than once, so further ones are ignored.
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
      log.warn("Process exits immediately", { signal });
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
