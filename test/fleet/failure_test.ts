import type { ExchangeOptions } from "../../src/process/membership/exchange_options.ts";
import type { Network } from "../support/exchange_network.ts";
import {
  countTables,
  createFleetNetwork,
  getMistaken,
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
      network.setConditions({ lossRate: 0.05 });
      network.kill(getNode(network, "agent-4"));
      await jest.advanceTimersByTimeAsync(10_000);
      expect(getMistaken(network, belief)).toEqual([]);
    });

    it("is found by nobody without probes", async () => {
      network = await createRunning({
        peersPerSecond: 0,
        smallServiceCyclesPerSecond: 0,
        membersPerSecond: 0,
      });
      network.kill(getNode(network, "agent-4"));
      await jest.advanceTimersByTimeAsync(10_000);
      expect(getMistaken(network, belief)).toHaveLength(29);
    });
  });

  describe("a member whose messages are lost for a while", () => {
    it("refutes that it is dead and is live everywhere again", async () => {
      network = await createRunning({});
      const cut = getNode(network, "agent-4");
      network.setReachability((from) => from !== cut);
      await jest.advanceTimersByTimeAsync(10_000);
      const others = getMistaken(network, { id: "agent-4", state: "dead" });
      expect(others).toEqual(["agent-4"]);
      network.setReachability(() => true);
      await jest.advanceTimersByTimeAsync(10_000);
      const belief = { id: "agent-4", state: "live" } as const;
      expect(getMistaken(network, belief)).toEqual([]);
    });
  });

  describe("a cut through the middle", () => {
    it("heals until all tables are equal and all members live", async () => {
      network = await createRunning({});
      await cutForAMinute(network);
      expect(countLive(network)).toBe(15);
      network.setReachability(() => true);
      await jest.advanceTimersByTimeAsync(40_000);
      expect(countTables(network)).toBe(1);
      expect(countLive(network)).toBe(30);
    });

    it("stays when members believed dead are not looked for", async () => {
      network = await createRunning({ deadPerSecond: 0 });
      await cutForAMinute(network);
      network.setReachability(() => true);
      await jest.advanceTimersByTimeAsync(40_000);
      expect(countTables(network)).toBeGreaterThan(1);
    });

    it("leaves both sides with a mean load of their own", async () => {
      network = await createRunning({});
      for (const node of network.nodes) node.load = 1_000;
      await jest.advanceTimersByTimeAsync(3_000);
      for (const wait of [1_000, 5_000, 60_000]) {
        network.setReachability(createHalves(network));
        await jest.advanceTimersByTimeAsync(wait);
        for (const mean of getMeans(network)) expect(mean).toBe(1_000);
      }
    });
  });

  describe("an agent that hears nobody", () => {
    it("holds the last mean, whatever its own load", async () => {
      network = await createRunning({});
      for (const node of network.nodes) node.load = 1_000;
      await jest.advanceTimersByTimeAsync(3_000);
      const alone = getNode(network, "agent-4");
      network.setReachability((from, to) => from !== alone && to !== alone);
      await jest.advanceTimersByTimeAsync(2_500);
      alone.load = 0;
      const { mean, targets, ageMs } = alone.exchange.getMean("chat");
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

function createHalves(
  network: Network,
): Parameters<Network["setReachability"]>[0] {
  const side = new Map(network.nodes.map((node, index) => [node, index % 2]));
  return (from, to) => side.get(from) === side.get(to);
}

async function cutForAMinute(network: Network): Promise<void> {
  network.setReachability(createHalves(network));
  await jest.advanceTimersByTimeAsync(60_000);
}

/** Fewest live members that any running node knows. */
function countLive(network: Network): number {
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
