/** The model engine without its sockets: batch, cache, load, adapters. */

import { setTimeout as sleep } from "node:timers/promises";
import { createPrefixCache, type PrefixCache } from "./cache.ts";
import { createGeneration, type Generation } from "./generation.ts";
import { type Block, getBlocks, type Message } from "./prompt.ts";
import { createSlots } from "./slots.ts";

/** How one engine behaves. */
export interface EngineSettings {
  readonly id: string;
  /** Requests in the batch. */
  slots: number;
  /** Time between tokens, in milliseconds. */
  tokenMs: number;
  /** Time for a prompt token that is not cached, in microseconds. */
  promptTokenUs: number;
  readonly cacheTokens: number;
  /** Age of the load that is reported, in milliseconds. */
  readonly loadLagMs: number;
  /** Time until a cache event is published, in milliseconds. */
  readonly eventDelayMs: number;
  /** Each cache event divisible by this number is lost. */
  readonly eventGap: number;
  /** True when an order with an old fencing number is refused. */
  checksFencing: boolean;
  /** A request whose messages hold this text stops the engine. */
  readonly crashMarker: string;
  /** Cuts the connection after so many tokens; 0 means never. */
  cutAfterTokens: number;
  /** Ends the stream early, as if it were whole; 0 means never. */
  endAfterTokens: number;
}

/** A chat request that the engine has read. */
export interface ChatRequest {
  readonly requestId: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  readonly isUrgent: boolean;
  /** Names the draft; empty for another one in each run. */
  readonly seed: string;
}

/** Counts since the start. */
export interface EngineCounts {
  /** Runs by request id. */
  readonly runs: Readonly<Record<string, number>>;
  readonly started: number;
  readonly done: number;
  readonly cancelled: number;
  readonly running: number;
  readonly waiting: number;
  readonly mostRunning: number;
  readonly cachedTokens: number;
  readonly promptTokens: number;
}

/** The load that the engine reports, late. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cacheTokens: number;
  readonly at: number;
}

/** What the engine needs from outside. */
export interface EngineHost {
  /** The process stops without a word. */
  crash(): void;
}

/** One engine. */
export interface Engine {
  readonly cache: PrefixCache;
  run(request: ChatRequest): Generation;
  tryGetGeneration(id: string): Generation | undefined;
  /** Blocks of an answer that was given, for the export of its cache. */
  getResponseBlocks(id: string): readonly Block[];
  getLoad(): EngineLoad;
  getCounts(): EngineCounts;
}

/** Answers that are kept for readers that come back. */
const maxRetainedGenerations = 2000;

/** Usual settings of an engine. */
export const defaultEngineSettings: Omit<EngineSettings, "id"> = {
  slots: 8,
  tokenMs: 5,
  promptTokenUs: 50,
  cacheTokens: 200_000,
  loadLagMs: 1000,
  eventDelayMs: 1500,
  eventGap: 7,
  checksFencing: true,
  crashMarker: "__crash__",
  cutAfterTokens: 0,
  endAfterTokens: 0,
};

/** Creates an engine with an empty cache. */
export function createEngine(
  host: EngineHost,
  settings: EngineSettings,
): Engine {
  const cache = createPrefixCache({
    capacityTokens: settings.cacheTokens,
    eventDelayMs: settings.eventDelayMs,
    eventGap: settings.eventGap,
  });
  const slots = createSlots(settings.slots);
  const generations = new Map<string, Generation>();
  const responseBlocks = new Map<string, readonly Block[]>();
  const runs: Record<string, number> = {};
  const loads: EngineLoad[] = [];
  const counts = {
    started: 0,
    done: 0,
    cancelled: 0,
    cachedTokens: 0,
    promptTokens: 0,
  };

  return {
    cache,
    run,
    tryGetGeneration: (id) => generations.get(id),
    getResponseBlocks: (id) => responseBlocks.get(id) ?? [],
    getLoad,
    getCounts: () => ({
      ...counts,
      runs: { ...runs },
      running: slots.getRunning(),
      waiting: slots.getWaiting(),
      mostRunning: slots.getMaxRunning(),
    }),
  };

  function run(request: ChatRequest): Generation {
    counts.started++;
    if (request.requestId !== "") {
      runs[request.requestId] = (runs[request.requestId] ?? 0) + 1;
    }
    const blocks = getBlocks(request.messages);
    const promptTokens = blocks.reduce((sum, { tokens }) => sum + tokens, 0);
    const cachedTokens = cache.matchPrefix(blocks);
    counts.promptTokens += promptTokens;
    counts.cachedTokens += cachedTokens;
    const id = `${settings.id}-${counts.started}`;
    const generation = createGeneration({
      id,
      draft: request.seed === "" ? id : request.seed,
      promptTokens,
      cachedTokens,
    });
    generations.set(id, generation);
    evictOldest(generations);
    recordLoad();
    generation.signal.addEventListener("abort", () => counts.cancelled++);
    generate(request, generation, blocks).catch(() => undefined).finally(
      recordLoad,
    );
    return generation;
  }

  async function generate(
    request: ChatRequest,
    generation: ReturnType<typeof createGeneration>,
    blocks: readonly Block[],
  ): Promise<void> {
    const { signal } = generation;
    const release = await slots.acquire({ isUrgent: request.isUrgent, signal });
    recordLoad();
    try {
      const uncachedTokens = generation.promptTokens - generation.cachedTokens;
      const prefillMs = uncachedTokens * settings.promptTokenUs / 1000;
      await sleep(prefillMs, undefined, { signal });
      cache.store(blocks);
      if (hasCrashMarker(request)) {
        host.crash();
        return;
      }
      while (generation.getLength() < request.maxTokens) {
        await sleep(settings.tokenMs, undefined, { signal });
        generation.addToken();
      }
      cacheResponse(request, generation);
      counts.done++;
      generation.end();
    } finally {
      release();
    }
  }

  function hasCrashMarker(request: ChatRequest): boolean {
    return request.messages.some(({ content }) =>
      content.includes(settings.crashMarker)
    );
  }

  /** A returning chat sends the answer along, so it is cached too. */
  function cacheResponse(request: ChatRequest, generation: Generation): void {
    const assistantMessage = {
      role: "assistant",
      content: generation.getText(),
    };
    const blocks = getBlocks([...request.messages, assistantMessage]);
    cache.store(blocks);
    responseBlocks.set(generation.id, blocks);
    evictOldest(responseBlocks);
  }

  function recordLoad(): void {
    loads.push(measureLoad());
    if (loads.length > maxRetainedGenerations) loads.shift();
  }

  function measureLoad(): EngineLoad {
    return {
      running: slots.getRunning(),
      waiting: slots.getWaiting(),
      cacheTokens: cache.getTokens(),
      at: Date.now(),
    };
  }

  function getLoad(): EngineLoad {
    const reportedUntil = Date.now() - settings.loadLagMs;
    return loads.findLast(({ at }) => at <= reportedUntil) ??
      { running: 0, waiting: 0, cacheTokens: 0, at: reportedUntil };
  }
}

function evictOldest(map: Map<string, unknown>): void {
  if (map.size <= maxRetainedGenerations) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
