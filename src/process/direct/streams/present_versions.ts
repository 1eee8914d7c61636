/** Knows which software versions of services have had targets just now. */

import type { DirectTarget } from "../../../types/direct_target.ts";

/**
 * Time for which the last target of a version has to be missing before the
 * version is gone, in milliseconds; targets register again after an outage.
 */
export const absenceMs = 3_000;

/** The versions that have targets, by service. */
export interface PresentVersions {
  /** Records the targets of now. */
  record(targets: readonly DirectTarget[]): void;
  /** Returns the versions of a service that are not gone. */
  get(service: string): ReadonlySet<string>;
}

/** Creates versions of which none has been seen. */
export function createPresentVersions(): PresentVersions {
  /** Times at which versions last had a target, by service and version. */
  const timesByService = new Map<string, Map<string, number>>();

  return {
    record,
    get: (service) => new Set(timesByService.get(service)?.keys()),
  };

  function record(targets: readonly DirectTarget[]): void {
    const now = performance.now();
    for (const { service, softwareVersion } of targets) {
      const times = timesByService.get(service) ?? new Map<string, number>();
      timesByService.set(service, times);
      times.set(softwareVersion, now);
    }
    for (const [service, times] of timesByService) {
      times.forEach((at, version) => {
        if (now - at >= absenceMs) times.delete(version);
      });
      if (times.size === 0) timesByService.delete(service);
    }
  }
}
