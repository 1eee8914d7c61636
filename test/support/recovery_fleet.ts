/**
 * Restarts a fleet of routers over a simulated network, on paused time, and
 * measures when each knows what the engines hold. Datagrams are encoded as they
 * are between real routers.
 */

import { createCachedParts } from "../../src/process/direct/placement/cached_parts.ts";
import { createDigestPace } from "../../src/process/direct/peers/digest_pace.ts";
import {
  createDigestWriter,
  tryDecodeDigest,
} from "../../src/process/direct/peers/peer_digests.ts";
import type { Placement } from "../../src/process/placement/placement.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createListRecovery } from "../../src/roles/list_recovery.ts";
import type { RouterPeer } from "../../src/types/direct_target.ts";
import type { PromptPart } from "../../src/types/prompt.ts";
import { createTarget } from "./direct.ts";
import { createSeededRandom } from "./seeded_random.ts";

/** Size and faults of a restart. */
export interface Restart {
  readonly routers: number;
  readonly engines: number;
  readonly partsPerEngine: number;
  readonly seed: number;
  readonly placement: Placement;
  /** Share of the datagrams that are lost. */
  readonly lossShare?: number;
  /** When each router knows the directory, in ms; all within 20 by default. */
  getStartMs?(index: number): number;
  /** Returns false for engines that do not answer. */
  answers?(engine: number): boolean;
  /** Router that crashes while its engines prepare their lists. */
  readonly crashing?: number;
  /**
   * `digests` reports the lists among the other items of digests, as routers
   * did before lists had messages of their own.
   */
  readonly exchange: "digests" | "lists";
}

/** Time of a datagram, in ms: the fixed part, and the random one at most. */
const datagramMs = { min: 1, random: 4 } as const;

/** Time in which an engine returns its list, in milliseconds. */
const listMs = 40;

/** Interval at which digests are sent while items wait, in milliseconds. */
const tickMs = 60;

/** Returns the parts of one engine; ids are as long as hashes in text. */
function createParts(
  engine: number,
  count: number,
  random: () => number,
): readonly PromptPart[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${engine}-${index}-${random().toString(16).slice(2, 14)}`,
    tokens: 64 + Math.floor(random() * 4_000),
  }));
}

/** Starts the routers; what they do follows the paused clock. */
export function restartFleet(restart: Restart) {
  const { placement, lossShare = 0, crashing, partsPerEngine } = restart;
  const random = createSeededRandom(restart.seed);
  const engines = Array.from({ length: restart.engines }, (_, index) => ({
    target: createTarget(`engine-${index}`),
    parts: createParts(index, partsPerEngine, random),
    answers: restart.answers?.(index) ?? true,
  }));
  const peers = new Map<string, RouterPeer>(
    Array.from({ length: restart.routers }, (_, index) => {
      const id = `router-${index}`;
      return [id, { id, address: id, digestPort: 1, pullPort: 2 }];
    }),
  );
  const queries = new Map<string, number>();
  const all = engines.filter(({ answers }) => answers).flatMap(
    ({ target, parts }) => parts.map(({ id }) => ({ target, id })),
  );
  let datagrams = 0;
  let bytesSent = 0;
  /** Deliveries by their time; one timer for all, as paused ones are slow. */
  const deliveries = new Map<number, (() => void)[]>();
  const routers = [...peers.keys()].map(createRouter);
  setInterval(() => {
    const now = Math.round(performance.now());
    deliveries.get(now)?.forEach((deliver) => deliver());
    deliveries.delete(now);
  }, 1);

  return {
    engines,
    routers,
    queries,
    getSent: () => ({ datagrams, bytes: bytesSent }),
    /** Returns the share of the engines' parts that the router knows. */
    getKnownShare,
  };

  function getKnownShare(index: number): number {
    const { cachedParts } = routers[index] ?? {};
    const known = all.filter(({ target, id }) =>
      cachedParts?.isCached(target.id, id)
    );
    return known.length / all.length;
  }

  function createRouter(id: string, index: number) {
    const startMs = restart.getStartMs?.(index) ?? random() * 20;
    const pace = createDigestPace();
    const writer = createDigestWriter(id);
    const cachedParts = createCachedParts();
    const heard = new Set<string>();
    let isUp = false;
    const recovery = createListRecovery({
      selfId: id,
      ...{ placement, cachedParts, log: createSilentLog(), routers: peers },
      targets: {
        getAllReady: () => engines.map(({ target }) => target),
        tryGet: () => undefined,
        getUnconfirmed: () => [],
        isUnconfirmed: () => false,
        recordStart: () => undefined,
      },
      isEngine: () => true,
      contention: { isActive: () => true },
      getRank: () => index,
      calls: { tryListCachedParts: ({ id: target }) => list(target) },
      tryPullCachedParts: () => Promise.resolve(undefined),
      getExchange: () => ({
        isPeerHeard: (peer) => heard.has(peer),
        isPeerSettled: () => false,
        sendDigest,
        send: (bytes, peer) => {
          if (restart.exchange === "lists") send(bytes, peer);
        },
      }),
    });
    setTimeout(() => {
      isUp = true;
      void recovery.recover(id);
    }, startMs);
    setInterval(() => {
      const hasUpdates = writer.getQueueLength() > 0;
      const isWatcher = index < 3;
      const options = { peers: peers.size - 1, hasUpdates, isWatcher };
      if (isUp && pace.trySend(options)) sendDigest();
    }, tickMs);
    if (index === crashing) {
      setTimeout(() => {
        isUp = false;
      }, startMs + 60 + listMs / 2);
    }
    return { id, recovery, cachedParts, startMs, receive };

    async function list(target: string) {
      queries.set(target, (queries.get(target) ?? 0) + 1);
      const engine = engines.find((other) => other.target.id === target);
      if (engine?.answers !== true) return new Promise<undefined>(() => {});
      await new Promise((resolve) => setTimeout(resolve, listMs));
      if (!isUp) return new Promise<undefined>(() => {});
      if (restart.exchange === "digests") {
        engine.parts.forEach((part) =>
          writer.queuePart({ target, part, isBeingRead: false })
        );
      }
      return engine.parts;
    }

    function sendDigest(): void {
      send(writer.write({
        position: { era: 1, revision: 1 },
        isSettled: recovery.isSettled(),
        ...{ isWatching: false, storeContactMs: 0, lostEntries: 0 },
        ...{ storeAgeMs: undefined, storeSilentMs: 0, partRates: [] },
        ...{ leaves: [], limits: [], paces: [], demands: [] },
        loads: new Map(),
      }));
    }

    function send(bytes: Uint8Array, to?: string): void {
      if (!isUp) return;
      for (const peer of routers) {
        if (peer.id === id || (to !== undefined && peer.id !== to)) continue;
        datagrams++;
        bytesSent += bytes.length;
        if (random() < lossShare) continue;
        const delayMs = datagramMs.min + random() * datagramMs.random;
        const at = Math.round(performance.now() + delayMs);
        const deliver = () => peer.receive(bytes);
        deliveries.set(at, [...deliveries.get(at) ?? [], deliver]);
      }
    }

    function receive(bytes: Uint8Array): void {
      const digest = tryDecodeDigest(bytes);
      if (!isUp || digest === undefined) return;
      heard.add(digest.sender);
      if (digest.lists !== undefined) {
        recovery.handleMessage(digest.sender, digest.lists);
      }
      digest.parts.forEach(({ target, part }) =>
        cachedParts.recordPart(target, part)
      );
    }
  }
}
