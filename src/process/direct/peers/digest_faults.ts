/**
 * Keeps a digest whose handling or writing throws from ending the process.
 *
 * Load pattern: anyone who reaches the port can repeat a datagram, a timer writes
 * several digests a second, and 20 unexpected errors within 10 s stop a process.
 * Each fault is logged once.
 */

import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";

/** Maximum number of different faults that are logged. */
const maxLogged = 20;

/** The faults of a router. */
export interface DigestFaults {
  /** Handles or writes a digest; counts and logs what it throws. */
  guard(sender: string, handle: () => void): void;
  /** Records the fields of which a digest of this router lacks something. */
  recordLeftOut(fields: readonly string[]): void;
}

/** Creates the record of a router that has met no fault. */
export function createDigestFaults(
  { log, metrics }: {
    readonly log: Pick<Log, "error">;
    readonly metrics: Pick<Metrics, "count">;
  },
): DigestFaults {
  /** Places in the code of the faults that were logged. */
  const logged = new Set<string>();

  return { guard, recordLeftOut };

  function recordLeftOut(fields: readonly string[]): void {
    metrics.count("digest_faults_total");
    const place = `left out: ${fields.join(" ")}`;
    if (!isFirst(place)) return;
    log.error("Digest lacks what could not be encoded", {
      fields: fields.join(" "),
    });
  }

  function isFirst(place: string): boolean {
    if (logged.has(place) || logged.size >= maxLogged) return false;
    logged.add(place);
    return true;
  }

  function guard(sender: string, handle: () => void): void {
    try {
      handle();
    } catch (error) {
      metrics.count("digest_faults_total");
      const stack = error instanceof Error ? error.stack : undefined;
      // The message may contain what the sender chose, unlike the place.
      const place = stack?.split("\n").find((line) => /^ +at /.test(line)) ??
        "";
      if (!isFirst(place)) return;
      log.error("Digest could not be handled", {
        peer: sender,
        error: stack ?? String(error),
      });
    }
  }
}
