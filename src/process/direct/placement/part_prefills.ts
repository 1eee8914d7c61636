/**
 * Tracks which engine is prefilling which prompt parts, and when it ends.
 *
 * Load pattern: several requests begin with the same long part within the time
 * that one engine needs to prefill it: the part is new, hot, or was lost in a
 * crash. A part can be used or copied only once it is complete, so each of the
 * requests would prefill it again. Waiting for the first prefill takes a caller
 * no longer than its own prefill would, and costs the engine only a fraction of
 * the work.
 */

import type { PromptPart } from "../../../types/prompt.ts";

/**
 * Initial time to prefill one token, in milliseconds; the slow end of the range
 * seen on engines under some load.
 */
const initialTokenPrefillMs = 0.02;

/** Bounds of the measured time to prefill one token, in milliseconds. */
const tokenPrefillBoundsMs = { min: 0.004, max: 0.1 } as const;

/** Weight of a new sample in the exponential moving average. */
const smoothingFactor = 0.2;

/** Minimum number of tokens in a sample; shorter prefills say little. */
const minMeasuredTokens = 1_000;

/** Maximum number of prefills tracked; far more than run at the same time. */
const maxPrefills = 5_000;

/** Running prefills of prompt parts, of this router and of its peers. */
export interface PartPrefills {
  /** Records that an engine begins to prefill parts for a request. */
  begin(target: string, parts: readonly PromptPart[]): PartPrefill;
  /** Records that a peer has just sent a part to be prefilled. */
  recordPeerPrefill(target: string, part: PromptPart): void;
  /**
   * Waits until the engine has finished its running prefills of these parts, at
   * most `timeoutMs`. Returns the time waited, 0 when none was running.
   */
  wait(
    target: string,
    parts: readonly PromptPart[],
    options: { readonly timeoutMs: number },
  ): Promise<number>;
  /** Returns true while the engine prefills one of these parts. */
  hasRunning(target: string, parts: readonly PromptPart[]): boolean;
  /** Returns the measured time to prefill one token, in milliseconds. */
  getTokenPrefillMs(): number;
}

/** One prefill for a request of this router. */
export interface PartPrefill {
  /** Records that the engine has begun to respond: the prefill is complete. */
  finish(): void;
  /** Records that the request has ended without a response; ends all waits. */
  abandon(): void;
}

/** Creates an empty record of running prefills. */
export function createPartPrefills(): PartPrefills {
  /** Promises by target and part, which resolve when the prefill ends. */
  const prefills = new Map<string, Promise<void>>();
  let tokenPrefillMs = initialTokenPrefillMs;

  return {
    begin,
    recordPeerPrefill,
    wait,
    hasRunning: (target, parts) =>
      parts.some(({ id }) => prefills.has(getKey(target, id))),
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
