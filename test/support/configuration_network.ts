/** Runs configuration stores over a simulated lossy network. */

import { EitherAsync, Left, Right } from "purify-ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createMetrics } from "../../src/process/telemetry/metrics.ts";
import type { Patch } from "../../src/types/configuration.ts";
import {
  type ConfigurationStoreHost,
  createConfigurationStore,
  type LocalConfigurationStore,
} from "../../src/version/configuration_store.ts";
import type { Codec } from "../../src/version/codec.ts";
import { formatPatch } from "../../src/version/patch_text.ts";
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from "../fakes/memory_platform.ts";
import { createTestCodec } from "./codec.ts";
import { createRouterMember } from "./drafts.ts";

/** A process in the network. */
export interface Node {
  readonly id: string;
  readonly store: LocalConfigurationStore;
  readonly platform: MemoryPlatform;
  /** True while the process can reach neither the others nor the platform. */
  isPartitioned: boolean;
  /**
   * Time of the process's start or of its last change between partitioned and
   * connected, in epoch milliseconds.
   */
  connectivityChangedAt: number;
}

/** Creates the store of a process; tests replace it with weaker versions. */
export type CreateStore = (
  host: ConfigurationStoreHost,
) => LocalConfigurationStore;

/** Options of a network. */
export interface NetworkOptions {
  readonly random: () => number;
  /** Share of datagrams that are lost, 0 to 1. */
  readonly lossRate: number;
  /** Share of datagrams that are sent twice, 0 to 1. */
  readonly duplicationRate: number;
  /** Maximum delay of a message, in milliseconds. */
  readonly maxDelayMs: number;
  /** Number of processes that watch the platform: the first that seem live. */
  readonly watchers: number;
  readonly createStore?: CreateStore;
  /** Time between two probes by one process, in ms; 0 disables probes. */
  readonly probeIntervalMs?: number;
}

/** A network of processes. */
export interface Network {
  readonly nodes: readonly Node[];
  readonly platform: MemoryPlatform;
  readonly codec: Codec;
  addNode(): Node;
  setPartitioned(node: Node, isPartitioned: boolean): void;
  stop(): Promise<void>;
}

/** Each process sends 4 probes a second, as the membership exchange does. */
const defaultProbeIntervalMs = 250;

/** Time until a partition is detected by the others, in milliseconds. */
const detectionDelayMs = 2_000;

/** Number of patches after which a new snapshot is written; low for tests. */
export const testPatchesPerSnapshot = 6;

/** Time that patches stay in the log, in milliseconds; short for tests. */
export const testPatchRetentionMs = 9_000;

/** Creates an empty network. */
export function createNetwork(options: NetworkOptions): Network {
  const { random } = options;
  const nodes: Node[] = [];
  const platform = createMemoryPlatform();
  const codec = createTestCodec();
  const createStore = options.createStore ??
    ((host) =>
      createConfigurationStore(host, {
        patchesPerSnapshot: testPatchesPerSnapshot,
        patchRetentionMs: testPatchRetentionMs,
      }));
  const probeIntervalMs = options.probeIntervalMs ?? defaultProbeIntervalMs;
  const timer = probeIntervalMs === 0
    ? undefined
    : setInterval(probeAll, probeIntervalMs);

  return {
    nodes,
    platform,
    codec,
    addNode,
    setPartitioned,
    stop,
  };

  function addNode(): Node {
    const index = nodes.length;
    const id = `router-${index}`;
    const client = platform.connect();
    const store = createStore({
      platform: client,
      log: createSilentLog(),
      metrics: createMetrics(),
      codec,
      getPeers: () =>
        nodes.filter((node) => node.id !== id)
          .map((node) => createRouterMember(node.id)),
      isWatcher: () => isWatcher(index),
      spreadPatch: (patch) => broadcast(id, patch),
      pull: (member, afterVersion) =>
        EitherAsync.fromPromise(async () => {
          await sleep(random() * options.maxDelayMs);
          const peer = nodes.find((node) => node.id === member.id);
          const response = peer === undefined || !isReachable(id, peer)
            ? undefined
            : await peer.store.serve(afterVersion);
          return response === undefined
            ? Left({ kind: "unreachable", message: "No response" })
            : Right(response);
        }),
    });
    const connectivityChangedAt = Date.now();
    const node = {
      id,
      store,
      platform: client,
      isPartitioned: false,
      connectivityChangedAt,
    };
    nodes.push(node);
    void store.start();
    return node;
  }

  function setPartitioned(node: Node, isPartitioned: boolean): void {
    node.isPartitioned = isPartitioned;
    node.platform.faults.outage = isPartitioned;
    node.connectivityChangedAt = Date.now();
  }

  function isWatcher(index: number): boolean {
    const earlierNodes = nodes.slice(0, index).filter((node) =>
      !isKnownPartitioned(node)
    );
    return earlierNodes.length < options.watchers;
  }

  function isKnownPartitioned(node: Node): boolean {
    return node.isPartitioned &&
      Date.now() - node.connectivityChangedAt >= detectionDelayMs;
  }

  function isReachable(from: string, to: Node): boolean {
    const sender = nodes.find((node) => node.id === from);
    return sender?.isPartitioned === false && !to.isPartitioned;
  }

  function broadcast(from: string, patch: Patch): void {
    const texts = [formatPatch(patch)];
    const sender = createRouterMember(from);
    for (const node of nodes) {
      if (node.id === from) continue;
      send(from, node, () => node.store.offerPatches(texts, sender));
    }
  }

  function probeAll(): void {
    for (const node of nodes) {
      const peer = nodes[Math.floor(random() * nodes.length)];
      if (peer === undefined || peer === node) continue;
      probe(node, peer, () => probe(peer, node, () => undefined));
    }
  }

  /** Sends the version of one process; the receiver responds with its own. */
  function probe(from: Node, to: Node, respond: () => void): void {
    const version = from.store.getConfiguration().version;
    const checksum = from.store.getChecksum();
    const sender = createRouterMember(from.id);
    send(from.id, to, () => {
      to.store.handleVersion(version, checksum, sender);
      respond();
    });
  }

  function send(from: string, to: Node, deliver: () => void): void {
    const copies = random() < options.duplicationRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (random() < options.lossRate) continue;
      setTimeout(() => {
        if (isReachable(from, to)) deliver();
      }, random() * options.maxDelayMs);
    }
  }

  async function stop(): Promise<void> {
    clearInterval(timer);
    await Promise.all(nodes.map((node) => node.store.stop()));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
