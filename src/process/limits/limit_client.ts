/** Admits requests under limits that other routers keep. */

import type { LimitDecision } from "../../types/view.ts";
import type { GrantResult } from "./limit_owner.ts";

/** Wait for a grant before the ask is sent again. */
const grantTimeoutMs = 150;

/** Asks in a row that stay unanswered before the own share is used. */
const maxGrantAttempts = 2;

/** Time the own share is used before the home is asked again. */
const localShareMs = 2_000;

/**
 * Time after which granted requests that were not used are lost: longer than
 * the longest wait for the next ask, and short enough that what is left from
 * a quiet time adds little to a surge.
 */
const grantTtlMs = 10_000;

/** Time without requests after which a workspace is forgotten. */
const idleTimeoutMs = 30_000;

/** Most requests of one workspace that wait for a grant. */
const maxWaiters = 256;

/** Most requests asked for at once. */
const maxGrantAmount = 100_000;

/** Where a limit is kept. */
export type OwnerLocation =
  | { readonly kind: "here" }
  | { readonly kind: "at"; readonly id: string }
  | { readonly kind: "nowhere" };

/** What the shares need from outside. */
export interface LimitClientHost {
  /** Requests per second of a workspace; 0 means no limit. */
  getRate(workspace: string): number;
  getOwner(workspace: string): OwnerLocation;
  /** Live routers, this one included. */
  countRouters(): number;
  grantLocally(workspace: string, amount: number): GrantResult;
  /** Sends an ask to the home. */
  sendGrantRequest(owner: string, ask: GrantMessage): void;
  /** Random numbers from 0 up to 1. */
  random(): number;
}

/** One ask for requests. */
export interface GrantMessage {
  readonly sequence: number;
  readonly workspace: string;
  readonly amount: number;
}

/** Admits requests by grants from the homes of limits. */
export interface LimitClient {
  acquire(workspace: string): Promise<LimitDecision>;
  /** Takes the answer to an ask. */
  handleGrant(grant: GrantMessage, retryAfterMs: number): void;
  dropIdle(): void;
  getSize(): number;
}

interface ClientLimit {
  readonly workspace: string;
  tokens: number;
  tokensExpireAt: number;
  refusedUntil: number;
  /** Requests since the last ask, those refused included. */
  demand: number;
  pending: PendingGrantRequest | undefined;
  waiting: ((decision: LimitDecision) => void)[];
  /** While the home does not answer: the own share is used until then. */
  localUntil: number;
  localTokens: number;
  localRefilledAt: number;
  usedAt: number;
}

interface PendingGrantRequest {
  readonly sequence: number;
  readonly timer: NodeJS.Timeout;
}

/** Creates shares without grants. */
export function createLimitClient(host: LimitClientHost): LimitClient {
  const limits = new Map<string, ClientLimit>();
  let sequence = 0;

  return {
    acquire,
    handleGrant,
    dropIdle,
    getSize: () => limits.size,
  };

  function acquire(workspace: string): Promise<LimitDecision> {
    if (host.getRate(workspace) <= 0) return Promise.resolve(granted);
    const limit = getOrCreate(workspace);
    const now = performance.now();
    limit.usedAt = now;
    limit.demand++;
    if (now >= limit.tokensExpireAt) limit.tokens = 0;
    if (limit.tokens >= 1) {
      limit.tokens--;
      return Promise.resolve(granted);
    }
    if (now < limit.refusedUntil) return refuse(limit.refusedUntil - now);
    if (now < limit.localUntil) return Promise.resolve(takeLocalShare(limit));
    if (limit.waiting.length >= maxWaiters) return refuse(grantTimeoutMs);
    return new Promise((resolve) => {
      limit.waiting.push(resolve);
      if (limit.pending === undefined) requestGrant(limit, 1);
    });
  }

  function getOrCreate(workspace: string): ClientLimit {
    let limit = limits.get(workspace);
    if (limit === undefined) {
      limit = {
        workspace,
        tokens: 0,
        tokensExpireAt: 0,
        refusedUntil: 0,
        demand: 0,
        pending: undefined,
        waiting: [],
        localUntil: 0,
        // A random part of a request, so that all routers together admit the
        // rate though each admits a request only now and then.
        localTokens: host.random(),
        localRefilledAt: performance.now(),
        usedAt: 0,
      };
      limits.set(workspace, limit);
    }
    return limit;
  }

  function requestGrant(limit: ClientLimit, attempt: number): void {
    const { workspace } = limit;
    const amount = Math.min(maxGrantAmount, Math.max(1, limit.demand));
    const owner = host.getOwner(workspace);
    if (owner.kind === "nowhere") return useLocalShare(limit);
    if (owner.kind === "here") {
      applyGrant(limit, host.grantLocally(workspace, amount));
      return;
    }
    sequence = (sequence + 1) >>> 0;
    const timer = setTimeout(() => {
      limit.pending = undefined;
      if (attempt < maxGrantAttempts) requestGrant(limit, attempt + 1);
      else useLocalShare(limit);
    }, grantTimeoutMs);
    limit.pending = { sequence, timer };
    host.sendGrantRequest(owner.id, { sequence, workspace, amount });
  }

  function handleGrant(grant: GrantMessage, retryAfterMs: number): void {
    const limit = limits.get(grant.workspace);
    if (limit?.pending?.sequence !== grant.sequence) return;
    clearTimeout(limit.pending.timer);
    limit.pending = undefined;
    applyGrant(limit, { amount: grant.amount, retryAfterMs });
  }

  function applyGrant(
    limit: ClientLimit,
    { amount, retryAfterMs }: GrantResult,
  ): void {
    const now = performance.now();
    limit.demand = 0;
    limit.tokens = amount;
    limit.tokensExpireAt = now + grantTtlMs;
    limit.refusedUntil = retryAfterMs > 0 ? now + retryAfterMs : 0;
    const admitted = limit.waiting.splice(0, amount);
    limit.tokens -= admitted.length;
    admitted.forEach((resolve) => resolve(granted));
    if (limit.waiting.length === 0) return;
    if (retryAfterMs === 0) return requestGrant(limit, 1);
    for (const resolve of limit.waiting.splice(0)) {
      resolve({ kind: "refused", retryAfterMs });
    }
  }

  /** The home is lost or cut off: one router's part of the limit is left. */
  function useLocalShare(limit: ClientLimit): void {
    const now = performance.now();
    limit.localRefilledAt = Math.max(limit.localRefilledAt, now - localShareMs);
    limit.localUntil = now + localShareMs;
    for (const resolve of limit.waiting.splice(0)) {
      resolve(takeLocalShare(limit));
    }
  }

  function takeLocalShare(limit: ClientLimit): LimitDecision {
    const now = performance.now();
    const rate = host.getRate(limit.workspace) / host.countRouters();
    const elapsedSeconds = (now - limit.localRefilledAt) / 1_000;
    const maxTokens = Math.max(1, rate * localShareMs / 1_000);
    limit.localTokens = Math.min(
      maxTokens,
      limit.localTokens + elapsedSeconds * rate,
    );
    limit.localRefilledAt = now;
    if (limit.localTokens >= 1) {
      limit.localTokens--;
      return granted;
    }
    const retryAfterMs = (1 - limit.localTokens) / rate * 1_000;
    return { kind: "refused", retryAfterMs: Math.ceil(retryAfterMs) };
  }

  function dropIdle(): void {
    const now = performance.now();
    for (const [workspace, limit] of limits) {
      const isIdle = now - limit.usedAt > idleTimeoutMs;
      if (isIdle && limit.pending === undefined) limits.delete(workspace);
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
