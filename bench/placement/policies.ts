/** The ways to place a chat that are weighed against each other. */

import type { Placement } from "../../src/process/placement/placement.ts";
import type { RefusalCache } from "../../src/process/placement/refusal_cache.ts";
import { createRouting } from "../../src/request/routing.ts";
import type { Member } from "../../src/types/member.ts";
import type { Work } from "../../src/types/work.ts";
import type { Engine } from "./engine.ts";
import type { Chat } from "./shapes.ts";
import type { Random } from "./random.ts";

/** What a policy sees of the world. */
export interface World {
  readonly now: number;
  /** Engines that the router believes are there. */
  readonly engines: readonly Engine[];
  readonly random: Random;
  /** The same engines as member records. */
  readonly members: readonly Member[];
  readonly placement: Placement;
  getEngine(id: string): Engine;
  /** Engines in rendezvous order for a chat. */
  rank(key: string): readonly Engine[];
  /** Engines in ring order for a chat. */
  walkRing(key: string): readonly Engine[];
  /** Hash of a chat's key. */
  hash(key: string): number;
  /** Asks an engine's gate. */
  asks(engine: Engine, loads: readonly number[]): boolean;
}

/** Where a request goes. */
export interface Choice {
  readonly engine: Engine | undefined;
  readonly asked: number;
}

/** Most engines that one request asks before a second pass. */
const maxAsked = 8;

/** Most engines asked whether they hold a context. */
const maxHoldersAsked = 4;

let roundRobinIndex = 0;

/** All policies by name. */
export const policies: Readonly<
  Record<string, (chat: Chat, world: World) => Choice>
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
  rendezvous: (chat, world) => ({
    engine: world.rank(chat.key)[0],
    asked: 1,
  }),
  ring_bounded: (chat, world) => askInOrder(world.walkRing(chat.key), world),
  rendezvous_bounded: (chat, world) => askInOrder(world.rank(chat.key), world),
  rendezvous_bounded_hint: (chat, world) =>
    askInOrder(withHint(chat, world), world),
  rendezvous_bounded_memory: (chat, world) =>
    askWithMemory(chat, world.rank(chat.key), world),
  product: (chat, world) => askAsRouter(chat, world, undefined),
  product_hint: (chat, world) => askAsRouter(chat, world, chat.lastPlace),
  rendezvous_bounded_held: (chat, world) =>
    askHolders(chat, world.rank(chat.key), world),
  rendezvous_bounded_held_hint: (chat, world) =>
    askHolders(chat, withHint(chat, world), world),
};

/** Puts the last place in front. */
function withHint(chat: Chat, world: World): readonly Engine[] {
  const place = world.engines.find(({ id }) => id === chat.lastPlace);
  const ranked = world.rank(chat.key);
  if (place === undefined) return ranked;
  return [place, ...ranked.filter((engine) => engine !== place)];
}

/** Asks in order, then the least loaded of those asked with all loads. */
function askInOrder(order: readonly Engine[], world: World): Choice {
  const loads: number[] = [];
  const asked = order.slice(0, maxAsked);
  for (const engine of asked) {
    if (world.asks(engine, loads)) return { engine, asked: loads.length + 1 };
    loads.push(engine.getLoad(world.now));
  }
  return askLeastLoaded(asked, world);
}

function askLeastLoaded(asked: readonly Engine[], world: World): Choice {
  const { now } = world;
  const [best, ...others] = [...asked].sort((left, right) =>
    left.getLoad(now) - right.getLoad(now)
  );
  if (best === undefined) return { engine: undefined, asked: 0 };
  const loads = others.map((engine) => engine.getLoad(now));
  const engine = world.asks(best, loads) ? best : undefined;
  return { engine, asked: asked.length + 1 };
}

/**
 * A returning chat asks the first ranks whether they hold its context, and
 * only then any engine that may take it cold.
 */
function askHolders(
  chat: Chat,
  order: readonly Engine[],
  world: World,
): Choice {
  if (chat.turn === 0) return askInOrder(order, world);
  const holders = order.slice(0, maxHoldersAsked);
  for (const [index, engine] of holders.entries()) {
    if (!engine.holds(chat.key, chat.turn)) continue;
    if (world.asks(engine, [])) return { engine, asked: index + 1 };
  }
  const choice = askInOrder(order, world);
  return { ...choice, asked: choice.asked + holders.length };
}

/** Asks in the order of the product's own routing. */
function askAsRouter(
  chat: Chat,
  world: World,
  lastPlace: string | undefined,
): Choice {
  const routing = createRouting({
    members: { getAvailableAgents: () => world.members },
    placement: world.placement,
    refusals: noRefusals,
  }, createWork(chat, lastPlace));
  let asked = 0;
  for (let next = routing.tryGetNext(); next !== undefined; asked++) {
    const { member, onlyIfHeld, observedLoads } = next;
    const engine = world.getEngine(member.id);
    const isRefused = onlyIfHeld && !engine.holds(chat.key, chat.turn);
    if (!isRefused && world.asks(engine, observedLoads)) {
      return { engine, asked: asked + 1 };
    }
    routing.recordRefusal({
      code: isRefused ? "context_not_held" : "target_full",
      load: engine.getLoad(world.now),
    });
    next = routing.tryGetNext();
  }
  return { engine: undefined, asked };
}

/** The refusal memory of a router that sees a sliver is nearly empty. */
const noRefusals: RefusalCache = {
  recordRefusal: () => undefined,
  recordUnreachable: () => undefined,
  recordAccepted: () => undefined,
  isDeprioritized: () => false,
  isUnreachable: () => false,
  getRemainingMs: () => new Map(),
};

function createWork(chat: Chat, lastPlace: string | undefined): Work {
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
    hintedTargetId: lastPlace,
  };
}

/**
 * An engine that has sent a chat on sends it on again, so that the chat finds
 * the engine that took it, with no hint from the caller.
 */
function askWithMemory(
  chat: Chat,
  order: readonly Engine[],
  world: World,
): Choice {
  const asked = order.slice(0, maxAsked);
  const sentOn = asked.filter((engine) => engine.isSentOn(chat.key, world.now));
  const first = asked.filter((engine) => !sentOn.includes(engine));
  const loads: number[] = [];
  let count = 0;
  for (const engine of [...first, ...sentOn]) {
    count++;
    if (world.asks(engine, loads)) {
      engine.forgetSentOn(chat.key);
      return {
        engine,
        asked: count + (sentOn.includes(engine) ? 0 : getSkipped(engine)),
      };
    }
    engine.noteSentOn(chat.key, world.now);
    loads.push(engine.getLoad(world.now));
  }
  return askLeastLoaded(asked, world);

  function getSkipped(engine: Engine): number {
    const index = asked.indexOf(engine);
    return asked.slice(0, index).filter((other) => sentOn.includes(other))
      .length;
  }
}
