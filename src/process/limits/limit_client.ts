/**
 * Admits or refuses requests under the limit of a workspace, with grants from
 * the router that owns the limit. While the owner is unreachable, each router
 * uses its equal share of the limit, so that a surge stays bounded.
 */

import type { LimitDecision } from "../../types/view.ts";
import type { GrantResult } from "./limit_owner.ts";

/** Timeout of one grant request. */
const grantTimeoutMs = 150;

/** Grant requests in a row that time out before the local share is used. */
const maxGrantAttempts = 2;

/**
 * Time for which the local share is used before the owner is asked again. Also
 * the time over which the local share may accumulate.
 */
const localShareMs = 2_000;

/**
 * Time after which an unused grant expires. It is longer than the maximum
 * retry-after delay, and short enough that grants left over from a quiet period
 * add little to a surge.
 */
const grantTtlMs = 10_000;

/** Time without requests after which a workspace's state is dropped. */
const idleTimeoutMs = 30_000;

/** Maximum number of requests of one workspace that wait for a grant. */
const maxWaiters = 256;

/** Maximum number of requests that one grant request asks for. */
const maxGrantAmount = 100_000;

/**
 * Which router owns a limit: this one (`here`), another one (`at`), or none
 * that is known (`nowhere`).
 */
export type OwnerLocation =
  | { readonly kind: "here" }
  | { readonly kind: "at"; readonly id: string }
  | { readonly kind: "nowhere" };

/** The dependencies of the client. */
export interface LimitClientHost {
  /** Returns a workspace's limit in requests per second; 0 for no limit. */
  getRate(workspace: string): number;
  /** Returns which router owns the limit of a workspace. */
  getOwner(workspace: string): OwnerLocation;
  /** Returns the number of live routers, this one included. */
  getRouterCount(): number;
  /** Grants requests under a limit that this router owns. */
  grantLocally(workspace: string, amount: number): GrantResult;
  /** Sends a grant request to the owner with this router id. */
  sendGrantRequest(owner: string, request: GrantMessage): void;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
}

/** A grant request or the grant that responds to it. */
export interface GrantMessage {
  /** Matches a grant to its request. */
  readonly sequence: number;
  readonly workspace: string;
  /** Number of requests that are asked for or granted. */
  readonly amount: number;
}

/** Admits requests by grants from the owners of limits. */
export interface LimitClient {
  /** Decides on one request; resolves at once when a grant is available. */
  acquire(workspace: string): Promise<LimitDecision>;
  /** Applies the owner's response to a grant request. */
  handleGrant(grant: GrantMessage, retryAfterMs: number): void;
  /** Drops the state of workspaces without recent requests. */
  dropIdle(): void;
  /** Returns the number of workspaces with state. */
  getSize(): number;
}

/** The state of one workspace's limit in this router. */
interface ClientLimit {
  readonly workspace: string;
  /** Number of granted requests that are not used yet. */
  tokens: number;
  tokensExpireAt: number;
  /** Until this time, requests beyond the grant are refused. */
  refusedUntil: number;
  /** Requests since the last grant, refused ones included. */
  demand: number;
  pending: PendingGrantRequest | undefined;
  waiting: ((decision: LimitDecision) => void)[];
  /** Time until which the local share is used, as no owner was reachable. */
  localUntil: number;
  localTokens: number;
  localRefilledAt: number;
  usedAt: number;
}

interface PendingGrantRequest {
  readonly sequence: number;
  readonly timer: NodeJS.Timeout;
}

/** Creates a client without grants. */
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
        // The random initial fraction makes all routers together admit about
        // the rate even when each one rarely admits a request.
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

  /** Falls back to this router's share of the limit: no owner is reachable. */
  function useLocalShare(limit: ClientLimit): void {
    const now = performance.now();
    limit.localRefilledAt = Math.max(limit.localRefilledAt, now - localShareMs);
    limit.localUntil = now + localShareMs;
    for (const resolve of limit.waiting.splice(0)) {
      resolve(takeLocalShare(limit));
    }
  }

  /** Admits one request from the local share, or refuses it. */
  function takeLocalShare(limit: ClientLimit): LimitDecision {
    const now = performance.now();
    const rate = host.getRate(limit.workspace) / host.getRouterCount();
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
