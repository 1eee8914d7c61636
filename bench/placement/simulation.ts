/**
 * Simulates one policy in one experiment and measures cache hits, load skew,
 * excess over the load bound, and refusals.
 */

import xxhash from "xxhash-wasm";
import {
  createPlacement,
  type PlacementHost,
} from "../../src/process/placement/placement.ts";
import type { Member } from "../../src/types/member.ts";
import { createEngine, type Engine } from "./engine.ts";
import { policies, type PolicyView } from "./policies.ts";
import { createRandom } from "./random.ts";
import type { Chat, Experiment, ExperimentResult } from "./experiment.ts";

/** Length of one step, in seconds. */
const stepSeconds = 0.01;

/** Interval between two snapshots of all loads, in seconds. */
const snapshotIntervalSeconds = 0.25;

/** Maximum number of snapshots kept, from which late reports are drawn. */
const maxSnapshots = 16;

/** Tokens of a whole prompt, and of the new part when a chat returns. */
const promptTokens = 1_500;
const newPromptTokens = 100;

/** Mean tokens of a response, and the time for one token, in seconds. */
const meanOutputTokens = 420;
const secondsPerOutputToken = 0.025;

/** Prompt tokens that an engine prefills per second. */
const prefillTokensPerSecond = 8_000;

/** Points of one engine on the consistent hashing ring. */
const ringPointsPerEngine = 100;

/** Availability zones over which the engines are spread. */
const zoneCount = 4;

/** Workspace of all chats. */
const workspace = "workspace";

/** Maximum number of contexts that a planned leave exports. */
const maxExportedContexts = 1_500;

/** Work to remove from an engine when it is complete. */
interface Completion {
  readonly engine: Engine;
  readonly work: number;
  readonly start: number;
  readonly end: number;
}

/** Loads the hash function that placement uses. */
export async function loadPlacementHost(): Promise<PlacementHost> {
  const { h32Raw } = await xxhash();
  return { hash: h32Raw };
}

/** Runs one policy in one experiment. */
export function runExperiment(
  policy: string,
  experiment: Experiment,
  placementHost: PlacementHost,
): ExperimentResult {
  const random = createRandom(experiment.seed);
  const placement = createPlacement(placementHost);
  const encoder = new TextEncoder();
  let engines: Engine[] = [];
  let detached: Engine[] = [];
  let nextEngineNumber = 0;
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
  const completions = new Map<number, Completion[]>();
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
  let isMeasuring = false;
  let currentOutputTokens = 0;
  let currentChat: Chat | undefined;
  let nextChatNumber = 0;

  for (let index = 0; index < experiment.engines; index++) addEngine();
  const chatCount = experiment.engines * experiment.chatsPerEngine;
  for (let index = 0; index < chatCount; index++) {
    chats.push({
      key: `${workspace}/chat-${nextChatNumber++}`,
      lastEngineId: undefined,
      turn: 0,
      busyUntil: 0,
    });
  }
  const chooseEngine = policies[policy];
  if (chooseEngine === undefined) throw new Error(`Unknown policy: ${policy}`);
  const view: PolicyView = {
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
    rankEngines,
    walkRing,
    hash: (key) => placementHost.hash(encoder.encode(key), 1),
    admits,
  };
  run();
  return getResult();

  function run(): void {
    const stepCount = Math.round(
      (experiment.warmUpSeconds + experiment.seconds) / stepSeconds,
    );
    const stepsPerSnapshot = Math.round(snapshotIntervalSeconds / stepSeconds);
    for (let step = 0; step < stepCount; step++) {
      now = step * stepSeconds;
      isMeasuring = now >= experiment.warmUpSeconds;
      completeWork(step);
      if (step % stepsPerSnapshot === 0) takeSnapshot();
      if (step % Math.round(1 / stepSeconds) === 0) applyChurn();
      sendArrivals();
    }
  }

  function completeWork(step: number): void {
    for (const completion of completions.get(step) ?? []) {
      completion.engine.removeWork(
        completion.work,
        completion.start,
        completion.end,
      );
      completion.engine.inFlight--;
    }
    completions.delete(step);
  }

  function sendArrivals(): void {
    const expectedArrivals = experiment.ratePerEngine * experiment.engines *
      stepSeconds;
    let remaining = expectedArrivals;
    for (;;) {
      remaining -= random.exponential(1);
      if (remaining < 0) return;
      sendRequest(pickChat());
    }
  }

  function pickChat(): Chat {
    const isSurge = random.next() < experiment.surgeShare;
    const pool = isSurge ? Math.ceil(chats.length / 20) : chats.length;
    for (let draw = 0; draw < 50; draw++) {
      const chat = chats[random.below(pool)] as Chat;
      if (chat.busyUntil <= now) return chat;
    }
    return chats[random.below(chats.length)] as Chat;
  }

  function sendRequest(chat: Chat): void {
    if (chat.turn > 0 && random.next() * experiment.meanTurns < 1) reset(chat);
    currentOutputTokens = Math.max(
      16,
      meanOutputTokens * random.logNormal(experiment.lengthSigma),
    );
    currentChat = chat;
    const choice = chooseEngine?.(chat, view);
    const engine = choice?.engine;
    if (isMeasuring) {
      totals.requests++;
      totals.asked += choice?.asked ?? 0;
    }
    if (engine === undefined) {
      if (isMeasuring) totals.refused++;
      return;
    }
    const isCached = engine.hasContext(chat.key, chat.turn);
    if (isMeasuring && chat.turn > 0) countReturn(chat, isCached);
    startWork(chat, engine, isCached);
  }

  function reset(chat: Chat): void {
    rankings.delete(chat.key);
    chat.key = `${workspace}/chat-${nextChatNumber++}`;
    chat.turn = 0;
    chat.lastEngineId = undefined;
  }

  function countReturn(chat: Chat, isCached: boolean): void {
    totals.returns++;
    if (isCached) totals.found++;
    const isLastEngineUp = engines.some(({ id }) => id === chat.lastEngineId);
    if (isLastEngineUp) totals.avoidable++;
  }

  function startWork(chat: Chat, engine: Engine, isCached: boolean): void {
    const prompt = isCached ? newPromptTokens : promptTokens;
    const work = prompt + currentOutputTokens;
    const seconds = prompt / prefillTokensPerSecond +
      currentOutputTokens * secondsPerOutputToken;
    const endStepNumber = Math.ceil((now + seconds) / stepSeconds);
    const end = endStepNumber * stepSeconds;
    if (isMeasuring) recordBoundRatio(engine, work);
    engine.addWork(work, now, end);
    engine.inFlight++;
    const stepCompletions = completions.get(endStepNumber) ?? [];
    stepCompletions.push({ engine, work, start: now, end });
    completions.set(endStepNumber, stepCompletions);
    chat.turn++;
    chat.lastEngineId = engine.id;
    chat.busyUntil = end;
    engine.store(chat.key, chat.turn);
  }

  function recordBoundRatio(engine: Engine, work: number): void {
    const mean = getMeanLoad();
    const bound = Math.max(
      experiment.loadMultiple * (mean + work / engines.length),
      mean + work,
    );
    const boundRatio = (engine.getLoad(now) + work) / bound;
    totals.exceededMax = Math.max(totals.exceededMax, boundRatio);
    if (boundRatio > 1) totals.exceeded++;
  }

  function admits(engine: Engine, loads: readonly number[]): boolean {
    engine.gate.setForeignLoad(engine.getLoad(now));
    const hasContext = currentChat !== undefined &&
      engine.hasContext(currentChat.key, currentChat.turn);
    const query = {
      work: currentOutputTokens + (hasContext ? newPromptTokens : promptTokens),
      observedLoads: loads,
      silentTargets: 0,
      isHeld: hasContext,
    };
    return engine.gate.check(query).kind === "admitted";
  }

  function rankEngines(key: string): readonly Engine[] {
    const cached = rankings.get(key);
    if (cached !== undefined && cached.epoch === epoch) return cached.order;
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
    const point = placementHost.hash(encoder.encode(key), 2);
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
      Array.from({ length: ringPointsPerEngine }, (_, index) => ({
        point: placementHost.hash(encoder.encode(`${engine.id}/${index}`), 2),
        engine,
      }))
    ).sort((left, right) => left.point - right.point);
  }

  function takeSnapshot(): void {
    snapshots.unshift(
      engines.map((engine) => ({ engine, load: engine.getLoad(now) })),
    );
    if (snapshots.length > maxSnapshots) snapshots.pop();
    for (const engine of engines) updateMeanEstimate(engine);
    if (!isMeasuring) return;
    const loads = engines.map((engine) => engine.getLoad(now));
    skews.push(Math.max(...loads) / getMeanLoad());
  }

  function updateMeanEstimate(engine: Engine): void {
    const targets = engines.length;
    const sampleCount = targets <= 16
      ? targets
      : experiment.samplesPerSecond * 3;
    let sum = 0;
    for (let index = 0; index < sampleCount; index++) {
      const snapshotIndex = Math.floor(
        random.next() * experiment.maxReportAgeSeconds /
          snapshotIntervalSeconds,
      );
      const snapshot =
        snapshots[Math.min(snapshotIndex, snapshots.length - 1)] ?? [];
      const peerIndex = targets <= 16 ? index : random.below(snapshot.length);
      sum += snapshot[peerIndex % Math.max(1, snapshot.length)]?.load ?? 0;
    }
    engine.mean = { mean: sum / sampleCount, targets, ageMs: 0 };
  }

  function applyChurn(): void {
    const second = Math.round(now) - experiment.warmUpSeconds;
    if (second < 0) return;
    const isLeaveSecond = second % 60 === 10;
    const isJoinSecond = second % 60 === 40;
    switch (experiment.churn) {
      case "none":
        return;
      case "leave_and_join":
      case "planned_leave_with_export":
        if (isLeaveSecond) removeEngine(random.below(engines.length));
        if (isJoinSecond) addEngine();
        return;
      case "flap":
        if (isLeaveSecond) detached.push(detach(random.below(engines.length)));
        if (second % 60 === 15) reattach();
        return;
      case "zone_lost_and_back":
        if (second === 30) detachZone();
        if (second === 90) reattach();
    }
  }

  function addEngine(): void {
    const zone = nextEngineNumber % zoneCount;
    engines = [
      ...engines,
      createEngine(`engine-${nextEngineNumber++}`, {
        zone,
        cacheSize: experiment.cacheSize,
        loadMultiple: experiment.loadMultiple,
        coldMultiple: experiment.coldMultiple,
      }),
    ];
    epoch++;
  }

  function detach(index: number): Engine {
    const removed = engines[index] as Engine;
    engines = engines.filter((engine) => engine !== removed);
    epoch++;
    return removed;
  }

  function removeEngine(index: number): void {
    const removed = detach(index);
    if (experiment.churn !== "planned_leave_with_export") return;
    for (const [key, turn] of removed.getMostRecent(maxExportedContexts)) {
      rankEngines(key)[0]?.store(key, turn);
    }
  }

  function detachZone(): void {
    for (let index = engines.length - 1; index >= 0; index--) {
      if (engines[index]?.zone === 1) detached.push(detach(index));
    }
  }

  function reattach(): void {
    engines = [...engines, ...detached];
    detached = [];
    epoch++;
  }

  function getMeanLoad(): number {
    let sum = 0;
    for (const engine of engines) sum += engine.getLoad(now);
    return sum / engines.length;
  }

  function getResult(): ExperimentResult {
    skews.sort((left, right) => left - right);
    const getSkew = (share: number): number =>
      round(skews[Math.floor(share * (skews.length - 1))] ?? 0, 3);
    return {
      policy,
      requests: totals.requests,
      found: round(100 * totals.found / totals.returns, 2),
      foundOfAvoidable: round(100 * totals.found / totals.avoidable, 2),
      skewMedian: getSkew(0.5),
      skewP99: getSkew(0.99),
      skewMax: getSkew(1),
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
