/** Runs many membership exchanges over a simulated network with a seed. */

import {
  type ControlBudget,
  createControlBudget,
} from "../../src/process/membership/control_budget.ts";
import {
  createExchange,
  type Exchange,
} from "../../src/process/membership/exchange.ts";
import {
  defaultExchangeOptions,
  type ExchangeOptions,
} from "../../src/process/membership/exchange_options.ts";
import type { Configuration, Patch } from "../../src/types/configuration.ts";
import type { Member } from "../../src/types/member.ts";
import { bucketCount } from "../../src/process/membership/member_table.ts";

/** A member of the network, with the state that tests read. */
export interface Node {
  readonly exchange: Exchange;
  readonly budget: ControlBudget;
  readonly endpoint: string;
  /** Arrival times of patches at the node, by the patch's text. */
  readonly patches: Map<string, number>;
  load: number;
  isUp: boolean;
}

/** Delay, loss and duplication of messages. */
export interface NetworkConditions {
  /** Minimum and maximum one-way delay, in milliseconds. */
  readonly delayMs: readonly [number, number];
  /** Share of messages that are lost, 0 to 1. */
  readonly lossRate: number;
  /** Share of messages that arrive twice, 0 to 1. */
  readonly duplicationRate: number;
}

/** A simulated network of nodes. */
export interface Network {
  readonly nodes: readonly Node[];
  add(member: Member): Node;
  /** Stops a node without a leave announcement. */
  kill(node: Node): void;
  /** Sets which nodes can send to which others. */
  setReachability(canSend: (from: Node, to: Node) => boolean): void;
  setConditions(changes: Partial<NetworkConditions>): void;
  /** Makes all nodes known to each other and starts them. */
  startAll(): void;
  random(): number;
}

/** Creates a network whose random choices follow a seed. */
export function createNetwork(options: {
  readonly seed: number;
  readonly bytesPerSecond?: number;
  readonly exchange?: Partial<ExchangeOptions>;
  /** False when no node responds to pulls; true by default. */
  readonly pulls?: boolean;
  /** Limits of workspaces, in requests per second. */
  readonly limits?: ReadonlyMap<string, number>;
}): Network {
  const nodes: Node[] = [];
  const nodesByEndpoint = new Map<string, Node>();
  const { bytesPerSecond = 22_000 } = options;
  const random = createSeededRandom(options.seed);
  const configuration = createConfiguration(options.limits ?? new Map());
  let conditions: NetworkConditions = {
    delayMs: [1, 3],
    lossRate: 0,
    duplicationRate: 0,
  };
  let canSend: (from: Node, to: Node) => boolean = () => true;

  return {
    nodes,
    add,
    kill,
    setReachability: (next) => {
      canSend = next;
    },
    setConditions: (changes) => {
      conditions = { ...conditions, ...changes };
    },
    startAll,
    random,
  };

  function add(member: Member): Node {
    const endpoint = `${member.address}:${member.gossipPort}`;
    const patches = new Map<string, number>();
    const budget = createControlBudget({ bytesPerSecond });
    const exchange = createExchange({
      send: (bytes, to) => send(bytes, `${to.address}:${to.port}`),
      pullMembers,
      configuration: {
        getChecksum: () => 0,
        getConfiguration: () => configuration,
        handleVersion: () => undefined,
        offerPatches: (texts) =>
          texts.forEach((text) => patches.set(text, performance.now())),
        onPatch: () => undefined,
      },
      budget,
      onReplaced: () => undefined,
      onMalformedDatagram: () => undefined,
    }, {
      ...defaultExchangeOptions,
      ...options.exchange,
      self: member,
      random,
    });
    const node: Node = {
      exchange,
      budget,
      endpoint,
      patches,
      load: 0,
      isUp: true,
    };
    exchange.setLoadSource(() => node.load);
    nodes.push(node);
    nodesByEndpoint.set(endpoint, node);
    return node;

    function send(bytes: Uint8Array, to: string): void {
      const copies = random() < conditions.duplicationRate ? 2 : 1;
      for (let copy = 0; copy < copies; copy++) {
        if (random() < conditions.lossRate) continue;
        setTimeout(() => deliver(bytes, to), getDelay());
      }
    }

    function deliver(bytes: Uint8Array, to: string): void {
      const receiver = nodesByEndpoint.get(to);
      if (receiver === undefined || !receiver.isUp || !node.isUp) return;
      if (!canSend(node, receiver)) return;
      const { address, gossipPort } = member;
      receiver.exchange.receive(bytes, { address, port: gossipPort });
    }

    async function pullMembers(
      from: Member,
      hashes: readonly number[],
    ): Promise<readonly Member[] | undefined> {
      const server = nodesByEndpoint.get(`${from.address}:${from.gossipPort}`);
      await sleep(getDelay() * 4);
      if (options.pulls === false) return undefined;
      if (server === undefined || !server.isUp || !node.isUp) return undefined;
      if (!canSend(node, server) || !canSend(server, node)) return undefined;
      const page = server.exchange.membership.table.collectDifferent(hashes, {
        firstBucket: Math.floor(random() * bucketCount),
        maxBytes: bytesPerSecond / 4,
      });
      const spend = { purpose: "membership", class: "pull" } as const;
      if (!budget.trySpend(650, spend)) return undefined;
      if (!server.budget.trySpend(page.bytes + 400, spend)) return undefined;
      server.budget.recordTraffic(650, "membership", "received");
      budget.recordTraffic(page.bytes + 400, "membership", "received");
      return page.members;
    }
  }

  function getDelay(): number {
    const [min, max] = conditions.delayMs;
    return min + random() * (max - min);
  }

  function kill(node: Node): void {
    node.isUp = false;
    node.exchange.stop();
  }

  function startAll(): void {
    const members = nodes.map(({ exchange }) => exchange.membership.getSelf());
    for (const { exchange } of nodes) {
      exchange.mergeMembers(members);
      setTimeout(exchange.start, random() * 250);
    }
  }
}

/** Creates the record of a live agent. */
export function createMember(
  number: number,
  changes: Partial<Member> = {},
): Member {
  return {
    id: `agent-${number}`,
    role: "agent",
    address: `10.1.${number >> 8}.${number & 255}`,
    grpcPort: 7_000,
    gossipPort: 7_001,
    zone: `zone-${number % 3}`,
    region: "region-1",
    vm: `vm-${number}`,
    service: "chat",
    incarnation: 1_700_000_000_000 + number,
    version: 1,
    state: "live",
    weight: 100,
    ...changes,
  };
}

/** Creates a generator of numbers from 0 up to 1 (mulberry32). */
export function createSeededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Creates a patch with a number of operations. */
export function createPatch(version: number, operations = 1): Patch {
  return {
    id: `patch-${version}`,
    operator: "operator-1",
    baseVersion: version - 1,
    version,
    acceptedAt: 0,
    operations: Array.from({ length: operations }, (_value, index) => ({
      kind: "put_workspace",
      name: `workspace-${index}`,
      value: { weight: 1, requestsPerSecond: 0, services: [] },
    })),
  };
}

function createConfiguration(
  limits: ReadonlyMap<string, number>,
): Configuration {
  const workspaces = new Map(
    [...limits].map(([name, requestsPerSecond]) => [
      name,
      { weight: 1, requestsPerSecond, services: [] },
    ]),
  );
  return { version: 0, services: new Map(), workspaces };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
