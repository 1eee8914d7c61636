/** Caches blocks of prompts with LRU eviction and publishes the changes. */

import type { Block } from "./prompt.ts";

/** A change of the cache, as the engine publishes it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  readonly hash: string;
  readonly tokens: number;
  /** Time of the change, in milliseconds since the epoch. */
  readonly at: number;
}

/** Cached blocks of prompts, the most recently used up to the capacity. */
export interface PrefixCache {
  /** Returns the tokens of the longest cached prefix and marks it as used. */
  matchPrefix(blocks: readonly Block[]): number;
  /** Stores blocks and evicts the least recently used beyond the capacity. */
  store(blocks: readonly Block[]): void;
  /** Returns the most recently used blocks, up to a number of tokens. */
  getRecent(limitTokens: number): readonly Block[];
  /** Returns the events after a sequence number that are published by now. */
  getEvents(afterSequence: number): readonly CacheEvent[];
  /** Returns the number of cached tokens. */
  getTokens(): number;
  /** Evicts all blocks. */
  clear(): void;
}

/** Capacity of a cache, and delay and loss of its events. */
export interface CacheOptions {
  readonly capacityTokens: number;
  /** Delay after which an event is published, in milliseconds. */
  readonly eventDelayMs: number;
  /** Events whose sequence number is a multiple of this are lost. */
  readonly eventGap: number;
}

/** Maximum number of events retained; the oldest are dropped. */
const maxEvents = 10_000;

/** Creates an empty cache. */
export function createPrefixCache(options: CacheOptions): PrefixCache {
  const blocksByHash = new Map<string, Block>();
  const events: CacheEvent[] = [];
  let tokens = 0;
  let sequence = 0;

  return {
    matchPrefix,
    store,
    getRecent,
    getEvents,
    getTokens: () => tokens,
    clear,
  };

  function matchPrefix(blocks: readonly Block[]): number {
    let matchedTokens = 0;
    for (const block of blocks) {
      if (!blocksByHash.has(block.hash)) break;
      touch(block);
      matchedTokens += block.tokens;
    }
    return matchedTokens;
  }

  function store(blocks: readonly Block[]): void {
    for (const block of blocks) {
      if (blocksByHash.has(block.hash)) {
        touch(block);
        continue;
      }
      blocksByHash.set(block.hash, block);
      tokens += block.tokens;
      addEvent("stored", block);
    }
    while (tokens > options.capacityTokens) evictOldest();
  }

  /** Moves a block to the end: the map is in order of last use. */
  function touch(block: Block): void {
    blocksByHash.delete(block.hash);
    blocksByHash.set(block.hash, block);
  }

  function evictOldest(): void {
    const [oldest] = blocksByHash.values();
    if (oldest === undefined) return;
    blocksByHash.delete(oldest.hash);
    tokens -= oldest.tokens;
    addEvent("removed", oldest);
  }

  function addEvent(kind: CacheEvent["kind"], block: Block): void {
    sequence++;
    if (sequence % options.eventGap === 0) return;
    events.push({ sequence, kind, ...block, at: Date.now() });
    if (events.length > maxEvents) events.shift();
  }

  function getRecent(limitTokens: number): readonly Block[] {
    const recent: Block[] = [];
    let recentTokens = 0;
    for (const block of [...blocksByHash.values()].reverse()) {
      recentTokens += block.tokens;
      if (recentTokens > limitTokens) break;
      recent.push(block);
    }
    return recent.reverse();
  }

  function getEvents(afterSequence: number): readonly CacheEvent[] {
    const publishedUntil = Date.now() - options.eventDelayMs;
    return events.filter((event) =>
      event.sequence > afterSequence && event.at <= publishedUntil
    );
  }

  function clear(): void {
    while (blocksByHash.size > 0) evictOldest();
  }
}
