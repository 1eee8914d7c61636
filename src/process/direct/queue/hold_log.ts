/** Logs when a queue begins and ends to hold the requests of a service. */

import type { Log } from "../../telemetry/log.ts";

/** Time without a wait after which a hold has ended, in milliseconds. */
const holdEndMs = 1_000;

/** The holds of services. */
export interface HoldLog {
  /** Records that a request of a service begins to wait. */
  recordHeld(service: string): void;
  /** Ends the hold of a service in which nothing has waited for a while. */
  check(service: string, waiting: number): void;
  /** Returns true while a service's requests are held. */
  isHolding(): boolean;
}

/** Creates the log of a queue that holds nothing. */
export function createHoldLog(log: Pick<Log, "info">): HoldLog {
  const holds = new Map<
    string,
    { readonly startedAt: number; lastAt: number; requests: number }
  >();

  return { recordHeld, check, isHolding: () => holds.size > 0 };

  function recordHeld(service: string): void {
    const now = performance.now();
    const hold = holds.get(service);
    if (hold === undefined) {
      holds.set(service, { startedAt: now, lastAt: now, requests: 1 });
      return log.info("Requests begin to wait for room", { service });
    }
    hold.lastAt = now;
    hold.requests++;
  }

  function check(service: string, waiting: number): void {
    const hold = holds.get(service);
    if (hold === undefined) return;
    const now = performance.now();
    if (waiting > 0) hold.lastAt = now;
    if (now - hold.lastAt < holdEndMs) return;
    holds.delete(service);
    log.info("Requests no longer wait for room", {
      service,
      requests: hold.requests,
      heldMs: Math.round(hold.lastAt - hold.startedAt),
    });
  }
}
