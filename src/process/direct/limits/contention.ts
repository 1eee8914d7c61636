/**
 * Knows whether callers compete for the capacity of the targets, so that
 * requests are queued and targets are paced.
 *
 * Load pattern: most deployments have targets with machines of their own and
 * room for all requests, where a queue in the routers only adds delay. Others say
 * in their settings that callers compete, or have targets that share machines and
 * report how fast these are at the moment.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";

/**
 * Time for which contention is assumed, in milliseconds; targets that report the
 * speed of their machines have responded by then.
 */
const assumedMs = 10_000;

/** Whether callers compete for capacity. */
export interface Contention {
  /** Records that a target has reported the speed of its machine. */
  recordSpeed(target: DirectTarget): void;
  /**
   * Assumes contention for the first seconds of this process, as earlier routers
   * of the fleet had it.
   */
  assume(): void;
  /** Returns true when requests are queued and targets are paced. */
  isActive(): boolean;
}

/** Creates the state of a process that has had no response. */
export function createContention(
  host: {
    /** True when the settings of the deployment say so. */
    readonly isConfigured: boolean;
    readonly log: Pick<Log, "info">;
  },
): Contention {
  let isReported = false;

  let assumedUntil = 0;

  return {
    recordSpeed,
    assume: () => {
      assumedUntil = performance.now() + assumedMs;
    },
    isActive: () =>
      host.isConfigured || isReported || performance.now() < assumedUntil,
  };

  function recordSpeed({ id, service }: DirectTarget): void {
    if (isReported) return;
    isReported = true;
    host.log.info("Targets report the speed of their machines", {
      ...{ target: id, service },
      isConfigured: host.isConfigured,
    });
  }
}
