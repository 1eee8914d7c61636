/** The store of a soak: its disruptions, and what it has acknowledged. */

import { randomBytes } from "node:crypto";
import { sleep } from "../harness/wait.ts";
import {
  startStore,
  type StoreCopy,
  type StoreMode,
} from "../platform/store_stand_in.ts";
import type { EntryRecord, EvacuationSpan, Span } from "./observations.ts";

/** Time without a heartbeat after which an entry is removed, in ms. */
const expiryMs = 1_500;

/** Interval at which expired entries are looked for, in milliseconds. */
const expiryIntervalMs = 100;

/** Size of the value that keeps the store's responses busy, in characters. */
const largeLength = 200_000;

/** Interval at which it is written, in milliseconds. */
const largeIntervalMs = 300;

/** Rate of the store's bodies meanwhile, in bytes per millisecond. */
const narrowBytesPerMs = 150;

/** Maximum entries per page of a listing. */
const maxPageItems = 500;

/** A store whose writers notice its disruptions. */
export type SoakStore = Awaited<ReturnType<typeof startSoakStore>>;

/** Starts a store that holds nothing. */
export async function startSoakStore() {
  const store = await startStore({ maxPageItems });
  const spans: Span[] = [];
  const largeSpans: Span[] = [];
  const evacuations: EvacuationSpan[] = [];
  const entries: EntryRecord[] = [];
  const known = new Map<string, EntryRecord>();
  const heartbeats = new Map<string, number>();
  /** Number of disruptions under way. */
  let away = 0;
  const timer = setInterval(removeExpired, expiryIntervalMs);

  return {
    listen: store.listen,
    setCutOff: store.setCutOff,
    copy: store.copy,
    compact: store.compact,
    ...{ spans, entries, tryPutConfiguration, tryPutTarget, tryRemoveTarget },
    ...{ getVersion, disrupt, returnFrom, writeOthers, removeRouters, close },
    ...{ largeSpans, evacuations, writeLarge, evacuate },
  };

  /** Writes the configuration; returns false while the store is away. */
  function tryPutConfiguration(value: unknown): boolean {
    if (away === 0) store.put("op/config", value);
    return away === 0;
  }

  function tryPutTarget(
    entry: Omit<EntryRecord, "at">,
    value: Readonly<Record<string, unknown>>,
  ): boolean {
    if (away > 0) return false;
    heartbeats.set(entry.targetId, performance.now());
    store.put(`servers/${entry.targetId}`, { ...value, Life: entry.life });
    record(entry);
    return true;
  }

  function tryRemoveTarget(targetId: string): boolean {
    if (away === 0) removeTarget(targetId);
    return away === 0;
  }

  function removeTarget(targetId: string): void {
    heartbeats.delete(targetId);
    const entry = known.get(targetId);
    if (entry === undefined || entry.state === "gone") return;
    store.remove(`servers/${targetId}`);
    record({ ...entry, state: "gone" });
  }

  function record(entry: Omit<EntryRecord, "at">): void {
    const { targetId, life, state } = entry;
    const before = known.get(targetId);
    if (before?.life === life && before.state === state) return;
    const changed = { ...entry, at: performance.now() };
    known.set(targetId, changed);
    entries.push(changed);
  }

  function removeExpired(): void {
    const latest = performance.now() - expiryMs;
    for (const [targetId, at] of heartbeats) {
      if (away === 0 && at < latest) removeTarget(targetId);
    }
  }

  /** Returns the version that the store holds; 0 for none. */
  function getVersion(): number {
    const text = store.tryGet("op/config") ?? '{ "Version": 0 }';
    return (JSON.parse(text) as { readonly Version: number }).Version;
  }

  /** Keeps the store away for a time; entries may expire meanwhile. */
  function disrupt(
    mode: StoreMode,
    { lengthMs, expires = false }: {
      readonly lengthMs: number;
      readonly expires?: boolean;
    },
  ): Promise<void> {
    return stayAway(mode, lengthMs, () => {
      if (expires) [...heartbeats.keys()].forEach(removeTarget);
    });
  }

  /** Returns from a copy after a time in which calls get no response. */
  function returnFrom(copy: StoreCopy, awayMs: number): Promise<void> {
    return stayAway("hang", awayMs, () => {
      store.restore(copy);
      for (const entry of known.values()) {
        const item = copy.items.get(`servers/${entry.targetId}`);
        heartbeats.delete(entry.targetId);
        if (item === undefined) record({ ...entry, state: "gone" });
        else recordRestored(entry.targetId, item.Value);
      }
    });
  }

  function recordRestored(targetId: string, encoded: string): void {
    const value = JSON.parse(
      Buffer.from(encoded, "base64").toString(),
    ) as { readonly Life: string; readonly State: "ready" | "draining" };
    heartbeats.set(targetId, performance.now());
    record({ targetId, life: value.Life, state: value.State });
  }

  /** Disruptions may overlap; the store serves again after the last one. */
  async function stayAway(
    mode: StoreMode,
    lengthMs: number,
    prepareReturn: () => void,
  ): Promise<void> {
    const span: Span = { from: performance.now(), to: Infinity };
    spans.push(span);
    away++;
    store.setMode(mode);
    await sleep(lengthMs);
    prepareReturn();
    span.to = performance.now();
    [...heartbeats.keys()].forEach((id) => heartbeats.set(id, span.to));
    away--;
    if (away === 0) store.setMode("serve");
  }

  /** Writes a key that concerns no router. */
  function writeOthers(count: number): void {
    if (away > 0) return;
    for (let index = 0; index < count; index++) store.put("other/key", index);
  }

  /** Writes a large value that is new each time, over narrow links. */
  async function writeLarge(lengthMs: number): Promise<void> {
    const span: Span = { from: performance.now(), to: Infinity };
    largeSpans.push(span);
    store.setBodyRate(narrowBytesPerMs);
    const write = () => {
      if (away === 0) {
        store.put("other/large", randomBytes(largeLength / 2).toString("hex"));
      }
    };
    write();
    const writes = setInterval(write, largeIntervalMs);
    await sleep(lengthMs);
    clearInterval(writes);
    span.to = performance.now();
    const isLast = largeSpans.every(({ to }) => to < Infinity);
    if (isLast) store.setBodyRate(Infinity);
  }

  /** Evacuates a zone for a time, once the store takes it. */
  async function evacuate(zone: string, lengthMs: number): Promise<void> {
    if (evacuations.some((other) => other.to === Infinity)) return;
    const key = `op/evacuate/${zone}`;
    const span = { zone, from: Infinity, to: Infinity };
    evacuations.push(span);
    while (away > 0) await sleep(50);
    store.put(key, "");
    span.from = performance.now();
    await sleep(lengthMs);
    while (away > 0) await sleep(50);
    span.to = performance.now();
    store.remove(key);
  }

  function removeRouters(): void {
    if (away > 0) return;
    [...store.copy().items.keys()]
      .filter((key) => key.startsWith("routers/"))
      .forEach(store.remove);
  }

  async function close(): Promise<void> {
    clearInterval(timer);
    await store.close();
  }
}
