/**
 * Decides when a router may start to prefill a large part that no router knows.
 *
 * Load pattern: after a restart, requests that have waited for the engines' lists
 * go on at all routers at the same time. Some of their long shared parts are known
 * nowhere, such as one whose engine did not answer, and each router would
 * prefill them. Now the routers take turns by their rank for the part. The first
 * one reports its prefill at once, and the others wait for it or copy from its
 * engine. At one router, the first of several requests has the turn.
 */

import type { PromptPart } from "../../../types/prompt.ts";

/** Time after the start of a router in which routers take turns, in ms. */
const turnsEndMs = 6_000;

/**
 * Minimum tokens of a prefill that others wait for; a smaller one takes an
 * engine less time than the turns of some routers.
 */
const minTokens = 1_000;

/** Maximum time of one turn, in ms: a report to the other routers. */
const maxTurnMs = 8;

/** Maximum time of all turns for one part, in milliseconds. */
const maxTurnsMs = 150;

/**
 * Time in which a request that has the turn is sent, in milliseconds; others at
 * this router then know of its prefill.
 */
const sendMs = 10;

/** Maximum number of parts that are tracked. */
const maxParts = 1_000;

/** What the turns need from the process. */
export interface PrefillTurnsHost {
  /** Returns true when callers compete for capacity. */
  isActive(): boolean;
  /** Returns this router's rank for a key from 0. */
  getRank(key: string): number;
  countRouters(): number;
}

/** The turns of one router. */
export interface PrefillTurns {
  /**
   * Returns the time after which a request that has to prefill these parts
   * should choose its target again, in milliseconds. 0 gives it the turn.
   */
  takeTurn(parts: readonly PromptPart[]): number;
}

/** The turn for one part. */
interface Turn {
  /** When this router may begin. */
  readonly at: number;
  /** Until when a request of this router has the turn. */
  readonly takenUntil: number;
}

/** Returns true for a prefill that other routers are told of at once. */
export function isLargePrefill(parts: readonly PromptPart[]): boolean {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0) >= minTokens;
}

/** Creates the turns of a router that starts now. */
export function createPrefillTurns(host: PrefillTurnsHost): PrefillTurns {
  const endsAt = performance.now() + turnsEndMs;
  const turns = new Map<string, Turn>();

  return { takeTurn };

  function takeTurn(parts: readonly PromptPart[]): number {
    const now = performance.now();
    const [largest] = [...parts].sort((a, b) => b.tokens - a.tokens);
    if (largest === undefined || !isLargePrefill(parts)) return 0;
    if (now >= endsAt || !host.isActive()) return 0;
    const { at, takenUntil } = turns.get(largest.id) ??
      { at: now + getDelayMs(largest.id), takenUntil: 0 };
    const waitMs = Math.max(at, takenUntil) - now;
    const isTaken = waitMs <= 0;
    turns.delete(largest.id);
    turns.set(largest.id, {
      at,
      takenUntil: isTaken ? now + sendMs : takenUntil,
    });
    if (turns.size > maxParts) {
      const [oldest] = turns.keys();
      if (oldest !== undefined) turns.delete(oldest);
    }
    return isTaken ? 0 : Math.ceil(waitMs);
  }

  function getDelayMs(part: string): number {
    const turnMs = Math.min(
      maxTurnMs,
      maxTurnsMs / Math.max(1, host.countRouters()),
    );
    return Math.min(maxTurnsMs, host.getRank(part) * turnMs);
  }
}
