/**
 * Tracks which targets may receive new work. A target that drains or whose
 * entry is removed receives none from then on, with one exception: entries that
 * expire while the store is unavailable are registered again shortly after it
 * recovers, so their targets stay in use until then.
 *
 * Load pattern: targets leave in series during a deployment, and routers that
 * are cut off from the store still list them as ready. A target that said in a
 * response that it leaves gets nothing new, whatever its entry says, until a new
 * process is registered. Targets of an evacuated zone get nothing new either.
 *
 * A router that starts after an outage of the store also uses targets that were
 * saved by earlier routers and have not registered again. They are unconfirmed
 * until their entry was read or the process told its start time, as another
 * process may run under the same id.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** Targets and the time until which each is usable. */
export interface TargetTable {
  /** Adds or updates a target; returns true when it is a new process. */
  put(target: DirectTarget): boolean;
  /**
   * Adds a saved target that is not known otherwise, until `usableUntil`, a time
   * on the monotonic clock; returns false for any other.
   */
  putSaved(target: DirectTarget, usableUntil: number): boolean;
  /**
   * Records the start time that the process of a target named, in epoch
   * milliseconds. It confirms a saved target, or ends its use.
   */
  recordStart(id: string, startedAtMs: number): void;
  /** Returns true for a saved target that is not confirmed. */
  isUnconfirmed(id: string): boolean;
  /** Returns the saved targets that are not confirmed and still in use. */
  getUnconfirmed(): readonly DirectTarget[];
  /** Removes a target at `usableUntil`, a time on the monotonic clock. */
  remove(id: string, usableUntil: number): void;
  /**
   * Records that a target said itself that it leaves; returns what its entry
   * says, undefined if the leave is known or concerns an earlier process.
   */
  recordLeaving(target: DirectTarget): EntryState | undefined;
  /** As `recordLeaving`, when a peer tells it. */
  recordPeerLeave(leave: TargetLeave): EntryState | undefined;
  /**
   * Returns the processes that told this router within a time that they leave,
   * at most `maxReportedLeaves`, the latest ones.
   */
  getOwnLeaves(maxAgeMs: number): readonly TargetLeave[];
  /** Returns true when the target said itself that it leaves. */
  isLeaving(target: DirectTarget): boolean;
  /** Returns true when the zone of the target is evacuated. */
  isEvacuated(target: DirectTarget): boolean;
  /** Returns true when the address is that of a target in such a zone. */
  isAddressEvacuated(address: string): boolean;
  /** Returns a service's targets that only the evacuation of zones excludes. */
  getEvacuated(service: string): readonly DirectTarget[];
  /** Returns true when the process may receive new work now. */
  mayReceive(target: DirectTarget): boolean;
  /** Returns a service's targets that may receive new work, sorted by id. */
  getReady(service: string): readonly DirectTarget[];
  /** As `getReady`; does not drop targets that were removed long ago. */
  peekReady(service: string): readonly DirectTarget[];
  /** Returns the known targets in any state, of one service or of all. */
  getAll(service?: string): readonly DirectTarget[];
  /**
   * Returns the registered and ready targets of all services, without those of
   * evacuated zones.
   */
  getAllReady(): readonly DirectTarget[];
  /**
   * Returns a service's targets that get no new work but may still respond,
   * without those of evacuated zones.
   */
  getLeaving(service: string): readonly DirectTarget[];
  /** Returns the services of the known targets. */
  getServices(): readonly string[];
  /** Returns a known target in any state. */
  tryGet(id: string): DirectTarget | undefined;
  /** Returns the addresses of all known targets. */
  getAddresses(): ReadonlySet<string>;
  /** Returns the number of targets by state, for metrics. */
  getCounts(): Readonly<Record<"ready" | "draining" | "lapsed", number>>;
}

/** A process that said that it leaves. */
export type TargetLeave = Pick<DirectTarget, "id" | "startedAtMs">;

/** What the entry of a target says. */
export type EntryState = DirectTarget["state"] | "gone";

/** A target and its removal. */
interface TargetEntry {
  readonly target: DirectTarget;
  /** End of use on the monotonic clock; undefined while it is registered. */
  readonly usableUntil: number | undefined;
  /** True for a saved target whose process is not confirmed. */
  readonly isUnconfirmed?: boolean;
}

/** Time for which a removed target is kept for running streams, in ms. */
const retentionMs = 10_000;

/**
 * Time for which a removed target is still expected to respond, in
 * milliseconds; targets continue to serve for some seconds after they leave.
 */
const leaveGraceMs = 1_500;

/** Maximum number of leaves that are remembered; the oldest are dropped. */
const maxLeaves = 10_000;

/** Maximum number of leaves that are reported together. */
export const maxReportedLeaves = 4;

/** Evacuations of a table that is created without any. */
const noEvacuations: TableEvacuations = {
  getAll: () => [],
  isEvacuated: () => false,
  getGeneration: () => 0,
};

type TableEvacuations = Pick<
  ZoneEvacuations,
  "getAll" | "getGeneration" | "isEvacuated"
>;

/** Creates an empty table. */
export function createTargetTable(
  { evacuations = noEvacuations }: {
    readonly evacuations?: TableEvacuations;
  } = {},
): TargetTable {
  const entriesById = new Map<string, TargetEntry>();
  /**
   * Start times of the processes that said that they leave, by id. They outlast
   * the entries, which may return from an older copy of the store.
   */
  const leavesById = new Map<string, number>();
  /** Leaves that targets told this router, the latest last. */
  let ownLeaves: readonly (TargetLeave & { readonly toldAt: number })[] = [];
  /**
   * Ready targets by service, sorted; filled while no target has been removed,
   * as the end of use of a removed one depends on the time.
   */
  const readyByService = new Map<string, readonly DirectTarget[]>();
  /** Generation of the evacuations at which `readyByService` is valid. */
  let readyGeneration = evacuations.getGeneration();

  return {
    put,
    putSaved,
    recordStart,
    isUnconfirmed: (id) => entriesById.get(id)?.isUnconfirmed ?? false,
    getUnconfirmed,
    remove,
    recordLeaving,
    recordPeerLeave,
    getOwnLeaves,
    isLeaving,
    isEvacuated,
    isAddressEvacuated,
    getEvacuated,
    mayReceive,
    getReady,
    peekReady,
    getAll,
    getAllReady,
    getLeaving,
    getServices: () => [...new Set(getAll().map(({ service }) => service))],
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

  function putSaved(target: DirectTarget, usableUntil: number): boolean {
    if (entriesById.has(target.id)) return false;
    entriesById.set(target.id, { target, usableUntil, isUnconfirmed: true });
    readyByService.clear();
    return true;
  }

  function recordStart(id: string, startedAtMs: number): void {
    const entry = entriesById.get(id);
    if (entry?.isUnconfirmed !== true) return;
    const { target, usableUntil } = entry;
    if (startedAtMs !== target.startedAtMs) return remove(id, 0);
    entriesById.set(id, { target, usableUntil });
    readyByService.clear();
  }

  function getUnconfirmed(): readonly DirectTarget[] {
    const now = performance.now();
    return [...entriesById.values()]
      .filter((entry) => entry.isUnconfirmed === true && isUsable(entry, now))
      .map(({ target }) => target);
  }

  function remove(id: string, usableUntil: number): void {
    const known = entriesById.get(id);
    if (known !== undefined) entriesById.set(id, { ...known, usableUntil });
    readyByService.clear();
  }

  function recordLeaving(target: DirectTarget): EntryState | undefined {
    const { id, startedAtMs } = target;
    const entryState = recordPeerLeave(target);
    if (entryState !== undefined) {
      const leave = { id, startedAtMs, toldAt: performance.now() };
      ownLeaves = [...ownLeaves, leave].slice(-maxReportedLeaves);
    }
    return entryState;
  }

  function getOwnLeaves(maxAgeMs: number): readonly TargetLeave[] {
    const since = performance.now() - maxAgeMs;
    return ownLeaves
      .filter(({ toldAt }) => toldAt >= since)
      .map(({ id, startedAtMs }) => ({ id, startedAtMs }));
  }

  function recordPeerLeave(leave: TargetLeave): EntryState | undefined {
    const { id, startedAtMs } = leave;
    const known = entriesById.get(id);
    if (isLeaving(leave) || isReplaced(leave, known?.target)) {
      return undefined;
    }
    leavesById.delete(id);
    leavesById.set(id, startedAtMs);
    const [oldest] = leavesById.keys();
    if (leavesById.size > maxLeaves && oldest !== undefined) {
      leavesById.delete(oldest);
    }
    readyByService.clear();
    return known === undefined || known.usableUntil !== undefined
      ? "gone"
      : known.target.state;
  }

  function isLeaving({ id, startedAtMs }: TargetLeave): boolean {
    const leftStartedAtMs = leavesById.get(id);
    return leftStartedAtMs !== undefined && startedAtMs <= leftStartedAtMs;
  }

  function isEvacuated({ zone }: DirectTarget): boolean {
    return evacuations.isEvacuated(zone);
  }

  function isAddressEvacuated(address: string): boolean {
    if (evacuations.getAll().length === 0) return false;
    return [...entriesById.values()].some(({ target }) =>
      target.address === address && isEvacuated(target)
    );
  }

  function getEvacuated(service: string): readonly DirectTarget[] {
    if (evacuations.getAll().length === 0) return [];
    const now = performance.now();
    return [...entriesById.values()]
      .filter((entry) =>
        entry.target.service === service && isEvacuated(entry.target) &&
        isAlive(entry, now)
      )
      .map(({ target }) => target);
  }

  function mayReceive({ id, startedAtMs }: DirectTarget): boolean {
    const entry = entriesById.get(id);
    return entry?.target.startedAtMs === startedAtMs &&
      isUsable(entry, performance.now());
  }

  function isUsable(entry: TargetEntry, now: number): boolean {
    return isAlive(entry, now) && !isEvacuated(entry.target);
  }

  /** Returns true when only an evacuation may keep work from the target. */
  function isAlive({ target, usableUntil }: TargetEntry, now: number) {
    return target.state === "ready" && !isLeaving(target) &&
      (usableUntil === undefined || usableUntil > now);
  }

  function getReady(service: string): readonly DirectTarget[] {
    const generation = evacuations.getGeneration();
    if (generation !== readyGeneration) readyByService.clear();
    readyGeneration = generation;
    const cached = readyByService.get(service);
    if (cached !== undefined) return cached;
    const now = performance.now();
    let hasRemoved = false;
    for (const [id, { usableUntil }] of entriesById) {
      if (usableUntil !== undefined && usableUntil + retentionMs < now) {
        entriesById.delete(id);
      }
      hasRemoved ||= usableUntil !== undefined;
    }
    const ready = peekReady(service);
    if (!hasRemoved) readyByService.set(service, ready);
    return ready;
  }

  function peekReady(service: string): readonly DirectTarget[] {
    const now = performance.now();
    const ready: DirectTarget[] = [];
    for (const entry of entriesById.values()) {
      if (entry.target.service === service && isUsable(entry, now)) {
        ready.push(entry.target);
      }
    }
    return ready.sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  function getAll(service?: string): readonly DirectTarget[] {
    return [...entriesById.values()]
      .map(({ target }) => target)
      .filter((target) => service === undefined || target.service === service);
  }

  function getAllReady(): readonly DirectTarget[] {
    return [...entriesById.values()]
      .filter(({ target, usableUntil }) =>
        target.state === "ready" && usableUntil === undefined &&
        !isLeaving(target) && !isEvacuated(target)
      )
      .map(({ target }) => target);
  }

  function getLeaving(service: string): readonly DirectTarget[] {
    const now = performance.now();
    return [...entriesById.values()]
      .filter(({ target, usableUntil }) =>
        target.service === service && !isLeaving(target) &&
        !isEvacuated(target) && (usableUntil === undefined
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
      if (usableUntil !== undefined) counts.lapsed++;
      else counts[isLeaving(target) ? "draining" : target.state]++;
    });
    return counts;
  }
}

/** Returns true when the entry is that of a later process under the same id. */
function isReplaced(
  { startedAtMs }: TargetLeave,
  registered: DirectTarget | undefined,
): boolean {
  return registered !== undefined && registered.startedAtMs > startedAtMs;
}
