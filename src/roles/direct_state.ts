/** Shows the state of a direct router to operators. */

import type { CachedParts } from "../process/direct/placement/cached_parts.ts";
import type { Quarantine } from "../process/direct/crashes/quarantine.ts";
import type { RequestQueue } from "../process/direct/queue/request_queue.ts";
import type { LoadView } from "../process/direct/targets/load_view.ts";
import type { MemoryBudget } from "../process/direct/limits/memory_budget.ts";
import type { RetryShare } from "../process/direct/limits/retry_share.ts";
import type { TargetHealth } from "../process/direct/targets/target_health.ts";
import type { StreamOrigins } from "../process/direct/streams/stream_origins.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import type { TargetPace } from "../process/direct/targets/target_pace.ts";
import type { TargetPauses } from "../process/direct/targets/target_pauses.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";
import type { ZoneEvacuations } from "../process/direct/targets/zone_evacuations.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Dump } from "../types/role.ts";
import type { Directory } from "./directory.ts";

/** What the state is read from. */
export interface DirectStateHost {
  readonly metrics: Pick<Metrics, "gauge">;
  readonly directory: Pick<Directory, "dump">;
  readonly targets: Pick<TargetTable, "getCounts">;
  readonly evacuations: Pick<ZoneEvacuations, "getAll">;
  readonly health: Pick<TargetHealth, "getEjected">;
  readonly pauses: Pick<TargetPauses, "getPaused">;
  readonly limits: Pick<TargetLimits, "getAll" | "getCold">;
  readonly pace: Pick<TargetPace, "getAll">;
  readonly loads: Pick<LoadView, "getOwnLoads">;
  readonly queue: Pick<RequestQueue, "describe">;
  readonly streamOrigins: Pick<StreamOrigins, "getSize">;
  readonly quarantine: Pick<Quarantine, "getAll">;
  readonly cachedParts: Pick<CachedParts, "getSize">;
  readonly responseMemory: Pick<MemoryBudget, "getUsedBytes">;
  readonly retries: Pick<RetryShare, "getSpent">;
  /** Returns the version in force; 0 before the first. */
  getVersion(): number;
  getInFlight(): number;
  isReady(): boolean;
}

/** Registers the gauges and returns the dump. */
export function createDirectState(
  host: DirectStateHost,
): { dump(): Dump } {
  const { metrics, targets, health, pauses, loads, quarantine } = host;
  metrics.gauge("requests_in_flight", host.getInFlight);
  metrics.gauge("configuration_version", host.getVersion);
  metrics.gauge("targets_ready", () => targets.getCounts().ready);
  metrics.gauge("targets_aside", () => health.getEjected().length);
  metrics.gauge("zones_evacuated", () => host.evacuations.getAll().length);
  metrics.gauge("targets_paused", () => pauses.getPaused().length);
  metrics.gauge("targets_limited", () => host.limits.getAll().length);
  metrics.gauge("targets_cold", () => host.limits.getCold().length);
  metrics.gauge("targets_paced", () => host.pace.getAll().length);
  metrics.gauge("streams_remembered", host.streamOrigins.getSize);
  metrics.gauge("quarantined", () => quarantine.getAll().length);
  metrics.gauge("held_parts", host.cachedParts.getSize);
  metrics.gauge("response_memory_bytes", host.responseMemory.getUsedBytes);
  metrics.gauge("repeats_in_window", host.retries.getSpent);
  metrics.gauge("process_resident_bytes", () => process.memoryUsage.rss());

  return { dump };

  function dump(): Dump {
    return {
      version: host.getVersion(),
      isReady: host.isReady(),
      inFlight: host.getInFlight(),
      directory: host.directory.dump(),
      targets: targets.getCounts(),
      aside: health.getEjected(),
      evacuated: host.evacuations.getAll(),
      paused: pauses.getPaused(),
      limited: host.limits.getAll().map((limit) => ({ ...limit })),
      cold: host.limits.getCold().map((target) => ({ ...target })),
      paced: host.pace.getAll().map((pace) => ({ ...pace })),
      queues: host.queue.describe(),
      quarantined: quarantine.getAll().map((key) => ({ ...key })),
      loads: Object.fromEntries(
        [...loads.getOwnLoads()].map(([target, load]) => [target, { ...load }]),
      ),
    };
  }
}
