/** Reports what is unusual in the store's responses, and what they cost. */

import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { DirectoryStore } from "../types/directory.ts";

/** Time of reading a body from which it is logged, in milliseconds. */
const longReadMs = 100;

/** Size of a body from which its reading is logged, in bytes. */
const largeReadBytes = 64 * 1024;

/** Where the store's responses are reported. */
export interface StoreReportsHost {
  readonly store: Pick<DirectoryStore, "onEraFault" | "onRead">;
  readonly log: Pick<Log, "info" | "warn">;
  readonly metrics: Pick<Metrics, "count" | "record">;
}

/** Counts unusable eras and long reads, and logs them. */
export function reportStoreResponses(host: StoreReportsHost): void {
  reportEraFaults(host);
  reportReads(host);
}

/** Logs the first unusable era of each kind. */
function reportEraFaults({ store, log, metrics }: StoreReportsHost): void {
  const logged = new Set<string>();
  store.onEraFault(({ kind, text, newestEra }) => {
    metrics.count("store_era_faults_total", { kind });
    if (logged.has(kind)) return;
    logged.add(kind);
    log.warn("Era of the store cannot be used", { kind, text, newestEra });
  });
}

function reportReads({ store, log, metrics }: StoreReportsHost): void {
  store.onRead(({ call, bytes, bodyMs, isComplete }) => {
    metrics.count("store_read_bytes_total", { call }, bytes);
    metrics.record("store_read_ms", bodyMs, { call });
    if (isComplete && bytes < largeReadBytes && bodyMs < longReadMs) return;
    log.info("Response of the store was long", {
      ...{ call, bytes, bodyMs: Math.round(bodyMs), isComplete },
    });
  });
}
