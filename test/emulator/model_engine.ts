/**
 * A model engine as its served system tells it: requests run in batches of
 * steps, prompts are read in chunks between the tokens of others, cached parts
 * share memory with what runs, and the newest of the least urgent yields.
 */

import type { PromptPart } from "../../src/types/prompt.ts";

/** Size and speed of an engine. */
export interface EngineModel {
  readonly slots: number;
  readonly stepMs: number;
  /** Further time of a step for each request that runs, in milliseconds. */
  readonly stepMsPerRequest: number;
  readonly readTokensPerMs: number;
  /** Prompt tokens that are read in one step. */
  readonly chunkTokens: number;
  /** Memory, in tokens. */
  readonly memoryTokens: number;
  readonly copyTokensPerMs: number;
  /** Time before a copy begins, in milliseconds. */
  readonly copySetupMs: number;
  /** Tokens in one event of an answer. */
  readonly eventTokens: number;
  /** Requests that may wait for a slot. */
  readonly queue: number;
}

/** One request at an engine. */
export interface EngineJob {
  /** Parts of the prompt; the last one is the request's own. */
  readonly parts: readonly PromptPart[];
  readonly outputTokens: number;
  /** 0 is the most urgent. */
  readonly priorityClass: number;
  /** An event of the answer is made. */
  emit(): void;
  finish(): void;
  /** The engine crashed under the request. */
  fail(): void;
}

/** What engines of a service know together, for the count of tokens. */
export interface ReadLedger {
  /** A part was read; true when some engine had read it shortly before. */
  noteRead(part: PromptPart): boolean;
  noteUse(part: PromptPart): void;
}

/** Work that an engine has done. */
export interface EngineCounts {
  readonly requests: number;
  readonly readTokens: number;
  /** Tokens of shared parts read though another reading was not long ago. */
  readonly readAgainTokens: number;
  readonly copiedTokens: number;
  readonly preemptions: number;
}

/** An engine that runs on the (paused) clock. */
export interface ModelEngine {
  /** False when the queue is full or the engine is down. */
  submit(job: EngineJob, source: ModelEngine | undefined): boolean;
  cancel(job: EngineJob): void;
  /** Leading parts of a prompt in the cache. */
  getHeld(parts: readonly PromptPart[]): readonly PromptPart[];
  /** Loses what runs and what is cached; back after `downMs`. */
  crash(downMs: number): void;
  isDown(): boolean;
  /** Requests that run or wait. */
  getLoad(): number;
  getCounts(): EngineCounts;
}

/** Time for which an earlier reading counts, in ms; the sites' own bound. */
const reuseWindowMs = 10_000;

interface RunningJob {
  readonly job: EngineJob;
  /** Prompt tokens that are still to be read. */
  toRead: number;
  /** Parts that were not cached when it was admitted. */
  readonly missing: readonly PromptPart[];
  made: number;
}

/** Creates the count of readings of one service. */
export function createReadLedger(): ReadLedger {
  const usedAt = new Map<string, number>();
  return { noteRead, noteUse };

  function noteRead(part: PromptPart): boolean {
    const before = usedAt.get(part.id);
    noteUse(part);
    return before !== undefined &&
      performance.now() - before <= reuseWindowMs;
  }

  function noteUse({ id }: PromptPart): void {
    usedAt.set(id, performance.now());
  }
}

/** Creates an engine with an empty cache. */
export function createModelEngine(
  model: EngineModel,
  ledger: ReadLedger,
): ModelEngine {
  /** Cached parts, the one used last at the end. */
  const cache = new Map<string, PromptPart>();
  let running: RunningJob[] = [];
  let waiting: EngineJob[] = [];
  /** Requests whose parts are being copied here. */
  const copying = new Set<EngineJob>();
  let isStepping = false;
  let downUntil = 0;
  let life = 0;
  let linkFreeAt = 0;
  const counts = {
    requests: 0,
    readTokens: 0,
    readAgainTokens: 0,
    copiedTokens: 0,
    preemptions: 0,
  };

  return {
    submit,
    cancel,
    getHeld,
    crash,
    isDown,
    getLoad: () => running.length + waiting.length + copying.size,
    getCounts: () => ({ ...counts }),
  };

  function isDown(): boolean {
    return performance.now() < downUntil;
  }

  function submit(job: EngineJob, source: ModelEngine | undefined): boolean {
    const free = Math.max(0, model.slots - running.length);
    if (isDown() || waiting.length >= model.queue + free) return false;
    counts.requests++;
    const copied = getCopied(job, source);
    if (copied.length === 0) enqueue(job);
    else copy(job, copied);
    return true;
  }

  function getCopied(
    { parts }: EngineJob,
    source: ModelEngine | undefined,
  ): readonly PromptPart[] {
    const own = getHeld(parts).length;
    return source?.getHeld(parts).slice(own) ?? [];
  }

  function copy(job: EngineJob, parts: readonly PromptPart[]): void {
    const tokens = sumTokens(parts);
    const now = performance.now();
    const startAt = Math.max(now, linkFreeAt) + model.copySetupMs;
    linkFreeAt = startAt + tokens / model.copyTokensPerMs;
    counts.copiedTokens += tokens;
    copying.add(job);
    const lifeNow = life;
    setTimeout(() => {
      if (lifeNow !== life || !copying.delete(job)) return;
      parts.forEach(touch);
      enqueue(job);
    }, linkFreeAt - now);
  }

  function enqueue(job: EngineJob): void {
    const before = waiting.findIndex(({ priorityClass }) =>
      priorityClass > job.priorityClass
    );
    waiting.splice(before < 0 ? waiting.length : before, 0, job);
    step();
  }

  function cancel(job: EngineJob): void {
    copying.delete(job);
    waiting = waiting.filter((other) => other !== job);
    running = running.filter((other) => other.job !== job);
  }

  function getHeld(parts: readonly PromptPart[]): readonly PromptPart[] {
    const first = parts.findIndex(({ id }) => !cache.has(id));
    return first < 0 ? parts : parts.slice(0, first);
  }

  function crash(downMs: number): void {
    life++;
    downUntil = performance.now() + downMs;
    const lost = [...running.map(({ job }) => job), ...waiting, ...copying];
    running = [];
    waiting = [];
    copying.clear();
    cache.clear();
    isStepping = false;
    lost.forEach((job) => job.fail());
  }

  function step(): void {
    if (isStepping) return;
    admit();
    if (running.length === 0) return;
    isStepping = true;
    const reader = running.find(({ toRead }) => toRead > 0);
    const chunk = Math.min(model.chunkTokens, reader?.toRead ?? 0);
    const durationMs = model.stepMs +
      model.stepMsPerRequest * running.length +
      chunk / model.readTokensPerMs;
    const lifeNow = life;
    setTimeout(() => {
      if (lifeNow !== life) return;
      isStepping = false;
      if (reader !== undefined && running.includes(reader)) {
        read(reader, chunk);
      }
      decode();
      yieldMemory();
      step();
    }, durationMs);
  }

  function admit(): void {
    while (running.length < model.slots && waiting.length > 0) {
      const job = waiting.shift() as EngineJob;
      const held = getHeld(job.parts);
      held.forEach((part) => {
        touch(part);
        ledger.noteUse(part);
      });
      const missing = job.parts.slice(held.length);
      running.push({ job, missing, toRead: sumTokens(missing), made: 0 });
    }
  }

  function read(entry: RunningJob, chunk: number): void {
    entry.toRead -= chunk;
    counts.readTokens += chunk;
    if (entry.toRead > 0) return;
    const own = entry.job.parts.at(-1);
    for (const part of entry.missing) {
      touch(part);
      if (ledger.noteRead(part) && part !== own) {
        counts.readAgainTokens += part.tokens;
      }
    }
  }

  function decode(): void {
    for (const entry of running.filter(({ toRead }) => toRead <= 0)) {
      entry.made++;
      const isLast = entry.made >= entry.job.outputTokens;
      const isEvent = (entry.made - 1) % model.eventTokens === 0;
      if (isEvent || isLast) entry.job.emit();
      if (!isLast) continue;
      running = running.filter((other) => other !== entry);
      entry.job.finish();
    }
  }

  /** Unused parts go first, then the newest of the least urgent requests. */
  function yieldMemory(): void {
    while (getUsed() > model.memoryTokens) {
      const inUse = new Set(
        running.flatMap(({ job }) => job.parts.map(({ id }) => id)),
      );
      const idle = [...cache.keys()].find((id) => !inUse.has(id));
      if (idle !== undefined) cache.delete(idle);
      else if (!preempt()) return;
    }
  }

  function preempt(): boolean {
    const least = Math.max(...running.map(({ job }) => job.priorityClass));
    const victim = running.findLast(({ job }) => job.priorityClass === least);
    if (victim === undefined || running.length === 1) return false;
    counts.preemptions++;
    running = running.filter((other) => other !== victim);
    waiting.unshift(victim.job);
    return true;
  }

  function getUsed(): number {
    const made = running.reduce((sum, entry) => sum + entry.made, 0);
    return sumTokens([...cache.values()]) + made;
  }

  function touch(part: PromptPart): void {
    cache.delete(part.id);
    cache.set(part.id, part);
  }
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
