/** Watches what the event loop of a process does. */

import { PerformanceObserver } from "node:perf_hooks";
import { createMeasuredLog, type Log } from "../process/telemetry/log.ts";
import {
  createLoopTurns,
  type LoopTurns,
} from "../process/telemetry/loop_turns.ts";
import { createLoopWork } from "../process/telemetry/loop_work.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";

/** The turns of the loop, and a log whose lines count as work in them. */
export interface LoopWatch {
  readonly log: Log;
  readonly turns: LoopTurns;
}

/** Starts to watch the loop. */
export function watchLoop(
  { log, metrics }: { readonly log: Log; readonly metrics: Metrics },
): LoopWatch {
  const work = createLoopWork({ ...{ log, metrics }, getProcessorMs });
  const collections = new PerformanceObserver((list) =>
    list.getEntries().forEach(({ duration }) =>
      work.add("collection", duration)
    )
  );
  collections.observe({ entryTypes: ["gc"] });
  const turns = createLoopTurns({
    ...{ metrics, work },
    getIdleMs: () => performance.nodeTiming.idleTime,
  });
  return {
    log: createMeasuredLog(log, (write) => work.measure("log", write)),
    turns: { ...turns, stop },
  };

  function stop(): void {
    collections.disconnect();
    turns.stop();
  }
}

function getProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}
