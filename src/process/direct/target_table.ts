/**
 * Tracks which targets may receive new work. A target that drains or whose
 * entry is removed receives none from then on, with one exception: entries that
 * expire while the store is unavailable are registered again shortly after it
 * recovers, so their targets stay in use until then.
 */

import type { DirectTarget } from "../../types/direct_target.ts";

/** Targets and the time until which each is usable. */
export interface TargetTable {
  /** Adds or updates a target; returns true when it is a new process. */
  put(target: DirectTarget): boolean;
  /** Removes a target at `usableUntil`, a time on the monotonic clock. */
  remove(id: string, usableUntil: number): void;
  /** Returns a service's targets that may receive new work, sorted by id. */
  getReady(service: string): readonly DirectTarget[];
  /** Returns the registered and ready targets of all services. */
  getAllReady(): readonly DirectTarget[];
  /** Returns a service's targets that get no new work but may still respond. */
  getLeaving(service: string): readonly DirectTarget[];
  /** Returns a known target in any state. */
  tryGet(id: string): DirectTarget | undefined;
  /** Returns the addresses of all known targets. */
  getAddresses(): ReadonlySet<string>;
  /** Returns the number of targets by state, for metrics. */
  getCounts(): Readonly<Record<"ready" | "draining" | "lapsed", number>>;
}

/** A target and its removal. */
interface TargetEntry {
  readonly target: DirectTarget;
  /** End of use on the monotonic clock; undefined while it is registered. */
  readonly usableUntil: number | undefined;
}

/** Time for which a removed target is kept for running streams, in ms. */
const retentionMs = 10_000;

/**
 * Time for which a removed target is still expected to respond, in
 * milliseconds; targets continue to serve for some seconds after they leave.
 */
const leaveGraceMs = 1_500;

/** Creates an empty table. */
export function createTargetTable(): TargetTable {
  const entriesById = new Map<string, TargetEntry>();
  /**
   * Ready targets by service, sorted; filled while no target has been removed,
   * as the end of use of a removed one depends on the time.
   */
  const readyByService = new Map<string, readonly DirectTarget[]>();

  return {
    put,
    remove,
    getReady,
    getAllReady,
    getLeaving,
    tryGet,
    getAddresses,
    getCounts,
  };

  function put(target: DirectTarget): boolean {
    const previous = entriesById.get(target.id)?.target;
    entriesById.set(target.id, { target, usableUntil: undefined });
    readyByService.clear();
    return previous === undefined ||
      previous.startedAtMs !== target.startedAtMs ||
      previous.address !== target.address;
  }

  function remove(id: string, usableUntil: number): void {
    const known = entriesById.get(id);
    if (known !== undefined) entriesById.set(id, { ...known, usableUntil });
    readyByService.clear();
  }

  function getReady(service: string): readonly DirectTarget[] {
    const cached = readyByService.get(service);
    if (cached !== undefined) return cached;
    const now = performance.now();
    const ready: DirectTarget[] = [];
    let hasRemoved = false;
    for (const [id, { target, usableUntil }] of entriesById) {
      if (usableUntil !== undefined && usableUntil + retentionMs < now) {
        entriesById.delete(id);
      }
      hasRemoved ||= usableUntil !== undefined;
      if (target.service !== service || target.state !== "ready") continue;
      if (usableUntil === undefined || usableUntil > now) ready.push(target);
    }
    ready.sort((left, right) => (left.id < right.id ? -1 : 1));
    if (!hasRemoved) readyByService.set(service, ready);
    return ready;
  }

  function getAllReady(): readonly DirectTarget[] {
    return [...entriesById.values()]
      .filter(({ target, usableUntil }) =>
        target.state === "ready" && usableUntil === undefined
      )
      .map(({ target }) => target);
  }

  function getLeaving(service: string): readonly DirectTarget[] {
    const now = performance.now();
    return [...entriesById.values()]
      .filter(({ target, usableUntil }) =>
        target.service === service &&
        (usableUntil === undefined
          ? target.state === "draining"
          : usableUntil <= now && now < usableUntil + leaveGraceMs)
      )
      .map(({ target }) => target);
  }

  function tryGet(id: string): DirectTarget | undefined {
    return entriesById.get(id)?.target;
  }

  function getAddresses(): ReadonlySet<string> {
    return new Set(
      [...entriesById.values()].map(({ target }) => target.address),
    );
  }

  function getCounts() {
    const counts = { ready: 0, draining: 0, lapsed: 0 };
    entriesById.forEach(({ target, usableUntil }) => {
      if (usableUntil === undefined) counts[target.state]++;
      else counts.lapsed++;
    });
    return counts;
  }
}
