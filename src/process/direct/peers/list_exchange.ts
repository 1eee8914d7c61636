/**
 * Sends the lists that this router got from engines to the other routers, and
 * requests what it lacks from them.
 *
 * Load pattern: all routers send the lists of some engines to all others at
 * once. Fragments go out at short intervals, so that no receiver's socket
 * overflows. Those that do not arrive are requested from their sender. A router
 * that starts later gets all lists. Which
 * engines are asked is said at once, as another router would ask them again.
 */

import type { PromptPart } from "../../../types/prompt.ts";
import {
  createListMessage,
  type ListedEngine,
  type ListFragment,
  type ListMessage,
  splitList,
} from "./list_fragments.ts";

/** Interval of fragments, in milliseconds. */
const fragmentIntervalMs = 5;

/**
 * Datagrams in a burst: those of a router that starts before the others and asks
 * a quarter of the engines.
 */
const maxBurst = 4_000;

/** Datagrams a second beyond the burst; the same as for digests. */
const datagramsPerSecond = 240;

/** Time for which lists are kept for routers that start later, in ms. */
const retentionMs = 10_000;

/** Maximum number of requests that are remembered, as each is sent repeatedly. */
const maxRequests = 1_000;

/** What the exchange needs from the process. */
export interface ListExchangeHost {
  /** Sends a message to one peer, or to all. */
  send(message: ListMessage, peer?: string): void;
  countPeers(): number;
}

/** The lists of one router. */
export interface ListExchange {
  /** Tells all peers that this router asks engines for their lists. */
  reportAsked(targets: readonly string[]): void;
  /** Sends a list to all peers; undefined when the engine gave none. */
  sendList(
    engine: ListedEngine,
    parts: readonly PromptPart[] | undefined,
  ): void;
  /** Answers what a peer requests. */
  handleRequest(
    peer: string,
    message: Pick<ListMessage, "missing" | "request" | "wanted">,
  ): void;
}

/** Creates an exchange without lists. */
export function createListExchange(host: ListExchangeHost): ListExchange {
  const ownAsked = new Set<string>();
  const ownLists = new Map<string, readonly ListFragment[]>();
  /** Requests that were answered, by peer and number. */
  const answered = new Set<string>();
  /** Fragments that are still to be sent, by peer; undefined for all peers. */
  const queues = new Map<string | undefined, ListFragment[]>();
  let credit = maxBurst;
  let refilledAt = performance.now();

  return { reportAsked, sendList, handleRequest };

  function reportAsked(targets: readonly string[]): void {
    targets.forEach((target) => ownAsked.add(target));
    const message = createListMessage({ asked: targets });
    host.send(message);
    setTimeout(() => host.send(message), fragmentIntervalMs).unref();
  }

  function sendList(
    engine: ListedEngine,
    parts: readonly PromptPart[] | undefined,
  ): void {
    const fragments = parts === undefined
      ? [{ ...engine, index: 0, count: 0, parts: [] }]
      : splitList(engine, parts);
    ownLists.set(engine.target, fragments);
    setTimeout(() => {
      ownLists.delete(engine.target);
      ownAsked.delete(engine.target);
    }, retentionMs).unref();
    enqueue(fragments, undefined);
  }

  function handleRequest(
    peer: string,
    { request, wanted, missing }: Pick<
      ListMessage,
      "missing" | "request" | "wanted"
    >,
  ): void {
    if (ownAsked.size === 0) return;
    if (wanted === "") {
      host.send(createListMessage({ asked: [...ownAsked] }), peer);
    }
    const key = `${peer}/${request}`;
    if (answered.has(key)) return;
    answered.add(key);
    if (answered.size > maxRequests) {
      const [oldest] = answered;
      if (oldest !== undefined) answered.delete(oldest);
    }
    const targets = wanted === "" ? [...ownLists.keys()] : [wanted];
    // What is still to be sent to all reaches the peer anyway.
    const pending = new Set(queues.get(undefined));
    enqueue(
      targets.flatMap((target) => ownLists.get(target) ?? []).filter(
        (fragment) =>
          !pending.has(fragment) &&
          (missing.length === 0 || missing.includes(fragment.index)),
      ),
      peer,
    );
  }

  function enqueue(
    fragments: readonly ListFragment[],
    peer: string | undefined,
  ): void {
    const queue = queues.get(peer);
    if (queue !== undefined) return void queue.push(...fragments);
    queues.set(peer, [...fragments]);
    sendNext(peer);
  }

  function sendNext(peer: string | undefined): void {
    const queue = queues.get(peer) ?? [];
    const [fragment] = queue;
    if (fragment === undefined) return void queues.delete(peer);
    if (trySpend(peer === undefined ? host.countPeers() : 1)) {
      queue.shift();
      host.send(createListMessage({ fragment }), peer);
    }
    setTimeout(() => sendNext(peer), fragmentIntervalMs).unref();
  }

  function trySpend(datagrams: number): boolean {
    const now = performance.now();
    const earned = (now - refilledAt) * datagramsPerSecond / 1_000;
    credit = Math.min(maxBurst, credit + earned);
    refilledAt = now;
    if (credit < datagrams) return false;
    credit -= datagrams;
    return true;
  }
}
