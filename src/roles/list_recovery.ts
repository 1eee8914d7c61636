/** Connects the recovery of cached parts with the exchange of engines' lists. */

import { createListExchange } from "../process/direct/peers/list_exchange.ts";
import {
  createListMessage,
  encodeListMessage,
  type ListMessage,
} from "../process/direct/peers/list_fragments.ts";
import {
  type CacheRecovery,
  type CacheRecoveryHost,
  createCacheRecovery,
} from "../process/direct/placement/cache_recovery.ts";
import type { CachedParts } from "../process/direct/placement/cached_parts.ts";
import {
  createPrefillTurns,
  type PrefillTurns,
} from "../process/direct/placement/prefill_turns.ts";
import type { Contention } from "../process/direct/limits/contention.ts";
import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import { createEngineLists } from "../process/direct/placement/engine_lists.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";
import type { DirectCalls } from "../types/direct_calls.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget, RouterPeer } from "../types/direct_target.ts";
import type { DigestExchange } from "./digest_exchange.ts";

/** What the recovery is connected with. */
export interface ListRecoveryHost
  extends Pick<CacheRecoveryHost, "log" | "placement" | "tryPullCachedParts"> {
  readonly selfId: string;
  /** Registered routers by id. */
  readonly routers: ReadonlyMap<string, RouterPeer>;
  readonly targets: Pick<
    TargetTable,
    | "getAllReady"
    | "getUnconfirmed"
    | "isUnconfirmed"
    | "recordStart"
    | "tryGet"
  >;
  isEngine(target: DirectTarget): boolean;
  readonly contention: Pick<Contention, "isActive">;
  /** Returns this router's rank for a key from 0. */
  getRank(key: string): number;
  readonly calls: Pick<DirectCalls, "tryListCachedParts">;
  readonly cachedParts: Pick<
    CachedParts,
    "isCached" | "recordPart" | "recordParts"
  >;
  /** Returns the digests of this router; not called before the start. */
  getExchange(): Pick<
    DigestExchange,
    | "isPeerHeard"
    | "isPeerSettled"
    | "send"
    | "sendDigest"
  >;
}

/** The recovery of one router. */
export interface ListRecovery
  extends Pick<CacheRecovery, "isSettled" | "recover"> {
  /** Turns of prefills of what is known nowhere. */
  readonly prefillTurns: PrefillTurns;
  /** As `CacheRecovery.wait`, for the parts that others may share. */
  wait(request: DirectRequest): Promise<void>;
  /** Handles what a peer tells or asks of lists. */
  handleMessage(peer: string, message: ListMessage): void;
}

/** Creates the recovery of a router that has just started. */
export function createListRecovery(host: ListRecoveryHost): ListRecovery {
  const { targets, cachedParts, getExchange } = host;
  const lists = createEngineLists();
  const exchange = createListExchange({
    send,
    countPeers: () => host.routers.size,
  });
  const recovery = createCacheRecovery({
    ...{ log: host.log, placement: host.placement, lists },
    getPeers: () => [...host.routers.values()],
    announceRecovery: () => getExchange().sendDigest(),
    requestLists: (request, list) => {
      const { target: wanted = "", missing = [], router } = list ?? {};
      send(createListMessage({ request, wanted, missing }), router);
    },
    isPeerSettled: (id) => getExchange().isPeerSettled(id),
    isPeerHeard: (id) => getExchange().isPeerHeard(id),
    getEngines: () => getEngines().filter(host.isEngine),
    isHeld: (parts) =>
      getEngines().some(({ id }) =>
        parts.every((part) => cachedParts.isCached(id, part.id))
      ),
    tryPullCachedParts: host.tryPullCachedParts,
    tryListCachedParts: host.calls.tryListCachedParts,
    recordPeerParts: (parts) =>
      parts.forEach(({ target, part }) => cachedParts.recordPart(target, part)),
    reportAsked: exchange.reportAsked,
    recordEngineParts: ({ id, startedAtMs }, parts) => {
      if (parts !== undefined) cachedParts.recordParts(id, parts);
      exchange.sendList({
        ...{ target: id, startedAtMs },
        isConfirmed: !targets.isUnconfirmed(id),
      }, parts);
    },
    random: Math.random,
  });

  return {
    recover: recovery.recover,
    isSettled: recovery.isSettled,
    prefillTurns: createPrefillTurns({
      ...{ isActive: host.contention.isActive, getRank: host.getRank },
      countRouters: () => host.routers.size,
    }),
    ...{ wait, handleMessage },
  };

  function getEngines(): readonly DirectTarget[] {
    return [...targets.getAllReady(), ...targets.getUnconfirmed()];
  }

  async function wait(
    { prompt, route, arrivedAt }: DirectRequest,
  ): Promise<void> {
    if (prompt === undefined) return;
    const goalAt = arrivedAt + route.latencyGoalMs;
    await recovery.wait(getSharedParts(prompt.parts), { goalAt });
  }

  function send(message: ListMessage, peer?: string): void {
    getExchange().send(encodeListMessage(host.selfId, message), peer);
  }

  function handleMessage(peer: string, message: ListMessage): void {
    const { request, asked, fragment } = message;
    if (request !== 0) exchange.handleRequest(peer, message);
    asked.forEach((target) => lists.recordAsked(target, peer));
    if (fragment === undefined) return;
    const { target, startedAtMs, parts } = fragment;
    lists.recordFragment(peer, fragment);
    // The list of an engine that has restarted since is no longer true.
    const known = targets.tryGet(target);
    if (known !== undefined && known.startedAtMs !== startedAtMs) return;
    if (fragment.isConfirmed) targets.recordStart(target, startedAtMs);
    parts.forEach((part) => cachedParts.recordPart(target, part));
  }
}
