/** Admits requests under limits that other routers keep. */

import type { LimitDecision } from "../../types/view.ts";
import type { LimitGrantAmount } from "./limit_home.ts";

/** Wait for a grant before the ask is sent again. */
const askTimeoutMs = 150;

/** Asks in a row that stay unanswered before the own share is used. */
const maxAsks = 2;

/** Time the own share is used before the home is asked again. */
const shareMs = 2_000;

/**
 * Time after which granted requests that were not used are lost: longer than
 * the longest wait for the next ask, and short enough that what is left from
 * a quiet time adds little to a surge.
 */
const grantLifeMs = 10_000;

/** Time without requests after which a workspace is forgotten. */
const idleMs = 30_000;

/** Most requests of one workspace that wait for a grant. */
const maxWaiting = 256;

/** Most requests asked for at once. */
const maxAmount = 100_000;

/** Where a limit is kept. */
export type LimitPlace =
  | { readonly kind: "here" }
  | { readonly kind: "at"; readonly id: string }
  | { readonly kind: "nowhere" };

/** What the shares need from outside. */
export interface LimitSharesHost {
  /** Requests per second of a workspace; 0 means no limit. */
  getRate(workspace: string): number;
  getHome(workspace: string): LimitPlace;
  /** Live routers, this one included. */
  countRouters(): number;
  grantHere(workspace: string, amount: number): LimitGrantAmount;
  /** Sends an ask to the home. */
  ask(home: string, ask: LimitAsk): void;
  /** Random numbers from 0 up to 1. */
  random(): number;
}

/** One ask for requests. */
export interface LimitAsk {
  readonly sequence: number;
  readonly workspace: string;
  readonly amount: number;
}

/** Admits requests by grants from the homes of limits. */
export interface LimitShares {
  acquire(workspace: string): Promise<LimitDecision>;
  /** Takes the answer to an ask. */
  noteGrant(ask: LimitAsk, retryAfterMs: number): void;
  dropIdle(): void;
  getSize(): number;
}

interface Share {
  readonly workspace: string;
  tokens: number;
  tokensUntil: number;
  refusedUntil: number;
  /** Requests since the last ask, those refused included. */
  demand: number;
  pending: PendingAsk | undefined;
  waiting: ((decision: LimitDecision) => void)[];
  /** While the home does not answer: the own share is used until then. */
  shareUntil: number;
  shareTokens: number;
  sharedAt: number;
  usedAt: number;
}

interface PendingAsk {
  readonly sequence: number;
  readonly timer: NodeJS.Timeout;
}

/** Creates shares without grants. */
export function createLimitShares(host: LimitSharesHost): LimitShares {
  const shares = new Map<string, Share>();
  let sequence = 0;

  return { acquire, noteGrant, dropIdle, getSize: () => shares.size };

  function acquire(workspace: string): Promise<LimitDecision> {
    if (host.getRate(workspace) <= 0) return Promise.resolve(granted);
    const share = getOrCreate(workspace);
    const now = performance.now();
    share.usedAt = now;
    share.demand++;
    if (now >= share.tokensUntil) share.tokens = 0;
    if (share.tokens >= 1) {
      share.tokens--;
      return Promise.resolve(granted);
    }
    if (now < share.refusedUntil) return refuse(share.refusedUntil - now);
    if (now < share.shareUntil) return Promise.resolve(takeOwnShare(share));
    if (share.waiting.length >= maxWaiting) return refuse(askTimeoutMs);
    return new Promise((resolve) => {
      share.waiting.push(resolve);
      if (share.pending === undefined) ask(share, 1);
    });
  }

  function getOrCreate(workspace: string): Share {
    let share = shares.get(workspace);
    if (share === undefined) {
      share = {
        workspace,
        tokens: 0,
        tokensUntil: 0,
        refusedUntil: 0,
        demand: 0,
        pending: undefined,
        waiting: [],
        shareUntil: 0,
        // A random part of a request, so that all routers together admit the
        // rate though each admits a request only now and then.
        shareTokens: host.random(),
        sharedAt: performance.now(),
        usedAt: 0,
      };
      shares.set(workspace, share);
    }
    return share;
  }

  function ask(share: Share, tries: number): void {
    const { workspace } = share;
    const amount = Math.min(maxAmount, Math.max(1, share.demand));
    const home = host.getHome(workspace);
    if (home.kind === "nowhere") return useOwnShare(share);
    if (home.kind === "here") {
      takeGrant(share, host.grantHere(workspace, amount));
      return;
    }
    sequence = (sequence + 1) >>> 0;
    const timer = setTimeout(() => {
      share.pending = undefined;
      if (tries < maxAsks) ask(share, tries + 1);
      else useOwnShare(share);
    }, askTimeoutMs);
    share.pending = { sequence, timer };
    host.ask(home.id, { sequence, workspace, amount });
  }

  function noteGrant(grant: LimitAsk, retryAfterMs: number): void {
    const share = shares.get(grant.workspace);
    if (share?.pending?.sequence !== grant.sequence) return;
    clearTimeout(share.pending.timer);
    share.pending = undefined;
    takeGrant(share, { amount: grant.amount, retryAfterMs });
  }

  function takeGrant(
    share: Share,
    { amount, retryAfterMs }: LimitGrantAmount,
  ): void {
    const now = performance.now();
    share.demand = 0;
    share.tokens = amount;
    share.tokensUntil = now + grantLifeMs;
    share.refusedUntil = retryAfterMs > 0 ? now + retryAfterMs : 0;
    const served = share.waiting.splice(0, amount);
    share.tokens -= served.length;
    served.forEach((resolve) => resolve(granted));
    if (share.waiting.length === 0) return;
    if (retryAfterMs === 0) return ask(share, 1);
    for (const resolve of share.waiting.splice(0)) {
      resolve({ kind: "refused", retryAfterMs });
    }
  }

  /** The home is lost or cut off: one router's part of the limit is left. */
  function useOwnShare(share: Share): void {
    const now = performance.now();
    share.sharedAt = Math.max(share.sharedAt, now - shareMs);
    share.shareUntil = now + shareMs;
    for (const resolve of share.waiting.splice(0)) {
      resolve(takeOwnShare(share));
    }
  }

  function takeOwnShare(share: Share): LimitDecision {
    const now = performance.now();
    const rate = host.getRate(share.workspace) / host.countRouters();
    const passed = (now - share.sharedAt) / 1_000;
    const most = Math.max(1, rate * shareMs / 1_000);
    share.shareTokens = Math.min(most, share.shareTokens + passed * rate);
    share.sharedAt = now;
    if (share.shareTokens >= 1) {
      share.shareTokens--;
      return granted;
    }
    const wait = (1 - share.shareTokens) / rate * 1_000;
    return { kind: "refused", retryAfterMs: Math.ceil(wait) };
  }

  function dropIdle(): void {
    const now = performance.now();
    for (const [workspace, share] of shares) {
      const isIdle = now - share.usedAt > idleMs;
      if (isIdle && share.pending === undefined) shares.delete(workspace);
    }
  }
}

const granted: LimitDecision = { kind: "granted" };

function refuse(retryAfterMs: number): Promise<LimitDecision> {
  return Promise.resolve({
    kind: "refused",
    retryAfterMs: Math.ceil(retryAfterMs),
  });
}
