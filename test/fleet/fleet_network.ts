/** Fleets of exchanges for the tests of what the fleet promises. */

import type { ExchangeOptions } from "../../src/process/membership/exchange_options.ts";
import type { MemberState } from "../../src/types/member.ts";
import {
  createMember,
  createNetwork,
  type Network,
  type Node,
} from "../support/exchange_network.ts";

/** Bound on the time of one test, whatever else the machine does. */
export const testTimeoutMs = 120_000;

/** Builds and starts a fleet of routers and agents of one service. */
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
  network.introduceAll();
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

/** Nodes that still run. */
export function getRunning(network: Network): readonly Node[] {
  return network.nodes.filter(({ isUp }) => isUp);
}

/** Ids of running nodes that believe anything else of a member. */
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

/** Number of different tables among the running nodes. */
export function countDistinctTables(network: Network): number {
  const hashes = getRunning(network).map(({ exchange }) =>
    exchange.membership.table.getHash()
  );
  return new Set(hashes).size;
}
