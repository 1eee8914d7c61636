/** Stores the keys, revisions and leases of an in-memory key-value service. */

import type { Entry, Vm, WatchEvent } from "../../src/types/platform.ts";

/** Result of a call that changed nothing, for a wrong revision or lease. */
export type StoreConflict = "conflict";

/** A key-value store with compare-and-swap, leases and a change log. */
export interface MemoryStore {
  get(key: string): Entry | undefined;
  list(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): readonly Entry[];
  put(
    key: string,
    value: string,
    options: { readonly expectedRevision: number; readonly lease?: string },
  ): number | StoreConflict;
  remove(key: string, expectedRevision: number): StoreConflict | undefined;
  /** Returns changes under a prefix after a revision, oldest first. */
  getChanges(prefix: string, afterRevision: number): readonly WatchEvent[];
  /** Calls a listener after each change; returns a function to unsubscribe. */
  onChange(listener: () => void): () => void;
  createLease(ttlMs: number): string;
  renewLease(lease: string): StoreConflict | undefined;
  /** Ends a lease and removes its keys. */
  endLease(lease: string): void;
  /** Sets the current list of VMs. */
  setVms(vms: readonly Vm[]): void;
  /** Returns the list of VMs as it was `lagMs` milliseconds ago. */
  getVms(lagMs: number): readonly Vm[];
  getRevision(): number;
}

interface StoredEntry extends Entry {
  readonly lease: string | undefined;
}

interface Lease {
  readonly ttlMs: number;
  readonly keys: Set<string>;
  timer: NodeJS.Timeout;
}

/** Creates an empty store. */
export function createMemoryStore(): MemoryStore {
  const entries = new Map<string, StoredEntry>();
  const changes: WatchEvent[] = [];
  const leases = new Map<string, Lease>();
  const listeners = new Set<() => void>();
  const vmHistory: { readonly at: number; readonly vms: readonly Vm[] }[] = [];
  let revision = 0;
  let leaseCount = 0;

  return {
    get,
    list,
    put,
    remove,
    getChanges,
    onChange,
    createLease,
    renewLease,
    endLease,
    setVms,
    getVms,
    getRevision: () => revision,
  };

  function get(key: string): Entry | undefined {
    const entry = entries.get(key);
    return entry === undefined ? undefined : toEntry(entry);
  }

  function list(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): readonly Entry[] {
    const after = options.after ?? "";
    return [...entries.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .slice(0, options.limit)
      .map(toEntry);
  }

  function put(
    key: string,
    value: string,
    options: { readonly expectedRevision: number; readonly lease?: string },
  ): number | StoreConflict {
    const entry = entries.get(key);
    if ((entry?.revision ?? 0) !== options.expectedRevision) return "conflict";
    const { lease } = options;
    if (lease !== undefined && !leases.has(lease)) return "conflict";
    detachLease(entry);
    if (lease !== undefined) leases.get(lease)?.keys.add(key);
    revision++;
    entries.set(key, { key, value, revision, lease });
    addChange({ key, value, revision });
    return revision;
  }

  function remove(
    key: string,
    expectedRevision: number,
  ): StoreConflict | undefined {
    const entry = entries.get(key);
    if (entry === undefined || entry.revision !== expectedRevision) {
      return "conflict";
    }
    removeEntry(entry);
    return undefined;
  }

  function removeEntry(entry: StoredEntry): void {
    detachLease(entry);
    entries.delete(entry.key);
    revision++;
    addChange({ key: entry.key, value: undefined, revision });
  }

  function detachLease(entry: StoredEntry | undefined): void {
    if (entry?.lease === undefined) return;
    leases.get(entry.lease)?.keys.delete(entry.key);
  }

  function addChange(change: WatchEvent): void {
    changes.push(change);
    for (const listener of [...listeners]) listener();
  }

  function getChanges(
    prefix: string,
    afterRevision: number,
  ): readonly WatchEvent[] {
    return changes.filter((change) =>
      change.revision > afterRevision && change.key.startsWith(prefix)
    );
  }

  function onChange(listener: () => void): () => void {
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  function createLease(ttlMs: number): string {
    leaseCount++;
    const lease = `lease-${leaseCount}`;
    leases.set(lease, {
      ttlMs,
      keys: new Set(),
      timer: startTimer(lease, ttlMs),
    });
    return lease;
  }

  function renewLease(lease: string): StoreConflict | undefined {
    const existing = leases.get(lease);
    if (existing === undefined) return "conflict";
    clearTimeout(existing.timer);
    existing.timer = startTimer(lease, existing.ttlMs);
    return undefined;
  }

  function startTimer(lease: string, ttlMs: number): NodeJS.Timeout {
    const timer = setTimeout(() => endLease(lease), ttlMs);
    timer.unref();
    return timer;
  }

  function endLease(lease: string): void {
    const existing = leases.get(lease);
    if (existing === undefined) return;
    clearTimeout(existing.timer);
    leases.delete(lease);
    for (const key of [...existing.keys]) {
      const entry = entries.get(key);
      if (entry?.lease === lease) removeEntry(entry);
    }
  }

  function setVms(vms: readonly Vm[]): void {
    vmHistory.push({ at: Date.now(), vms });
  }

  function getVms(lagMs: number): readonly Vm[] {
    const until = Date.now() - lagMs;
    return vmHistory.findLast(({ at }) => at <= until)?.vms ?? [];
  }
}

/** Returns an entry without its lease. */
function toEntry({ key, value, revision }: StoredEntry): Entry {
  return { key, value, revision };
}
