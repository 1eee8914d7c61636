/** A small fake of one model engine: its load, its cache and its gate. */

import {
  createLoadGate,
  type LoadGate,
} from "../../src/process/admission/load_gate.ts";
import type { MeanLoadEstimate } from "../../src/types/view.ts";

/** One fake engine. */
export interface Engine {
  readonly id: string;
  readonly weight: number;
  readonly zone: number;
  readonly gate: LoadGate;
  mean: MeanLoadEstimate;
  /** Load left at a moment, in tokens; work declines evenly as it runs. */
  getLoad(now: number): number;
  addWork(work: number, start: number, end: number): void;
  endWork(work: number, start: number, end: number): void;
  holds(key: string, turn: number): boolean;
  store(key: string, turn: number): void;
  /** The contexts used last, the newest first. */
  getHottest(count: number): readonly [string, number][];
  /** Remembers that a chat was sent on from here because of load. */
  noteSentOn(key: string, now: number): void;
  isSentOn(key: string, now: number): boolean;
  forgetSentOn(key: string): void;
  /** Requests that have been admitted and not ended. */
  inFlight: number;
}

/** Chats sent on that one engine remembers. */
const maxSentOn = 4_096;

/** Time for which a chat sent on is remembered, in seconds. */
const sentOnSeconds = 600;

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
  const sentOn = new Map<string, number>();
  let constant = 0;
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
    getLoad: (now) => Math.max(0, constant - slope * now),
    addWork: (work, start, end) => change(work, { start, end, sign: 1 }),
    endWork: (work, start, end) => change(work, { start, end, sign: -1 }),
    holds: (key, turn) => cache.get(key) === turn,
    store,
    getHottest: (count) => [...cache].reverse().slice(0, count),
    noteSentOn,
    isSentOn: (key, now) =>
      now - (sentOn.get(key) ?? -Infinity) < sentOnSeconds,
    forgetSentOn: (key) => sentOn.delete(key),
  };
  return engine;

  function change(
    work: number,
    span: {
      readonly start: number;
      readonly end: number;
      readonly sign: number;
    },
  ): void {
    const rate = work / (span.end - span.start);
    constant += span.sign * rate * span.end;
    slope += span.sign * rate;
  }

  function store(key: string, turn: number): void {
    cache.delete(key);
    cache.set(key, turn);
    if (cache.size > options.cacheSize) deleteOldest(cache);
  }

  function noteSentOn(key: string, now: number): void {
    sentOn.delete(key);
    sentOn.set(key, now);
    if (sentOn.size > maxSentOn) deleteOldest(sentOn);
  }
}

/** Removes the entry that was written first. */
function deleteOldest(entries: Map<string, number>): void {
  const oldest = entries.keys().next();
  if (!oldest.done) entries.delete(oldest.value);
}
