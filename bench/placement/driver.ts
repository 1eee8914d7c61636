/** Runs one policy through one experiment and measures what the users weigh. */

import xxhash from "xxhash-wasm";
import {
  createPlacement,
  type PlacementHost,
} from "../../src/process/placement/placement.ts";
import type { Member } from "../../src/types/member.ts";
import { createEngine, type Engine } from "./engine.ts";
import { policies, type World } from "./policies.ts";
import { createRandom } from "./random.ts";
import type { Chat, Experiment, Result } from "./shapes.ts";

/** Length of one step, in seconds. */
const stepSeconds = 0.01;

/** Time between two reads of all loads, in seconds. */
const snapshotSeconds = 0.25;

/** Snapshots that are kept for late reports. */
const maxSnapshots = 16;

/** Tokens of a prompt, and of the part that is new at a return. */
const promptTokens = 1_500;
const newPromptTokens = 100;

/** Mean tokens of an answer, and the time for one, in seconds. */
const meanOutputTokens = 420;
const tokenSeconds = 0.025;

/** Prompt tokens computed per second. */
const prefillRate = 8_000;

/** Points of one engine on the ring. */
const ringPoints = 100;

/** Availability zones over which the engines are spread. */
const zoneCount = 4;

/** Workspace of all chats. */
const workspace = "workspace";

/** Contexts that a planned leave exports. */
const exportedContexts = 1_500;

interface Ended {
  readonly engine: Engine;
  readonly work: number;
  readonly start: number;
  readonly end: number;
}

/** Loads what the driver needs. */
export async function loadHashes(): Promise<PlacementHost> {
  const { h32Raw } = await xxhash();
  return { hash: h32Raw };
}

/** Runs one policy through one experiment. */
export function runExperiment(
  policy: string,
  experiment: Experiment,
  hashes: PlacementHost,
): Result {
  const random = createRandom(experiment.seed);
  const placement = createPlacement(hashes);
  const encoder = new TextEncoder();
  let engines: Engine[] = [];
  let away: Engine[] = [];
  let nextEngine = 0;
  let epoch = 0;
  const rankings = new Map<
    string,
    { epoch: number; order: readonly Engine[] }
  >();
  let ring: { readonly point: number; readonly engine: Engine }[] = [];
  let ringEpoch = -1;
  let members: readonly Member[] = [];
  let membersEpoch = -1;
  let enginesById = new Map<string, Engine>();
  const chats: Chat[] = [];
  const endings = new Map<number, Ended[]>();
  const snapshots: { engine: Engine; load: number }[][] = [];
  const skews: number[] = [];
  const totals = {
    requests: 0,
    returns: 0,
    found: 0,
    avoidable: 0,
    asked: 0,
    refused: 0,
    exceeded: 0,
    exceededMax: 0,
  };
  let now = 0;
  let measuring = false;
  let output = 0;
  let sending: Chat | undefined;
  let nextChat = 0;

  for (let index = 0; index < experiment.engines; index++) addEngine();
  const chatCount = experiment.engines * experiment.chatsPerEngine;
  for (let index = 0; index < chatCount; index++) {
    chats.push({
      key: `${workspace}/chat-${nextChat++}`,
      lastPlace: undefined,
      turn: 0,
      busyUntil: 0,
    });
  }
  const choose = policies[policy];
  if (choose === undefined) throw new Error(`No policy ${policy}`);
  const world: World = {
    get now() {
      return now;
    },
    get engines() {
      return engines;
    },
    get members() {
      if (membersEpoch !== epoch) updateMembers();
      return members;
    },
    placement,
    getEngine: (id) => enginesById.get(id) as Engine,
    random,
    rank,
    walkRing,
    hash: (key) => hashes.hash(encoder.encode(key), 1),
    asks,
  };
  run();
  return getResult();

  function run(): void {
    const steps = Math.round(
      (experiment.warmUpSeconds + experiment.seconds) / stepSeconds,
    );
    const perSnapshot = Math.round(snapshotSeconds / stepSeconds);
    for (let step = 0; step < steps; step++) {
      now = step * stepSeconds;
      measuring = now >= experiment.warmUpSeconds;
      endStep(step);
      if (step % perSnapshot === 0) takeSnapshot();
      if (step % Math.round(1 / stepSeconds) === 0) changeMembers();
      arrive();
    }
  }

  function endStep(step: number): void {
    for (const ended of endings.get(step) ?? []) {
      ended.engine.endWork(ended.work, ended.start, ended.end);
      ended.engine.inFlight--;
    }
    endings.delete(step);
  }

  function arrive(): void {
    const rate = experiment.ratePerEngine * experiment.engines * stepSeconds;
    let left = rate;
    for (;;) {
      left -= random.exponential(1);
      if (left < 0) return;
      send(pickChat());
    }
  }

  function pickChat(): Chat {
    const surge = random.next() < experiment.surgeShare;
    const pool = surge ? Math.ceil(chats.length / 20) : chats.length;
    for (let tries = 0; tries < 50; tries++) {
      const chat = chats[random.below(pool)] as Chat;
      if (chat.busyUntil <= now) return chat;
    }
    return chats[random.below(chats.length)] as Chat;
  }

  function send(chat: Chat): void {
    if (chat.turn > 0 && random.next() * experiment.turns < 1) restart(chat);
    output = Math.max(
      16,
      meanOutputTokens * random.logNormal(experiment.lengthSigma),
    );
    sending = chat;
    const choice = choose?.(chat, world);
    const place = choice?.engine;
    if (measuring) {
      totals.requests++;
      totals.asked += choice?.asked ?? 0;
    }
    if (place === undefined) {
      if (measuring) totals.refused++;
      return;
    }
    const found = place.holds(chat.key, chat.turn);
    if (measuring && chat.turn > 0) countReturn(chat, found);
    begin(chat, place, found);
  }

  function restart(chat: Chat): void {
    rankings.delete(chat.key);
    chat.key = `${workspace}/chat-${nextChat++}`;
    chat.turn = 0;
    chat.lastPlace = undefined;
  }

  function countReturn(chat: Chat, found: boolean): void {
    totals.returns++;
    if (found) totals.found++;
    const isThere = engines.some(({ id }) => id === chat.lastPlace);
    if (isThere) totals.avoidable++;
  }

  function begin(chat: Chat, place: Engine, found: boolean): void {
    const prompt = found ? newPromptTokens : promptTokens;
    const actual = prompt + output;
    const seconds = prompt / prefillRate + output * tokenSeconds;
    const endStepNumber = Math.ceil((now + seconds) / stepSeconds);
    const end = endStepNumber * stepSeconds;
    if (measuring) countBound(place, actual);
    place.addWork(actual, now, end);
    place.inFlight++;
    const list = endings.get(endStepNumber) ?? [];
    list.push({ engine: place, work: actual, start: now, end });
    endings.set(endStepNumber, list);
    chat.turn++;
    chat.lastPlace = place.id;
    chat.busyUntil = end;
    place.store(chat.key, chat.turn);
  }

  function countBound(place: Engine, actual: number): void {
    const mean = getMean();
    const bound = Math.max(
      experiment.loadMultiple * (mean + actual / engines.length),
      mean + actual,
    );
    const over = (place.getLoad(now) + actual) / bound;
    totals.exceededMax = Math.max(totals.exceededMax, over);
    if (over > 1) totals.exceeded++;
  }

  function asks(engine: Engine, loads: readonly number[]): boolean {
    engine.gate.setForeignLoad(engine.getLoad(now));
    const holds = sending !== undefined &&
      engine.holds(sending.key, sending.turn);
    const question = {
      work: output + (holds ? newPromptTokens : promptTokens),
      observedLoads: loads,
      silentTargets: 0,
      isHeld: holds,
    };
    return engine.gate.check(question).kind === "admitted";
  }

  function rank(key: string): readonly Engine[] {
    const held = rankings.get(key);
    if (held !== undefined && held.epoch === epoch) return held.order;
    const order = placement.rankTargets(key, engines, { limit: 8 });
    rankings.set(key, { epoch, order });
    return order;
  }

  function updateMembers(): void {
    membersEpoch = epoch;
    enginesById = new Map(engines.map((engine) => [engine.id, engine]));
    members = engines.map(({ id, weight }) => ({
      id,
      weight,
      role: "agent",
      address: "127.0.0.1",
      grpcPort: 0,
      gossipPort: 0,
      zone: "",
      region: "",
      vm: id,
      service: "model",
      incarnation: 1,
      version: 1,
      state: "live",
    }));
  }

  function walkRing(key: string): readonly Engine[] {
    if (ringEpoch !== epoch) buildRing();
    const point = hashes.hash(encoder.encode(key), 2);
    let low = 0;
    let high = ring.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((ring[middle]?.point ?? 0) < point) low = middle + 1;
      else high = middle;
    }
    const order = new Set<Engine>();
    for (let index = 0; index < ring.length && order.size < 8; index++) {
      const entry = ring[(low + index) % ring.length];
      if (entry !== undefined) order.add(entry.engine);
    }
    return [...order];
  }

  function buildRing(): void {
    ringEpoch = epoch;
    ring = engines.flatMap((engine) =>
      Array.from({ length: ringPoints }, (_, index) => ({
        point: hashes.hash(encoder.encode(`${engine.id}/${index}`), 2),
        engine,
      }))
    ).sort((left, right) => left.point - right.point);
  }

  function takeSnapshot(): void {
    snapshots.unshift(
      engines.map((engine) => ({ engine, load: engine.getLoad(now) })),
    );
    if (snapshots.length > maxSnapshots) snapshots.pop();
    for (const engine of engines) updateMean(engine);
    if (!measuring) return;
    const loads = engines.map((engine) => engine.getLoad(now));
    skews.push(Math.max(...loads) / getMean());
  }

  function updateMean(engine: Engine): void {
    const targets = engines.length;
    const count = targets <= 16 ? targets : experiment.samples * 3;
    let sum = 0;
    for (let index = 0; index < count; index++) {
      const age = Math.floor(
        random.next() * experiment.reportAge / snapshotSeconds,
      );
      const snapshot = snapshots[Math.min(age, snapshots.length - 1)] ?? [];
      const peer = targets <= 16 ? index : random.below(snapshot.length);
      sum += snapshot[peer % Math.max(1, snapshot.length)]?.load ?? 0;
    }
    engine.mean = { mean: sum / count, targets, ageMs: 0 };
  }

  function changeMembers(): void {
    const second = Math.round(now) - experiment.warmUpSeconds;
    if (second < 0) return;
    const isMinute = second % 60 === 10;
    const isHalfMinute = second % 60 === 40;
    switch (experiment.churn) {
      case "none":
        return;
      case "leave_and_join":
      case "planned_leave_with_export":
        if (isMinute) removeEngine(random.below(engines.length));
        if (isHalfMinute) addEngine();
        return;
      case "flap":
        if (isMinute) away.push(takeAway(random.below(engines.length)));
        if (second % 60 === 15) bringBack();
        return;
      case "zone_lost_and_back":
        if (second === 30) loseZone();
        if (second === 90) bringBack();
    }
  }

  function addEngine(): void {
    const zone = nextEngine % zoneCount;
    engines = [
      ...engines,
      createEngine(`engine-${nextEngine++}`, {
        zone,
        cacheSize: experiment.cacheSize,
        loadMultiple: experiment.loadMultiple,
        coldMultiple: experiment.coldMultiple,
      }),
    ];
    epoch++;
  }

  function takeAway(index: number): Engine {
    const gone = engines[index] as Engine;
    engines = engines.filter((engine) => engine !== gone);
    epoch++;
    return gone;
  }

  function removeEngine(index: number): void {
    const gone = takeAway(index);
    if (experiment.churn !== "planned_leave_with_export") return;
    for (const [key, turn] of gone.getHottest(exportedContexts)) {
      rank(key)[0]?.store(key, turn);
    }
  }

  function loseZone(): void {
    for (let index = engines.length - 1; index >= 0; index--) {
      if (engines[index]?.zone === 1) away.push(takeAway(index));
    }
  }

  function bringBack(): void {
    engines = [...engines, ...away];
    away = [];
    epoch++;
  }

  function getMean(): number {
    let sum = 0;
    for (const engine of engines) sum += engine.getLoad(now);
    return sum / engines.length;
  }

  function getResult(): Result {
    skews.sort((left, right) => left - right);
    const at = (share: number): number =>
      round(skews[Math.floor(share * (skews.length - 1))] ?? 0, 3);
    return {
      policy,
      requests: totals.requests,
      found: round(100 * totals.found / totals.returns, 2),
      foundOfAvoidable: round(100 * totals.found / totals.avoidable, 2),
      skewMedian: at(0.5),
      skewP99: at(0.99),
      skewMax: at(1),
      boundExceededMax: round(totals.exceededMax, 3),
      boundExceeded: round(100 * totals.exceeded / totals.requests, 2),
      asked: round(totals.asked / totals.requests, 3),
      refused: round(100 * totals.refused / totals.requests, 2),
    };
  }
}

function round(value: number, digits: number): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}
