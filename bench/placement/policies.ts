/** Placement policies that the benchmark compares. */

import type { Placement } from "../../src/process/placement/placement.ts";
import type { RefusalCache } from "../../src/process/placement/refusal_cache.ts";
import { createRouting } from "../../src/request/routing.ts";
import type { Member } from "../../src/types/member.ts";
import type { Work } from "../../src/types/work.ts";
import type { Engine } from "./engine.ts";
import type { Chat } from "./experiment.ts";
import type { Random } from "./random.ts";

/** What a policy reads of the simulation. */
export interface PolicyView {
  readonly now: number;
  /** Engines that the router believes are available. */
  readonly engines: readonly Engine[];
  readonly random: Random;
  /** The same engines as member records. */
  readonly members: readonly Member[];
  readonly placement: Placement;
  getEngine(id: string): Engine;
  /** Returns the first engines in rendezvous hashing order for a chat. */
  rankEngines(key: string): readonly Engine[];
  /** Returns the first engines in ring order for a chat. */
  walkRing(key: string): readonly Engine[];
  /** Returns the hash of a chat's key. */
  hash(key: string): number;
  /** Returns whether the engine's load gate admits the current request. */
  admits(engine: Engine, loads: readonly number[]): boolean;
}

/** The engine chosen for a request, or undefined if all refused. */
export interface Choice {
  readonly engine: Engine | undefined;
  /** Number of times that an engine was asked to admit the request. */
  readonly asked: number;
}

/** Maximum number of engines asked before one of them is asked again. */
const maxAsked = 8;

/** Maximum number of engines asked whether they hold a context. */
const maxContextTargets = 4;

let roundRobinIndex = 0;

/** All policies by name. */
export const policies: Readonly<
  Record<string, (chat: Chat, view: PolicyView) => Choice>
> = {
  round_robin: (_chat, { engines }) => {
    roundRobinIndex = (roundRobinIndex + 1) % engines.length;
    return { engine: engines[roundRobinIndex], asked: 1 };
  },
  two_choices: (_chat, { engines, random, now }) => {
    const left = engines[random.below(engines.length)] as Engine;
    const right = engines[random.below(engines.length)] as Engine;
    const engine = left.getLoad(now) <= right.getLoad(now) ? left : right;
    return { engine, asked: 1 };
  },
  modulo: (chat, { engines, hash }) => ({
    engine: engines[hash(chat.key) % engines.length],
    asked: 1,
  }),
  rendezvous: (chat, view) => ({
    engine: view.rankEngines(chat.key)[0],
    asked: 1,
  }),
  ring_bounded: (chat, view) => askInOrder(view.walkRing(chat.key), view),
  rendezvous_bounded: (chat, view) =>
    askInOrder(view.rankEngines(chat.key), view),
  rendezvous_bounded_hint: (chat, view) =>
    askInOrder(prependLastEngine(chat, view), view),
  rendezvous_bounded_memory: (chat, view) =>
    askWithForwarding(chat, view.rankEngines(chat.key), view),
  product: (chat, view) => askInRoutingOrder(chat, view, undefined),
  product_hint: (chat, view) =>
    askInRoutingOrder(chat, view, chat.lastEngineId),
  rendezvous_bounded_held: (chat, view) =>
    askContextTargets(chat, view.rankEngines(chat.key), view),
  rendezvous_bounded_held_hint: (chat, view) =>
    askContextTargets(chat, prependLastEngine(chat, view), view),
};

/** Returns the ranked engines, with the chat's last engine first. */
function prependLastEngine(chat: Chat, view: PolicyView): readonly Engine[] {
  const lastEngine = view.engines.find(({ id }) => id === chat.lastEngineId);
  const ranked = view.rankEngines(chat.key);
  if (lastEngine === undefined) return ranked;
  return [lastEngine, ...ranked.filter((engine) => engine !== lastEngine)];
}

/**
 * Asks the engines in order. If all refuse, asks the least loaded of them
 * again, with the loads of the others.
 */
function askInOrder(order: readonly Engine[], view: PolicyView): Choice {
  const loads: number[] = [];
  const candidates = order.slice(0, maxAsked);
  for (const engine of candidates) {
    if (view.admits(engine, loads)) return { engine, asked: loads.length + 1 };
    loads.push(engine.getLoad(view.now));
  }
  return askLeastLoaded(candidates, view);
}

function askLeastLoaded(
  candidates: readonly Engine[],
  view: PolicyView,
): Choice {
  const { now } = view;
  const [leastLoaded, ...others] = [...candidates].sort((left, right) =>
    left.getLoad(now) - right.getLoad(now)
  );
  if (leastLoaded === undefined) return { engine: undefined, asked: 0 };
  const loads = others.map((engine) => engine.getLoad(now));
  const engine = view.admits(leastLoaded, loads) ? leastLoaded : undefined;
  return { engine, asked: candidates.length + 1 };
}

/**
 * Asks the first engines whether they hold the context of a returning chat, and
 * only then any engine, which may have to prefill the whole prompt.
 */
function askContextTargets(
  chat: Chat,
  order: readonly Engine[],
  view: PolicyView,
): Choice {
  if (chat.turn === 0) return askInOrder(order, view);
  const contextTargets = order.slice(0, maxContextTargets);
  for (const [index, engine] of contextTargets.entries()) {
    if (!engine.hasContext(chat.key, chat.turn)) continue;
    if (view.admits(engine, [])) return { engine, asked: index + 1 };
  }
  const choice = askInOrder(order, view);
  return { ...choice, asked: choice.asked + contextTargets.length };
}

/** Asks the engines in the order of the product's own routing. */
function askInRoutingOrder(
  chat: Chat,
  view: PolicyView,
  hintedTargetId: string | undefined,
): Choice {
  const routing = createRouting({
    members: { getAvailableAgents: () => view.members },
    placement: view.placement,
    refusals: emptyRefusalCache,
  }, createWork(chat, hintedTargetId));
  let asked = 0;
  for (let next = routing.tryGetNext(); next !== undefined; asked++) {
    const { member, onlyIfHeld, observedLoads } = next;
    const engine = view.getEngine(member.id);
    const lacksContext = onlyIfHeld && !engine.hasContext(chat.key, chat.turn);
    if (!lacksContext && view.admits(engine, observedLoads)) {
      return { engine, asked: asked + 1 };
    }
    routing.recordRefusal({
      code: lacksContext ? "context_not_held" : "target_full",
      load: engine.getLoad(view.now),
    });
    next = routing.tryGetNext();
  }
  return { engine: undefined, asked };
}

/**
 * An empty cache: a router that handles a small share of the traffic has seen
 * almost no refusals.
 */
const emptyRefusalCache: RefusalCache = {
  recordRefusal: () => undefined,
  recordUnreachable: () => undefined,
  recordAccepted: () => undefined,
  isDeprioritized: () => false,
  isUnreachable: () => false,
  getRemainingMs: () => new Map(),
};

function createWork(chat: Chat, hintedTargetId: string | undefined): Work {
  return {
    requestId: chat.key,
    kind: "chat",
    service: "model",
    workspace: chat.key.split("/", 1)[0] ?? "",
    conversation: chat.key.slice(chat.key.indexOf("/") + 1),
    messageCount: 1 + 2 * chat.turn,
    priority: "interactive",
    deadlineAt: 0,
    repeatable: true,
    idempotencyKey: undefined,
    fingerprint: "",
    estimate: { promptTokens: 0, outputTokens: 0, cachedTokens: 0 },
    method: "POST",
    path: "/",
    headers: [],
    body: new Uint8Array(),
    hintedTargetId,
  };
}

/**
 * Models engines that forward a chat again once they have forwarded it, so that
 * it reaches the engine that accepted it, without a hint from the caller. Asks
 * these engines after all others.
 */
function askWithForwarding(
  chat: Chat,
  order: readonly Engine[],
  view: PolicyView,
): Choice {
  const candidates = order.slice(0, maxAsked);
  const forwarders = candidates.filter((engine) =>
    engine.isForwarded(chat.key, view.now)
  );
  const others = candidates.filter((engine) => !forwarders.includes(engine));
  const loads: number[] = [];
  let count = 0;
  for (const engine of [...others, ...forwarders]) {
    count++;
    if (view.admits(engine, loads)) {
      engine.removeForward(chat.key);
      return {
        engine,
        asked: count +
          (forwarders.includes(engine) ? 0 : countSkippedForwarders(engine)),
      };
    }
    engine.recordForward(chat.key, view.now);
    loads.push(engine.getLoad(view.now));
  }
  return askLeastLoaded(candidates, view);

  function countSkippedForwarders(engine: Engine): number {
    const index = candidates.indexOf(engine);
    return candidates.slice(0, index).filter((other) =>
      forwarders.includes(other)
    )
      .length;
  }
}
