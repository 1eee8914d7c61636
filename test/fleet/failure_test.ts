import type { ExchangeOptions } from "../../src/process/membership/exchange_options.ts";
import type { Network } from "../support/exchange_network.ts";
import {
  countDistinctTables,
  createFleetNetwork,
  getDisagreeingIds,
  getNode,
  getRunning,
  testTimeoutMs,
} from "./fleet_network.ts";

jest.setTimeout(testTimeoutMs);

describe("failures of members and of the network", () => {
  let network: Network;

  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    getRunning(network).forEach(network.kill);
    jest.useRealTimers();
  });

  describe("an agent that crashes", () => {
    const belief = { id: "agent-4", state: "dead" } as const;

    it("is declared dead by all members", async () => {
      network = await createRunning({});
      network.setConditions({ lossRate: 0.05 });
      network.kill(getNode(network, "agent-4"));
      await jest.advanceTimersByTimeAsync(10_000);
      expect(getDisagreeingIds(network, belief)).toEqual([]);
    });

    it("is not detected by any member without probes", async () => {
      network = await createRunning({
        peersPerSecond: 0,
        smallServiceCyclesPerSecond: 0,
        membersPerSecond: 0,
      });
      network.kill(getNode(network, "agent-4"));
      await jest.advanceTimersByTimeAsync(10_000);
      expect(getDisagreeingIds(network, belief)).toHaveLength(29);
    });
  });

  describe("a member whose outgoing messages are lost for a while", () => {
    it("refutes its death and is live everywhere again", async () => {
      network = await createRunning({});
      const muted = getNode(network, "agent-4");
      network.setReachability((from) => from !== muted);
      await jest.advanceTimersByTimeAsync(10_000);
      const disagreeing = getDisagreeingIds(network, {
        id: "agent-4",
        state: "dead",
      });
      expect(disagreeing).toEqual(["agent-4"]);
      network.setReachability(() => true);
      await jest.advanceTimersByTimeAsync(10_000);
      const belief = { id: "agent-4", state: "live" } as const;
      expect(getDisagreeingIds(network, belief)).toEqual([]);
    });
  });

  describe("a partition into two halves", () => {
    it("heals until tables are equal and all members are live", async () => {
      network = await createRunning({});
      await partitionForAMinute(network);
      expect(getMinLiveCount(network)).toBe(15);
      network.setReachability(() => true);
      await jest.advanceTimersByTimeAsync(40_000);
      expect(countDistinctTables(network)).toBe(1);
      expect(getMinLiveCount(network)).toBe(30);
    });

    it("does not heal when members believed dead are not probed", async () => {
      network = await createRunning({ deadPerSecond: 0 });
      await partitionForAMinute(network);
      network.setReachability(() => true);
      await jest.advanceTimersByTimeAsync(40_000);
      expect(countDistinctTables(network)).toBeGreaterThan(1);
    });

    it("leaves the mean load of each half unchanged", async () => {
      network = await createRunning({});
      for (const node of network.nodes) node.load = 1_000;
      await jest.advanceTimersByTimeAsync(3_000);
      for (const durationMs of [1_000, 5_000, 60_000]) {
        network.setReachability(createPartition(network));
        await jest.advanceTimersByTimeAsync(durationMs);
        for (const mean of getMeans(network)) expect(mean).toBe(1_000);
      }
    });
  });

  describe("an isolated agent", () => {
    it("keeps the last reported loads of others in the mean", async () => {
      network = await createRunning({});
      for (const node of network.nodes) node.load = 1_000;
      await jest.advanceTimersByTimeAsync(3_000);
      const isolated = getNode(network, "agent-4");
      network.setReachability((from, to) =>
        from !== isolated && to !== isolated
      );
      await jest.advanceTimersByTimeAsync(2_500);
      isolated.load = 0;
      const { mean, targets, ageMs } = isolated.exchange.getMean("chat");
      expect(mean).toBeCloseTo(1_000 * (targets - 1) / targets);
      expect(ageMs).toBeGreaterThan(1_000);
    });
  });
});

async function createRunning(
  exchange: Partial<ExchangeOptions>,
): Promise<Network> {
  const options = { seed: 8, routers: 10, agents: 20, exchange };
  const network = createFleetNetwork(options);
  await jest.advanceTimersByTimeAsync(1_000);
  return network;
}

function createPartition(
  network: Network,
): Parameters<Network["setReachability"]>[0] {
  const sides = new Map(network.nodes.map((node, index) => [node, index % 2]));
  return (from, to) => sides.get(from) === sides.get(to);
}

async function partitionForAMinute(network: Network): Promise<void> {
  network.setReachability(createPartition(network));
  await jest.advanceTimersByTimeAsync(60_000);
}

/** Returns the minimum number of live members in any running node's table. */
function getMinLiveCount(network: Network): number {
  const counts = getRunning(network).map(({ exchange }) =>
    exchange.membership.table.getAll()
      .filter(({ state }) => state === "live").length
  );
  return Math.min(...counts);
}

function getMeans(network: Network): readonly number[] {
  return getRunning(network)
    .filter(({ exchange }) => exchange.membership.getSelf().role === "agent")
    .map(({ exchange }) => Math.round(exchange.getMean("chat").mean));
}
