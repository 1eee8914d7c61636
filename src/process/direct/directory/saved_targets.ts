/**
 * Decides which targets are saved in the store, and which saved ones a router
 * that starts may use.
 *
 * Load pattern: all routers are lost while the store is unavailable. Entries of
 * targets expire in the outage and come back within two seconds after it. A
 * router that starts knows only the first of them, to which all requests would go,
 * while the engines that hold their prompt parts are idle.
 */

import type { SavedTargetChanges } from "../../../types/directory.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";

/**
 * Share of a service's saved targets from which on missing ones count as expired
 * together. Fewer are taken for targets that have left since they were saved.
 */
const minExpiredShare = 0.25;

/** Minimum number of missing targets that count as expired together. */
const minExpired = 2;

/** Returns what differs between the saved targets and those that are ready. */
export function getSavedTargetChanges(
  saved: ReadonlyMap<string, DirectTarget | undefined>,
  ready: readonly DirectTarget[],
): SavedTargetChanges {
  const readyIds = new Set(ready.map(({ id }) => id));
  return {
    saved: ready.filter((target) => !isSame(saved.get(target.id), target)),
    removed: [...saved.keys()].filter((id) => !readyIds.has(id)),
  };
}

/**
 * Returns the saved targets of which a router that starts may assume that their
 * entries expired in an outage.
 */
export function getExpiredTargets(
  saved: readonly DirectTarget[],
  options: {
    /** Ids of the registered targets. */
    readonly registered: ReadonlySet<string>;
    /** True when this router has seen the store unavailable. */
    readonly wasUnavailable: boolean;
  },
): readonly DirectTarget[] {
  const services = new Set(saved.map(({ service }) => service));
  return [...services].flatMap((service) => {
    const ofService = saved.filter((target) => target.service === service);
    const missing = ofService.filter(({ id }) => !options.registered.has(id));
    const isOutage = options.wasUnavailable ||
      (missing.length >= minExpired &&
        missing.length >= ofService.length * minExpiredShare);
    return isOutage ? missing : [];
  });
}

function isSame(
  saved: DirectTarget | undefined,
  target: DirectTarget,
): boolean {
  return saved !== undefined &&
    saved.startedAtMs === target.startedAtMs &&
    saved.address === target.address &&
    saved.service === target.service &&
    saved.zone === target.zone &&
    saved.slots === target.slots &&
    saved.softwareVersion === target.softwareVersion;
}
