/**
 * The targets that may receive new work. A target that drains or whose entry
 * is removed gets none from that moment on, with one exception: entries that
 * lapse while the store is away come back shortly after its return, so their
 * targets stay in use until then.
 */

import type { DirectTarget } from "../../types/direct_target.ts";

/** Targets by service. */
export interface TargetTable {
  /** Takes an entry as it stands now; true when it is another process. */
  put(target: DirectTarget): boolean;
  /** The entry is gone; it counts until `usableUntil` on the steady clock. */
  remove(id: string, usableUntil: number): void;
  /** Targets of a service that may receive new work, in order of id. */
  getReady(service: string): readonly DirectTarget[];
  /** Targets of all services that are registered and ready. */
  getAllReady(): readonly DirectTarget[];
  /** Targets that take no new work but may still answer for a while. */
  getLeaving(service: string): readonly DirectTarget[];
  /** A target that is known, whatever its state. */
  tryGet(id: string): DirectTarget | undefined;
  /** Addresses of all targets that are known. */
  getAddresses(): ReadonlySet<string>;
  /** Numbers of targets by state, for metrics. */
  getCounts(): Readonly<Record<"ready" | "draining" | "lapsed", number>>;
}

interface TargetEntry {
  readonly target: DirectTarget;
  /** Undefined while the entry stands. */
  readonly usableUntil: number | undefined;
}

/** Time that a removed target is remembered for running streams, in ms. */
const retentionMs = 10_000;

/**
 * Time for which a target whose entry has gone is still expected to answer, in
 * milliseconds; targets serve on for some seconds after they leave.
 */
const leaveGraceMs = 1_500;

/** Creates an empty table. */
export function createTargetTable(): TargetTable {
  const entriesById = new Map<string, TargetEntry>();

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
    return previous === undefined || previous.bornAtMs !== target.bornAtMs ||
      previous.address !== target.address;
  }

  function remove(id: string, usableUntil: number): void {
    const known = entriesById.get(id);
    if (known !== undefined) entriesById.set(id, { ...known, usableUntil });
  }

  function getReady(service: string): readonly DirectTarget[] {
    const now = performance.now();
    const ready: DirectTarget[] = [];
    for (const [id, { target, usableUntil }] of entriesById) {
      if (usableUntil !== undefined && usableUntil + retentionMs < now) {
        entriesById.delete(id);
      }
      if (target.service !== service || target.state !== "ready") continue;
      if (usableUntil === undefined || usableUntil > now) ready.push(target);
    }
    return ready.sort((left, right) => (left.id < right.id ? -1 : 1));
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
