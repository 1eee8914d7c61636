/** Creates simulated fleets, and compares the member tables of their nodes. */

import type { ExchangeOptions } from "../../src/process/membership/exchange_options.ts";
import type { MemberState } from "../../src/types/member.ts";
import {
  createMember,
  createNetwork,
  type Network,
  type Node,
} from "../support/exchange_network.ts";

/** Timeout of one test, in milliseconds; long enough for a busy machine. */
export const testTimeoutMs = 120_000;

/** Creates and starts a fleet of routers, and of agents of one service. */
export function createFleetNetwork(options: {
  readonly seed: number;
  readonly routers: number;
  readonly agents: number;
  readonly bytesPerSecond?: number;
  readonly pulls?: boolean;
  readonly exchange?: Partial<ExchangeOptions>;
}): Network {
  const network = createNetwork(options);
  for (let number = 0; number < options.routers; number++) {
    network.add(createMember(1_000 + number, {
      id: `router-${number}`,
      role: "router",
      service: "",
    }));
  }
  for (let number = 0; number < options.agents; number++) {
    network.add(createMember(number));
  }
  network.startAll();
  return network;
}

/** Returns the node of a member. */
export function getNode(network: Network, id: string): Node {
  const node = network.nodes.findLast(({ exchange }) =>
    exchange.membership.getSelf().id === id
  );
  if (node === undefined) throw new Error(`There is no member ${id}`);
  return node;
}

/** Returns the nodes that are running. */
export function getRunning(network: Network): readonly Node[] {
  return network.nodes.filter(({ isUp }) => isUp);
}

/** Returns the ids of running nodes whose record differs or is missing. */
export function getDisagreeingIds(
  network: Network,
  belief: {
    readonly id: string;
    readonly state: MemberState;
    readonly incarnation?: number;
  },
): readonly string[] {
  return getRunning(network)
    .filter(({ exchange }) => {
      const record = exchange.membership.table.tryGet(belief.id);
      if (record?.state !== belief.state) return true;
      return belief.incarnation !== undefined &&
        record.incarnation !== belief.incarnation;
    })
    .map(({ exchange }) => exchange.membership.getSelf().id);
}

/** Returns the number of distinct member tables among running nodes. */
export function countDistinctTables(network: Network): number {
  const hashes = getRunning(network).map(({ exchange }) =>
    exchange.membership.table.getHash()
  );
  return new Set(hashes).size;
}
