/**
 * Which parts of prompts are being read by which engine, and for how long yet.
 *
 * Load pattern: several requests begin with the same long part within the time
 * that one engine needs to read it, as when a part is new, hot, or was lost in
 * a crash. A part can be used or copied only when it has been read whole, so
 * each of them would read it again; waiting for the first reader costs a caller
 * no more than that reading would, and the engine a fraction.
 */

import type { PromptPart } from "../../types/prompt.ts";

/**
 * Time to read one token before any was measured, in milliseconds; the slower
 * end of what engines with some load showed.
 */
const firstTokenReadMs = 0.02;

/** Bounds of the measured time to read one token, in milliseconds. */
const tokenReadBoundsMs = { least: 0.004, most: 0.1 } as const;

/** Weight of one more measurement in the running mean. */
const measurementWeight = 0.2;

/** Tokens of a reading below which its time says little about the rate. */
const minMeasuredTokens = 1_000;

/** Reads of one process that are remembered; far above what runs at once. */
const maxReads = 5_000;

/** Reads of parts, own and peers'. */
export interface PartReads {
  /** An engine begins to read parts for a request of this router. */
  begin(target: string, parts: readonly PromptPart[]): PartRead;
  /** A peer has just sent a part to be read. */
  notePeerRead(target: string, part: PromptPart): void;
  /**
   * Resolves when the engine has read what it is reading of these parts, or
   * after `mostMs`; the time waited is returned, 0 when nothing was read.
   */
  wait(
    target: string,
    parts: readonly PromptPart[],
    options: { readonly mostMs: number },
  ): Promise<number>;
  /** Measured time to read one token, in milliseconds. */
  getTokenReadMs(): number;
}

/** One reading by a request of this router. */
export interface PartRead {
  /** The engine has begun to answer, so all was read. */
  finish(): void;
  /** The request has ended without an answer; whoever waits goes on. */
  abandon(): void;
}

/** Creates a record without any reading. */
export function createPartReads(): PartReads {
  /** Resolves when the reading has ended. */
  const reads = new Map<string, Promise<void>>();
  let tokenReadMs = firstTokenReadMs;

  return { begin, notePeerRead, wait, getTokenReadMs: () => tokenReadMs };

  function begin(target: string, parts: readonly PromptPart[]): PartRead {
    const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    const startedAt = performance.now();
    let release: () => void = () => undefined;
    const ended = new Promise<void>((resolve) => {
      release = resolve;
    });
    const keys = parts.map(({ id }) => getKey(target, id));
    keys.forEach((key) => hold(key, ended));

    return { finish, abandon };

    function finish(): void {
      if (tokens >= minMeasuredTokens) {
        measure((performance.now() - startedAt) / tokens);
      }
      abandon();
    }

    function abandon(): void {
      keys.forEach((key) => {
        if (reads.get(key) === ended) reads.delete(key);
      });
      release();
    }
  }

  function notePeerRead(target: string, { id, tokens }: PromptPart): void {
    const key = getKey(target, id);
    const ended = new Promise<void>((resolve) => {
      setTimeout(() => {
        if (reads.get(key) === ended) reads.delete(key);
        resolve();
      }, tokens * tokenReadMs).unref();
    });
    hold(key, ended);
  }

  function hold(key: string, ended: Promise<void>): void {
    reads.set(key, ended);
    if (reads.size <= maxReads) return;
    const [oldest] = reads.keys();
    if (oldest !== undefined) reads.delete(oldest);
  }

  async function wait(
    target: string,
    parts: readonly PromptPart[],
    { mostMs }: { readonly mostMs: number },
  ): Promise<number> {
    const running = parts.flatMap(({ id }) =>
      reads.get(getKey(target, id)) ?? []
    );
    if (running.length === 0) return 0;
    const startedAt = performance.now();
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, mostMs);
    });
    await Promise.race([Promise.all(running), timeout]);
    clearTimeout(timer);
    return performance.now() - startedAt;
  }

  function measure(sample: number): void {
    const { least, most } = tokenReadBoundsMs;
    const bounded = Math.min(most, Math.max(least, sample));
    tokenReadMs += (bounded - tokenReadMs) * measurementWeight;
  }
}

function getKey(target: string, part: string): string {
  return `${target}/${part}`;
}
