/** Simulates one model engine: its load, its cache and its load gate. */

import {
  createLoadGate,
  type LoadGate,
} from "../../src/process/admission/load_gate.ts";
import type { MeanLoadEstimate } from "../../src/types/view.ts";

/** A simulated engine. */
export interface Engine {
  readonly id: string;
  readonly weight: number;
  readonly zone: number;
  readonly gate: LoadGate;
  mean: MeanLoadEstimate;
  /** Returns the load at a time, in tokens; work decreases linearly. */
  getLoad(now: number): number;
  addWork(work: number, start: number, end: number): void;
  removeWork(work: number, start: number, end: number): void;
  hasContext(key: string, turn: number): boolean;
  store(key: string, turn: number): void;
  /** Returns the most recent contexts with their turns, newest first. */
  getMostRecent(count: number): readonly [string, number][];
  /** Records that the engine forwarded a chat because of its load. */
  recordForward(key: string, now: number): void;
  isForwarded(key: string, now: number): boolean;
  removeForward(key: string): void;
  /** Number of requests admitted and not yet completed. */
  inFlight: number;
}

/** Maximum number of forwarded chats that one engine remembers. */
const maxForwardedChats = 4_096;

/** Time for which an engine remembers a forwarded chat, in seconds. */
const forwardTtlSeconds = 600;

/** Creates an engine with an empty cache. */
export function createEngine(
  id: string,
  options: {
    readonly zone: number;
    readonly cacheSize: number;
    readonly loadMultiple: number;
    readonly coldMultiple: number;
  },
): Engine {
  const cache = new Map<string, number>();
  const forwardedAt = new Map<string, number>();
  // The load at time t is `intercept - slope * t`.
  let intercept = 0;
  let slope = 0;

  const engine: Engine = {
    id,
    weight: 100,
    zone: options.zone,
    gate: createLoadGate({
      getMean: () => engine.mean,
      getLoadMultiple: () => options.loadMultiple,
      getColdMultiple: () =>
        Math.min(options.loadMultiple, options.coldMultiple),
    }),
    mean: { mean: 0, targets: 1, ageMs: 0 },
    inFlight: 0,
    getLoad: (now) => Math.max(0, intercept - slope * now),
    addWork: (work, start, end) => updateLoad(work, { start, end, sign: 1 }),
    removeWork: (work, start, end) =>
      updateLoad(work, { start, end, sign: -1 }),
    hasContext: (key, turn) => cache.get(key) === turn,
    store,
    getMostRecent: (count) => [...cache].reverse().slice(0, count),
    recordForward,
    isForwarded: (key, now) =>
      now - (forwardedAt.get(key) ?? -Infinity) < forwardTtlSeconds,
    removeForward: (key) => forwardedAt.delete(key),
  };
  return engine;

  function updateLoad(
    work: number,
    span: {
      readonly start: number;
      readonly end: number;
      readonly sign: number;
    },
  ): void {
    const rate = work / (span.end - span.start);
    intercept += span.sign * rate * span.end;
    slope += span.sign * rate;
  }

  function store(key: string, turn: number): void {
    cache.delete(key);
    cache.set(key, turn);
    if (cache.size > options.cacheSize) evictOldest(cache);
  }

  function recordForward(key: string, now: number): void {
    forwardedAt.delete(key);
    forwardedAt.set(key, now);
    if (forwardedAt.size > maxForwardedChats) evictOldest(forwardedAt);
  }
}

/** Removes the entry that was written least recently. */
function evictOldest(entries: Map<string, number>): void {
  const oldest = entries.keys().next();
  if (!oldest.done) entries.delete(oldest.value);
}
