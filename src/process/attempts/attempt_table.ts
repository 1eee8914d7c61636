/**
 * Remembers every attempt that reached this agent, so that none runs twice,
 * a withdrawn one never runs, and answers can be read again.
 *
 * An entry goes through queued, running, done; or is refused for good. Old
 * entries are forgotten, but a number per router process stays: attempts up
 * to it that are not in the table are never run, and nobody claims that they
 * did not run.
 */

import type { Refusal } from "../../types/answer.ts";
import { assertInvariant } from "../../types/assert.ts";
import { type Attempt, getAttemptKey } from "../../types/attempt.ts";
import type { ResponseBuffer } from "./response_buffer.ts";

/** Where an attempt stands. */
export type AttemptPhase = "queued" | "running" | "done" | "refused";

/** What a router is told about an attempt that it lost sight of. */
export type SettledState =
  | "not_run"
  | "running"
  | "done"
  | "done_answer_gone"
  | "forgotten";

/** Bounds of the table. */
export interface AttemptTableOptions {
  /** Bytes of finished answers kept over all. */
  readonly keptAnswerBytes: number;
  /** Time that a finished answer is kept, in milliseconds. */
  readonly keptAnswerMs: number;
  /** Time that an entry without an answer is remembered, in milliseconds. */
  readonly tombstoneMs: number;
  /** Entries remembered at most, beside the queued and running ones. */
  readonly maxEntries: number;
}

/** One attempt as the table holds it. */
export interface AttemptEntry {
  readonly attempt: Attempt;
  readonly key: string;
  /** The answer; undefined when it is no longer held. */
  response: ResponseBuffer | undefined;
  phase: AttemptPhase;
  refusal: Refusal | undefined;
  /** Takes the attempt out of the queue when it is withdrawn. */
  withdraw: () => void;
}

/** What the table says to a request to run an attempt. */
export type AttemptClaim =
  | { readonly kind: "new"; readonly entry: AttemptEntry }
  | { readonly kind: "known"; readonly entry: AttemptEntry }
  | { readonly kind: "forgotten" };

/** Numbers of entries for dumps. */
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
  /** Enters a new attempt as queued, or finds the one that is known. */
  claim(attempt: Attempt): AttemptClaim;
  tryGet(attempt: Attempt): AttemptEntry | undefined;
  /** Moves a queued entry to running; false when it was withdrawn. */
  tryStart(entry: AttemptEntry): boolean;
  /** Ends an entry for good, with proof that it did not run. */
  refuse(entry: AttemptEntry, refusal: Refusal): void;
  /** Ends a running entry; its answer is kept within the bounds. */
  finish(entry: AttemptEntry): void;
  /** Keeps the answer of a finished entry no longer. */
  releaseResponse(entry: AttemptEntry): void;
  /** Makes an attempt that has not started a tombstone. */
  settle(attempt: Attempt): SettledState;
  /** Forgets what is old; call it about every second. */
  sweep(): void;
  /** Calls back for each queued and running entry. */
  forEachLive(callback: (entry: AttemptEntry) => void): void;
  getCounts(): AttemptCounts;
}

/** An entry that is over, in order of its end. */
interface EndedAttempt {
  readonly entry: AttemptEntry;
  readonly endedAt: number;
  readonly responseBytes: number;
}

/**
 * Part that stays when a bound is passed. Taking many at once is cheap, while
 * taking the first of a map again and again walks over all taken before.
 */
const lowWatermarkShare = 0.9;

/** Router processes whose last forgotten number is remembered. */
const maxRouters = 10_000;

/** Creates an empty table. */
export function createAttemptTable(
  options: AttemptTableOptions,
): AttemptTable {
  const entries = new Map<string, AttemptEntry>();
  const live = new Set<AttemptEntry>();
  const ended = new Map<AttemptEntry, EndedAttempt>();
  const retained = new Map<AttemptEntry, EndedAttempt>();
  const forgottenUpTo = new Map<string, number>();
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
      "work that is over is not refused",
    );
    entry.phase = "refused";
    entry.refusal = refusal;
    entry.response = undefined;
    recordEnd(entry, 0);
  }

  function finish(entry: AttemptEntry): void {
    assertInvariant(entry.phase === "running", "only running work ends");
    entry.phase = "done";
    recordEnd(entry, entry.response?.getBufferedBytes() ?? 0);
  }

  function releaseResponse(entry: AttemptEntry): void {
    const record = retained.get(entry);
    if (record !== undefined) dropResponse(record);
  }

  function recordEnd(entry: AttemptEntry, bytes: number): void {
    live.delete(entry);
    const record = { entry, endedAt: Date.now(), responseBytes: bytes };
    ended.set(entry, record);
    if (entry.response !== undefined) {
      retained.set(entry, record);
      retainedBytes += bytes;
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

  function dropResponse({ entry, responseBytes: bytes }: EndedAttempt): void {
    if (!retained.delete(entry)) return;
    retainedBytes -= bytes;
    entry.response = undefined;
  }

  function forget(record: EndedAttempt): void {
    dropResponse(record);
    const { entry } = record;
    ended.delete(entry);
    entries.delete(entry.key);
    const router = getRouterKey(entry.attempt);
    const previous = forgottenUpTo.get(router) ?? 0;
    // Setting the key again moves the router to the end of the order.
    forgottenUpTo.delete(router);
    forgottenUpTo.set(router, Math.max(previous, entry.attempt.number));
    const [oldest] = forgottenUpTo.keys();
    if (forgottenUpTo.size > maxRouters && oldest !== undefined) {
      forgottenUpTo.delete(oldest);
    }
  }

  function isForgotten(attempt: Attempt): boolean {
    const upTo = forgottenUpTo.get(getRouterKey(attempt));
    return upTo !== undefined && attempt.number <= upTo;
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
      routers: forgottenUpTo.size,
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
