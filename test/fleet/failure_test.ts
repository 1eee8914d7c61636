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

  describe("an agent that ends without a word", () => {
    const belief = { id: "agent-4", state: "dead" } as const;

    it("is found by all", async () => {
      network = await createRunning({});
      network.setDisturbance({ loss: 0.05 });
      network.kill(getNode(network, "agent-4"));
      await jest.advanceTimersByTimeAsync(10_000);
      expect(getDisagreeingIds(network, belief)).toEqual([]);
    });

    it("is found by nobody without probes", async () => {
      network = await createRunning({
        peersPerSecond: 0,
        wholeServiceRate: 0,
        membersPerSecond: 0,
      });
      network.kill(getNode(network, "agent-4"));
      await jest.advanceTimersByTimeAsync(10_000);
      expect(getDisagreeingIds(network, belief)).toHaveLength(29);
    });
  });

  describe("a member whose messages are lost for a while", () => {
    it("refutes that it is dead and is live everywhere again", async () => {
      network = await createRunning({});
      const muted = getNode(network, "agent-4");
      network.setCut((from) => from !== muted);
      await jest.advanceTimersByTimeAsync(10_000);
      const disagreeing = getDisagreeingIds(network, {
        id: "agent-4",
        state: "dead",
      });
      expect(disagreeing).toEqual(["agent-4"]);
      network.setCut(() => true);
      await jest.advanceTimersByTimeAsync(10_000);
      const belief = { id: "agent-4", state: "live" } as const;
      expect(getDisagreeingIds(network, belief)).toEqual([]);
    });
  });

  describe("a cut through the middle", () => {
    it("heals until all tables are equal and all members live", async () => {
      network = await createRunning({});
      await partitionForAMinute(network);
      expect(getMinLiveCount(network)).toBe(15);
      network.setCut(() => true);
      await jest.advanceTimersByTimeAsync(40_000);
      expect(countDistinctTables(network)).toBe(1);
      expect(getMinLiveCount(network)).toBe(30);
    });

    it("stays when members believed dead are not looked for", async () => {
      network = await createRunning({ deadPerSecond: 0 });
      await partitionForAMinute(network);
      network.setCut(() => true);
      await jest.advanceTimersByTimeAsync(40_000);
      expect(countDistinctTables(network)).toBeGreaterThan(1);
    });

    it("leaves both sides with a mean load of their own", async () => {
      network = await createRunning({});
      for (const node of network.nodes) node.load = 1_000;
      await jest.advanceTimersByTimeAsync(3_000);
      for (const durationMs of [1_000, 5_000, 60_000]) {
        network.setCut(createPartition(network));
        await jest.advanceTimersByTimeAsync(durationMs);
        for (const mean of getMeans(network)) expect(mean).toBe(1_000);
      }
    });
  });

  describe("an agent that hears nobody", () => {
    it("holds the last mean, whatever its own load", async () => {
      network = await createRunning({});
      for (const node of network.nodes) node.load = 1_000;
      await jest.advanceTimersByTimeAsync(3_000);
      const isolated = getNode(network, "agent-4");
      network.setCut((from, to) => from !== isolated && to !== isolated);
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
): Parameters<Network["setCut"]>[0] {
  const sides = new Map(network.nodes.map((node, index) => [node, index % 2]));
  return (from, to) => sides.get(from) === sides.get(to);
}

async function partitionForAMinute(network: Network): Promise<void> {
  network.setCut(createPartition(network));
  await jest.advanceTimersByTimeAsync(60_000);
}

/** Fewest live members that any running node knows. */
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
