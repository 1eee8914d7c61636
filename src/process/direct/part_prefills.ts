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
const initialTokenPrefillMs = 0.02;

/** Bounds of the measured time to read one token, in milliseconds. */
const tokenPrefillBoundsMs = { min: 0.004, max: 0.1 } as const;

/** Weight of one more measurement in the running mean. */
const smoothingFactor = 0.2;

/** Tokens of a reading below which its time says little about the rate. */
const minMeasuredTokens = 1_000;

/** Reads of one process that are remembered; far above what runs at once. */
const maxPrefills = 5_000;

/** Reads of parts, own and peers'. */
export interface PartPrefills {
  /** An engine begins to read parts for a request of this router. */
  begin(target: string, parts: readonly PromptPart[]): PartPrefill;
  /** A peer has just sent a part to be read. */
  recordPeerPrefill(target: string, part: PromptPart): void;
  /**
   * Resolves when the engine has read what it is reading of these parts, or
   * after `mostMs`; the time waited is returned, 0 when nothing was read.
   */
  wait(
    target: string,
    parts: readonly PromptPart[],
    options: { readonly timeoutMs: number },
  ): Promise<number>;
  /** Measured time to read one token, in milliseconds. */
  getTokenPrefillMs(): number;
}

/** One reading by a request of this router. */
export interface PartPrefill {
  /** The engine has begun to answer, so all was read. */
  finish(): void;
  /** The request has ended without an answer; whoever waits goes on. */
  abandon(): void;
}

/** Creates a record without any reading. */
export function createPartPrefills(): PartPrefills {
  /** Resolves when the reading has ended. */
  const prefills = new Map<string, Promise<void>>();
  let tokenPrefillMs = initialTokenPrefillMs;

  return {
    begin,
    recordPeerPrefill,
    wait,
    getTokenPrefillMs: () => tokenPrefillMs,
  };

  function begin(target: string, parts: readonly PromptPart[]): PartPrefill {
    const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    const startedAt = performance.now();
    let complete: () => void = () => undefined;
    const completion = new Promise<void>((resolve) => {
      complete = resolve;
    });
    const keys = parts.map(({ id }) => getKey(target, id));
    keys.forEach((key) => add(key, completion));

    return { finish, abandon };

    function finish(): void {
      if (tokens >= minMeasuredTokens) {
        recordSample((performance.now() - startedAt) / tokens);
      }
      abandon();
    }

    function abandon(): void {
      keys.forEach((key) => {
        if (prefills.get(key) === completion) prefills.delete(key);
      });
      complete();
    }
  }

  function recordPeerPrefill(target: string, { id, tokens }: PromptPart): void {
    const key = getKey(target, id);
    const completion = new Promise<void>((resolve) => {
      setTimeout(() => {
        if (prefills.get(key) === completion) prefills.delete(key);
        resolve();
      }, tokens * tokenPrefillMs).unref();
    });
    add(key, completion);
  }

  function add(key: string, ended: Promise<void>): void {
    prefills.set(key, ended);
    if (prefills.size <= maxPrefills) return;
    const [oldest] = prefills.keys();
    if (oldest !== undefined) prefills.delete(oldest);
  }

  async function wait(
    target: string,
    parts: readonly PromptPart[],
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<number> {
    const running = parts.flatMap(({ id }) =>
      prefills.get(getKey(target, id)) ?? []
    );
    if (running.length === 0) return 0;
    const startedAt = performance.now();
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, timeoutMs);
    });
    await Promise.race([Promise.all(running), timeout]);
    clearTimeout(timer);
    return performance.now() - startedAt;
  }

  function recordSample(msPerToken: number): void {
    const { min, max } = tokenPrefillBoundsMs;
    const bounded = Math.min(max, Math.max(min, msPerToken));
    tokenPrefillMs += (bounded - tokenPrefillMs) * smoothingFactor;
  }
}

function getKey(target: string, part: string): string {
  return `${target}/${part}`;
}
