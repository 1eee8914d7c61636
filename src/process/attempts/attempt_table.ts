/**
 * Records every attempt that reached this agent, so that none runs twice, a
 * withdrawn one never runs, and responses can be read again.
 *
 * An entry is queued, running, then done, or permanently refused. Old
 * entries are forgotten, but the highest forgotten number of each router
 * process is kept. An attempt up to that number that is not in the table may
 * have run before, so it is not run again and its state is `forgotten`, never
 * `not_run`. When the numbers of the oldest processes are dropped too, the same
 * holds for all attempts of processes that started no later.
 */

import type { Refusal } from "../../types/response.ts";
import { assertInvariant } from "../../types/assert.ts";
import { type Attempt, getAttemptKey } from "../../types/attempt.ts";
import type { ResponseBuffer } from "./response_buffer.ts";

/** Phase of an attempt. */
export type AttemptPhase = "queued" | "running" | "done" | "refused";

/** State of an attempt as it is reported to a router that settles it. */
export type SettledState =
  | "not_run"
  | "running"
  | "done"
  | "done_answer_gone"
  | "forgotten";

/** Limits of the table. */
export interface AttemptTableOptions {
  /** Maximum number of bytes of all retained responses. */
  readonly keptAnswerBytes: number;
  /** Time for which a finished response is retained, in milliseconds. */
  readonly keptAnswerMs: number;
  /** Time for which an entry is kept after its end, in milliseconds. */
  readonly tombstoneMs: number;
  /** Maximum number of ended entries. */
  readonly maxEntries: number;
}

/** One attempt, its phase and its response. */
export interface AttemptEntry {
  readonly attempt: Attempt;
  readonly key: string;
  /** The response; undefined when it is no longer retained. */
  response: ResponseBuffer | undefined;
  phase: AttemptPhase;
  refusal: Refusal | undefined;
  /** Removes the attempt from the queue. */
  withdraw: () => void;
}

/** Result of claiming an attempt: whether it is new to the table. */
export type AttemptClaim =
  | { readonly kind: "new"; readonly entry: AttemptEntry }
  | { readonly kind: "known"; readonly entry: AttemptEntry }
  | { readonly kind: "forgotten" };

/** Counts of the table, for dumps. */
export interface AttemptCounts {
  readonly queued: number;
  readonly running: number;
  readonly remembered: number;
  readonly keptAnswers: number;
  readonly keptBytes: number;
  readonly routers: number;
}

/** The attempts of one agent process. */
export interface AttemptTable {
  /** Adds a new attempt as queued, or returns the known entry. */
  claim(attempt: Attempt): AttemptClaim;
  tryGet(attempt: Attempt): AttemptEntry | undefined;
  /** Moves a queued entry to running; false when it is no longer queued. */
  tryStart(entry: AttemptEntry): boolean;
  /** Ends an entry with a refusal, the proof that it did not run. */
  refuse(entry: AttemptEntry, refusal: Refusal): void;
  /** Ends a running entry; its response is retained within the limits. */
  finish(entry: AttemptEntry): void;
  /** Drops the retained response of a finished entry. */
  releaseResponse(entry: AttemptEntry): void;
  /** Makes an attempt that has not started a tombstone; returns its state. */
  settle(attempt: Attempt): SettledState;
  /** Removes what has expired. Must be called about once a second. */
  sweep(): void;
  /** Calls back for each queued or running entry. */
  forEachLive(callback: (entry: AttemptEntry) => void): void;
  getCounts(): AttemptCounts;
}

/** An ended entry; the maps keep these in order of their end. */
interface EndedAttempt {
  readonly entry: AttemptEntry;
  readonly endedAt: number;
  readonly responseBytes: number;
}

/**
 * Share of a limit that is left after an eviction. Evicting in batches is
 * cheap; evicting the first entry of a map one at a time iterates over all
 * entries deleted before.
 */
const lowWatermarkShare = 0.9;

/** Maximum number of router processes whose forgotten numbers are kept. */
const maxRouters = 10_000;

/** Creates an empty table. */
export function createAttemptTable(
  options: AttemptTableOptions,
): AttemptTable {
  const entries = new Map<string, AttemptEntry>();
  const live = new Set<AttemptEntry>();
  const ended = new Map<AttemptEntry, EndedAttempt>();
  const retained = new Map<AttemptEntry, EndedAttempt>();
  /** The forgotten attempt with the highest number of each router process. */
  const lastForgotten = new Map<string, Attempt>();
  /** Highest start time of a router process whose number was dropped. */
  let droppedIncarnation = -Infinity;
  let retainedBytes = 0;

  return {
    claim,
    tryGet: (attempt) => entries.get(getAttemptKey(attempt)),
    tryStart,
    refuse,
    finish,
    releaseResponse,
    settle,
    sweep,
    forEachLive: (callback) => [...live].forEach(callback),
    getCounts,
  };

  function claim(attempt: Attempt): AttemptClaim {
    const known = entries.get(getAttemptKey(attempt));
    if (known !== undefined) return { kind: "known", entry: known };
    if (isForgotten(attempt)) return { kind: "forgotten" };
    const entry = addEntry(attempt);
    live.add(entry);
    return { kind: "new", entry };
  }

  function addEntry(attempt: Attempt): AttemptEntry {
    const entry: AttemptEntry = {
      attempt,
      key: getAttemptKey(attempt),
      response: undefined,
      phase: "queued",
      refusal: undefined,
      withdraw: () => undefined,
    };
    entries.set(entry.key, entry);
    return entry;
  }

  function tryStart(entry: AttemptEntry): boolean {
    if (entry.phase !== "queued") return false;
    entry.phase = "running";
    return true;
  }

  function refuse(entry: AttemptEntry, refusal: Refusal): void {
    assertInvariant(
      entry.phase === "queued" || entry.phase === "running",
      "only queued or running attempts are refused",
    );
    entry.phase = "refused";
    entry.refusal = refusal;
    entry.response = undefined;
    recordEnd(entry, 0);
  }

  function finish(entry: AttemptEntry): void {
    assertInvariant(entry.phase === "running", "only running attempts finish");
    entry.phase = "done";
    recordEnd(entry, entry.response?.getBufferedBytes() ?? 0);
  }

  function releaseResponse(entry: AttemptEntry): void {
    const record = retained.get(entry);
    if (record !== undefined) dropResponse(record);
  }

  function recordEnd(entry: AttemptEntry, responseBytes: number): void {
    live.delete(entry);
    const record = { entry, endedAt: Date.now(), responseBytes };
    ended.set(entry, record);
    if (entry.response !== undefined) {
      retained.set(entry, record);
      retainedBytes += responseBytes;
    }
    enforceBounds();
  }

  function settle(attempt: Attempt): SettledState {
    const claimed = claim(attempt);
    if (claimed.kind === "forgotten") return "forgotten";
    const { entry } = claimed;
    if (entry.phase === "queued") {
      const { withdraw } = entry;
      refuse(entry, {
        kind: "refusal",
        code: "attempt_settled",
        retryAfterMs: 0,
      });
      withdraw();
    }
    return getSettledState(entry);
  }

  function enforceBounds(): void {
    if (retainedBytes > options.keptAnswerBytes) {
      const lowWatermark = options.keptAnswerBytes * lowWatermarkShare;
      for (const record of retained.values()) {
        if (retainedBytes <= lowWatermark) break;
        dropResponse(record);
      }
    }
    if (ended.size > options.maxEntries) {
      const lowWatermark = options.maxEntries * lowWatermarkShare;
      for (const record of ended.values()) {
        if (ended.size <= lowWatermark) break;
        forget(record);
      }
    }
  }

  function sweep(): void {
    const now = Date.now();
    for (const record of retained.values()) {
      if (record.endedAt + options.keptAnswerMs > now) break;
      dropResponse(record);
    }
    for (const record of ended.values()) {
      if (record.endedAt + options.tombstoneMs > now) break;
      forget(record);
    }
  }

  function dropResponse({ entry, responseBytes }: EndedAttempt): void {
    if (!retained.delete(entry)) return;
    retainedBytes -= responseBytes;
    entry.response = undefined;
  }

  function forget(record: EndedAttempt): void {
    dropResponse(record);
    const { attempt, key } = record.entry;
    ended.delete(record.entry);
    entries.delete(key);
    if (isForgotten(attempt)) return;
    lastForgotten.set(getRouterKey(attempt), attempt);
    if (lastForgotten.size > maxRouters) dropOldestRouters();
  }

  function dropOldestRouters(): void {
    const dropCount = Math.ceil(maxRouters * (1 - lowWatermarkShare));
    const oldest = [...lastForgotten.values()]
      .sort((left, right) => left.routerIncarnation - right.routerIncarnation)
      .slice(0, dropCount);
    for (const attempt of oldest) {
      lastForgotten.delete(getRouterKey(attempt));
      droppedIncarnation = Math.max(
        droppedIncarnation,
        attempt.routerIncarnation,
      );
    }
  }

  function isForgotten(attempt: Attempt): boolean {
    const last = lastForgotten.get(getRouterKey(attempt));
    return last === undefined
      ? attempt.routerIncarnation <= droppedIncarnation
      : attempt.number <= last.number;
  }

  function getCounts(): AttemptCounts {
    let queued = 0;
    live.forEach((entry) => {
      if (entry.phase === "queued") queued++;
    });
    return {
      queued,
      running: live.size - queued,
      remembered: ended.size,
      keptAnswers: retained.size,
      keptBytes: retainedBytes,
      routers: lastForgotten.size,
    };
  }
}

function getSettledState(entry: AttemptEntry): SettledState {
  switch (entry.phase) {
    case "queued":
    case "refused":
      return "not_run";
    case "running":
      return "running";
    case "done":
      return entry.response === undefined ? "done_answer_gone" : "done";
  }
}

function getRouterKey(attempt: Attempt): string {
  return `${attempt.router}/${attempt.routerIncarnation}`;
}
