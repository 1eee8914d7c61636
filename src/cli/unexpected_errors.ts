/**
 * Handles errors that nothing in the process has caught. By default one of them
 * ends the process, and with it all requests in flight, although it usually
 * concerns a single request or message.
 */

import type { Log } from "../process/telemetry/log.ts";

/** Events of errors that nothing has caught. */
const errorEvents = ["uncaughtException", "unhandledRejection"] as const;

/**
 * Number of errors within `windowMs` after which the process stops gracefully,
 * because something that concerns all requests may be broken.
 */
const maxErrors = 20;

/** Time within which errors are counted, in milliseconds. */
const windowMs = 10_000;

/** Host that reports errors. */
export interface ErrorHost {
  on(
    event: typeof errorEvents[number],
    listener: (error: unknown) => void,
  ): void;
}

/**
 * Logs each error, after which the process goes on. Resolves when there are so
 * many that the process should stop; its supervisor starts it again.
 */
export function waitForTooManyErrors(
  log: Pick<Log, "error">,
  host: ErrorHost = getProcessHost(),
): Promise<"unexpected_errors"> {
  return new Promise((resolve) => {
    let times: readonly number[] = [];
    for (const event of errorEvents) {
      host.on(event, (error) => handleError(event, error));
    }

    function handleError(event: string, error: unknown): void {
      const now = performance.now();
      times = [...times.filter((at) => at > now - windowMs), now];
      if (times.length > maxErrors) return;
      log.error("Unexpected error", {
        event,
        error: error instanceof Error ? error.stack : String(error),
      });
      if (times.length < maxErrors) return;
      log.error("Process stops after too many unexpected errors", {
        errors: maxErrors,
        windowMs,
      });
      resolve("unexpected_errors");
    }
  });
}

function getProcessHost(): ErrorHost {
  return {
    on: (event, listener) => void process.on(event, listener),
  };
}
