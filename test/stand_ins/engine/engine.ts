/** Emulates a model engine without HTTP: batching, prefix cache and load. */

import { setTimeout as sleep } from "node:timers/promises";
import { createPrefixCache, type PrefixCache } from "./cache.ts";
import { createGeneration, type Generation } from "./generation.ts";
import { type Block, getBlocks, type Message } from "./prompt.ts";
import { createSlots } from "./slots.ts";

/** Speed, capacity and faults of one engine. */
export interface EngineSettings {
  readonly id: string;
  /** Maximum number of requests in the batch. */
  slots: number;
  /** Time to generate one token, in milliseconds. */
  tokenMs: number;
  /** Time to prefill one prompt token that is not cached, in microseconds. */
  promptTokenUs: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Age of the reported load, in milliseconds. */
  readonly loadLagMs: number;
  /** Delay after which a cache event is published, in milliseconds. */
  readonly eventDelayMs: number;
  /** Cache events whose sequence number is a multiple of this are lost. */
  readonly eventGap: number;
  /** True when orders with an outdated fencing number are refused. */
  checksFencing: boolean;
  /** Text that crashes the engine when a message contains it. */
  readonly crashMarker: string;
  /** Tokens after which the connection of a stream is cut; 0 means never. */
  cutAfterTokens: number;
  /**
   * Tokens after which a stream is closed cleanly but without its end marker;
   * 0 means never.
   */
  endAfterTokens: number;
}

/** A chat request. */
export interface ChatRequest {
  readonly requestId: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  /** True when the request runs before those that are not urgent. */
  readonly isUrgent: boolean;
  /** Name of the draft to generate; empty for a new draft in each run. */
  readonly seed: string;
}

/** Counts since the start of the engine, and the current load. */
export interface EngineCounts {
  /** Runs by request id. */
  readonly runs: Readonly<Record<string, number>>;
  readonly started: number;
  readonly done: number;
  readonly cancelled: number;
  readonly running: number;
  readonly waiting: number;
  /** Maximum number of requests that ran at the same time. */
  readonly mostRunning: number;
  readonly cachedTokens: number;
  readonly promptTokens: number;
}

/** The load of an engine at a time in the past. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cacheTokens: number;
  /** Time of the measurement, in milliseconds since the epoch. */
  readonly at: number;
}

/** What the engine needs from its process. */
export interface EngineHost {
  /** Ends the process abruptly. */
  crash(): void;
}

/** An engine that runs chat requests. */
export interface Engine {
  readonly cache: PrefixCache;
  /** Starts a request; it waits for a slot in the batch. */
  run(request: ChatRequest): Generation;
  tryGetGeneration(id: string): Generation | undefined;
  /** Returns the cached blocks of a finished chat, to export them. */
  getResponseBlocks(id: string): readonly Block[];
  /** Returns the load as of `loadLagMs` ago. */
  getLoad(): EngineLoad;
  getCounts(): EngineCounts;
}

/** Maximum number of generations retained, so that streams can resume. */
const maxRetainedGenerations = 2000;

/** Default settings of an engine. */
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

  /** Caches the response too, as the next turn of the chat contains it. */
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
