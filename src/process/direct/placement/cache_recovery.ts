/**
 * Recovers the record of the engines' cached parts after a router restart.
 *
 * Load pattern: routers restart, one by one or all together, while chats go on.
 * Parts that are not known to be cached would be prefilled again on other
 * engines, all at once. The record is pulled from a peer that still has it. If
 * no peer has it, each engine is queried by one router, which reports the
 * result to the others. A request waits until an engine is known to hold its
 * parts, or until no list that may name one is on its way.
 */

import type { DirectTarget, RouterPeer } from "../../../types/direct_target.ts";
import type { PromptPart } from "../../../types/prompt.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Placement } from "../../placement/placement.ts";
import type { CachedPart } from "./cached_parts.ts";
import {
  type EngineLists,
  listTimeoutMs,
  type MissingList,
} from "./engine_lists.ts";

/** What the recovery needs from the process. */
export interface CacheRecoveryHost {
  readonly placement: Placement;
  readonly log: Log;
  /** Returns the registered routers. */
  getPeers(): readonly RouterPeer[];
  /** Informs peers that this router is recovering; settled peers respond. */
  announceRecovery(): void;
  /**
   * Requests the lists that all peers have from engines, or what is missing of
   * one. The same `request` may be sent several times.
   */
  requestLists(request: number, list?: MissingList): void;
  /** Returns true when the peer has reported that it is not recovering. */
  isPeerSettled(id: string): boolean;
  /** Returns true when the peer was heard of since this router started. */
  isPeerHeard(id: string): boolean;
  /** Returns the engines of all services that may receive work. */
  getEngines(): readonly DirectTarget[];
  readonly lists: EngineLists;
  /** Returns true when an engine is known to hold all of these parts. */
  isHeld(parts: readonly PromptPart[]): boolean;
  /** Pulls a peer's record; undefined if it is unresponsive or recovering. */
  tryPullCachedParts(
    peer: RouterPeer,
  ): Promise<readonly CachedPart[] | undefined>;
  /** Lists the parts that an engine has cached; undefined on failure. */
  tryListCachedParts(
    target: DirectTarget,
  ): Promise<readonly PromptPart[] | undefined>;
  /** Records the parts that a peer knows of. */
  recordPeerParts(parts: readonly CachedPart[]): void;
  /** Reports to peers that this router queries engines. */
  reportAsked(targets: readonly string[]): void;
  /**
   * Records an engine's cached parts and reports them to peers; undefined when
   * it gave no list.
   */
  recordEngineParts(
    target: DirectTarget,
    parts: readonly PromptPart[] | undefined,
  ): void;
  /** Returns a random number in [0, 1). */
  random(): number;
}

/**
 * Time for settled peers to respond, in milliseconds; long compared with a
 * round trip.
 */
const peerResponseDelayMs = 60;

/**
 * Number of requests for the lists of peers within that time; a router that no
 * peer has heard of would have its engines queried twice.
 */
const listRequests = 3;

/** Maximum number of peers from which a copy is pulled. */
const maxPeersPulled = 3;

/**
 * Delay after the queries of engines before the record counts as complete, in
 * milliseconds. Routers that started together have reported their shares by
 * then.
 */
const settleDelayMs = 1_500;

/** Maximum time for which requests wait for a recovery, in milliseconds. */
const maxWaitMs = 500;

/** Time from the first query in which engines are waited for, in ms. */
const exchangeMs = 450;

/** Interval at which engines, lists and waiting requests are checked, in ms. */
const checkIntervalMs = 20;

/**
 * The same once requests no longer wait, in milliseconds, and its end: engines
 * whose entries expired in an outage of the store have registered by then.
 */
const lateChecks = { intervalMs: 100, endMs: 6_000 } as const;

/**
 * Time before the recovery at which an engine must have started to be queried
 * when it registers later, in milliseconds; a new one holds nothing.
 */
const minEngineAgeMs = 2_000;

/**
 * Time for the first message about a list, in milliseconds, after an engine was
 * first seen.
 */
const reportDelayMs = 80;

/** Weight of each router when engines are assigned; all are equal. */
const routerWeight = 100;

/** Recovery of one process. */
export interface CacheRecovery {
  /** Runs the recovery; called once the directory is known. */
  recover(selfId: string): Promise<void>;
  /** Returns true once the recovery is complete. */
  isSettled(): boolean;
  /**
   * Waits for a running recovery, at most `maxWaitMs` from its start, and not
   * once an engine is known to hold all of the parts.
   */
  wait(
    parts: readonly PromptPart[],
    options: { readonly goalAt: number },
  ): Promise<void>;
}

/** A request that waits. */
interface Waiting {
  readonly parts: readonly PromptPart[];
  /** When the request's latency goal passes. */
  readonly goalAt: number;
  end(): void;
}

/** Creates a recovery that has not run. */
export function createCacheRecovery(host: CacheRecoveryHost): CacheRecovery {
  const { lists } = host;
  let settledAt = Number.POSITIVE_INFINITY;
  let isRecovering = false;
  const waiting = new Set<Waiting>();
  /** When engines were first seen in this recovery. */
  const seenTimes = new Map<string, number>();

  return {
    recover,
    isSettled: () => performance.now() >= settledAt,
    wait,
  };

  function wait(
    parts: readonly PromptPart[],
    { goalAt }: { readonly goalAt: number },
  ): Promise<void> {
    if (!isRecovering || host.isHeld(parts)) return Promise.resolve();
    return new Promise((resolve) => {
      waiting.add({ parts, goalAt, end: resolve });
    });
  }

  /** Ends the waits that are over, those that can still meet their goals first. */
  function notify(): void {
    const now = performance.now();
    const over = [...waiting].filter(({ parts }) =>
      !isRecovering || host.isHeld(parts)
    );
    const isLate = ({ goalAt }: Waiting): boolean => goalAt <= now;
    const inTime = over.filter((entry) => !isLate(entry))
      .sort((left, right) => left.goalAt - right.goalAt);
    [...inTime, ...over.filter(isLate)].forEach((entry) => {
      waiting.delete(entry);
      entry.end();
    });
  }

  function endWaits(): void {
    isRecovering = false;
    notify();
  }

  async function recover(selfId: string): Promise<void> {
    isRecovering = true;
    const timer = setTimeout(endWaits, maxWaitMs).unref();
    await runRecovery(selfId);
    clearTimeout(timer);
    endWaits();
  }

  async function runRecovery(selfId: string): Promise<void> {
    const startedAtMs = Date.now();
    await announce();
    const peers = host.getPeers().filter(({ id }) =>
      id !== selfId && host.isPeerSettled(id)
    );
    const copy = await tryPullFromPeers(peers);
    if (copy !== undefined) {
      host.recordPeerParts(copy);
      settledAt = performance.now();
      host.log.info("Cached parts were pulled from a peer", {
        parts: copy.length,
      });
      return;
    }
    await queryEngines(selfId);
    settledAt = performance.now() + settleDelayMs;
    void queryLateEngines(selfId, { startedAtMs });
  }

  async function announce(): Promise<void> {
    host.announceRecovery();
    const request = createRequestNumber();
    for (let count = 0; count < listRequests; count++) {
      host.requestLists(request);
      await sleep(peerResponseDelayMs / listRequests);
    }
  }

  async function tryPullFromPeers(
    peers: readonly RouterPeer[],
  ): Promise<readonly CachedPart[] | undefined> {
    const selected = host.placement.rankTargets(
      "recovery",
      peers.map((peer) => ({ id: peer.id, weight: routerWeight, peer })),
      { limit: maxPeersPulled },
    );
    const copies = await Promise.all(
      selected.map(({ peer }) => host.tryPullCachedParts(peer)),
    );
    return copies.find((copy) => copy !== undefined);
  }

  /** Queries engines until no list is expected any more. */
  async function queryEngines(selfId: string): Promise<void> {
    const startedAt = performance.now();
    const endAt = startedAt + exchangeMs;
    do {
      queryAssigned(selfId);
      await sleep(checkIntervalMs);
      requestMissing(selfId);
      notify();
    } while (performance.now() < endAt && host.getEngines().some(isExpected));
    const engines = host.getEngines();
    host.log.info("Lists of engines' cached parts were exchanged", {
      tookMs: Math.round(performance.now() - startedAt),
      engines: engines.length,
      listed: engines.filter(({ id }) => lists.isListed(id)).length,
    });
  }

  /** Queries engines that register again after the others. */
  async function queryLateEngines(
    selfId: string,
    { startedAtMs }: { readonly startedAtMs: number },
  ): Promise<void> {
    while (Date.now() < startedAtMs + lateChecks.endMs) {
      await sleep(lateChecks.intervalMs);
      queryAssigned(selfId, {
        maxStartedAtMs: startedAtMs - minEngineAgeMs,
      });
      requestMissing(selfId);
    }
  }

  function isExpected({ id }: DirectTarget): boolean {
    if (lists.isAsked(id)) return lists.isExpected(id);
    const seenAt = seenTimes.get(id) ?? performance.now();
    return performance.now() - seenAt < reportDelayMs;
  }

  function requestMissing(selfId: string): void {
    lists.takeIncomplete()
      .filter(({ router }) => router !== selfId)
      .forEach((list) => host.requestLists(createRequestNumber(), list));
  }

  /** Queries the engines that this router is first for among those heard of. */
  function queryAssigned(
    selfId: string,
    { maxStartedAtMs = Infinity }: { readonly maxStartedAtMs?: number } = {},
  ): void {
    const present = new Set([selfId]);
    host.getPeers().forEach(({ id }) => {
      if (host.isPeerHeard(id)) present.add(id);
    });
    const routers = [...present].map((id) => ({ id, weight: routerWeight }));
    const assigned = host.getEngines().filter((engine) => {
      if (!seenTimes.has(engine.id)) {
        seenTimes.set(engine.id, performance.now());
      }
      if (lists.isAsked(engine.id)) return false;
      if (engine.startedAtMs > maxStartedAtMs) return false;
      const [first] = host.placement.rankTargets(engine.id, routers, {
        limit: 1,
      });
      return first?.id === selfId;
    });
    if (assigned.length === 0) return;
    assigned.forEach(({ id }) => lists.recordAsked(id, selfId));
    host.reportAsked(assigned.map(({ id }) => id));
    assigned.forEach((engine) => void queryEngine(engine, selfId));
  }

  async function queryEngine(
    engine: DirectTarget,
    selfId: string,
  ): Promise<void> {
    const timer = setTimeout(() => record(undefined), listTimeoutMs).unref();
    const parts = await host.tryListCachedParts(engine);
    clearTimeout(timer);
    record(parts);
    if (parts === undefined) return;
    host.log.info("Engine reported its cached parts", {
      target: engine.id,
      parts: parts.length,
    });

    function record(listed: readonly PromptPart[] | undefined): void {
      const count = listed === undefined ? 0 : 1;
      lists.recordFragment(selfId, { target: engine.id, index: 0, count });
      host.recordEngineParts(engine, listed);
    }
  }

  /** Returns a number other than 0. */
  function createRequestNumber(): number {
    return 1 + Math.floor(host.random() * 0xffff_fffe);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
