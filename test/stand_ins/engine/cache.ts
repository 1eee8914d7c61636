/** A prefix cache of limited memory with a log of its changes. */

import type { Block } from "./prompt.ts";

/** A change of the cache as the engine publishes it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  readonly hash: string;
  readonly tokens: number;
  readonly at: number;
}

/** Keeps the blocks that were used last. */
export interface PrefixCache {
  /** Tokens of the longest cached prefix, which counts as used now. */
  find(blocks: readonly Block[]): number;
  /** Stores blocks and drops those used longest ago. */
  store(blocks: readonly Block[]): void;
  /** The blocks used last, up to a number of tokens. */
  getRecent(limitTokens: number): readonly Block[];
  /** Changes after a sequence number as published by now. */
  getEvents(afterSequence: number): readonly CacheEvent[];
  getTokens(): number;
  clear(): void;
}

/** How the cache and its events behave. */
export interface CacheOptions {
  readonly capacityTokens: number;
  /** Time until an event is published, in milliseconds. */
  readonly eventDelayMs: number;
  /** Each event with a sequence number divisible by this is lost. */
  readonly eventGap: number;
}

/** Events that are kept for readers. */
const keptEvents = 10_000;

/** Creates an empty cache. */
export function createPrefixCache(options: CacheOptions): PrefixCache {
  const held = new Map<string, Block>();
  const events: CacheEvent[] = [];
  let tokens = 0;
  let sequence = 0;

  return {
    find,
    store,
    getRecent,
    getEvents,
    getTokens: () => tokens,
    clear,
  };

  function find(blocks: readonly Block[]): number {
    let found = 0;
    for (const block of blocks) {
      if (!held.has(block.hash)) break;
      touch(block);
      found += block.tokens;
    }
    return found;
  }

  function store(blocks: readonly Block[]): void {
    for (const block of blocks) {
      if (held.has(block.hash)) {
        touch(block);
        continue;
      }
      held.set(block.hash, block);
      tokens += block.tokens;
      addEvent("stored", block);
    }
    while (tokens > options.capacityTokens) removeOldest();
  }

  /** Moves a block to the end, where the most recently used are. */
  function touch(block: Block): void {
    held.delete(block.hash);
    held.set(block.hash, block);
  }

  function removeOldest(): void {
    const [oldest] = held.values();
    if (oldest === undefined) return;
    held.delete(oldest.hash);
    tokens -= oldest.tokens;
    addEvent("removed", oldest);
  }

  function addEvent(kind: CacheEvent["kind"], block: Block): void {
    sequence++;
    if (sequence % options.eventGap === 0) return;
    events.push({ sequence, kind, ...block, at: Date.now() });
    if (events.length > keptEvents) events.shift();
  }

  function getRecent(limitTokens: number): readonly Block[] {
    const recent: Block[] = [];
    let sum = 0;
    for (const block of [...held.values()].reverse()) {
      sum += block.tokens;
      if (sum > limitTokens) break;
      recent.push(block);
    }
    return recent.reverse();
  }

  function getEvents(afterSequence: number): readonly CacheEvent[] {
    const until = Date.now() - options.eventDelayMs;
    return events.filter((event) =>
      event.sequence > afterSequence && event.at <= until
    );
  }

  function clear(): void {
    while (held.size > 0) removeOldest();
  }
}
