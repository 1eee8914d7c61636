import {
  createMember,
  createNetwork,
  type Network,
  type Node,
} from "../../../test/support/exchange_network.ts";
import { createLimitHome } from "./limit_home.ts";

// Paused time makes the result the same however long the run takes.
jest.setTimeout(120_000);

const limit = 50;
const routers = 60;
const stepMs = 20;

describe("limits over the fleet", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("admits nearly all below the limit", async () => {
    const network = await createRouters();
    const admitted = await offer(network, { perSecond: 40, seconds: 10 });
    expect(admitted).toBeGreaterThan(0.98 * 400);
  });

  it("holds within 10% under a surge", async () => {
    const network = await createRouters();
    await offer(network, { perSecond: 25, seconds: 5 });
    const admitted = await offer(network, { perSecond: 500, seconds: 20 });
    expect(admitted).toBeLessThan(1.1 * limit * 20);
    expect(admitted).toBeGreaterThan(0.8 * limit * 20);
  });

  it("does not hold when each router counts alone", async () => {
    const network = await createRouters();
    const homes = new Map(
      network.nodes.map((node) => [
        node,
        createLimitHome({ random: network.random }),
      ]),
    );
    const admitted = await offer(network, {
      perSecond: 500,
      seconds: 20,
      acquire: (node) => {
        const ask = { asker: "", amount: 1, ratePerSecond: limit };
        const amount = homes.get(node)?.grant("one", ask).amount ?? 0;
        return Promise.resolve(amount > 0);
      },
    });
    expect(admitted).toBeGreaterThan(5 * limit * 20);
  });

  it("is bounded by the routers' own shares while the home is lost", async () => {
    const network = await createRouters();
    await offer(network, { perSecond: 500, seconds: 5 });
    const home = network.nodes.find(({ exchange }) =>
      exchange.limits.getSizes().kept > 0
    );
    if (home !== undefined) network.kill(home);
    const admitted = await offer(network, { perSecond: 500, seconds: 20 });
    expect(admitted).toBeLessThan(1.1 * limit * 20);
    expect(admitted).toBeGreaterThan(0.6 * limit * 20);
  });

  it("grants each side of a cut no more than its share or its home", async () => {
    const network = await createRouters();
    await offer(network, { perSecond: 500, seconds: 5 });
    const side = new Map(network.nodes.map((node, index) => [node, index % 2]));
    network.setCut((from, to) => side.get(from) === side.get(to));
    const admitted = await offer(network, { perSecond: 500, seconds: 20 });
    expect(admitted).toBeLessThan(2.1 * limit * 20);
  });

  it("lets workspaces without a limit pass", async () => {
    const network = await createRouters();
    const [node] = network.nodes;
    expect(await node?.exchange.acquire("free")).toEqual({ kind: "granted" });
    expect(node?.exchange.limits.getSizes()).toEqual({ kept: 0, used: 0 });
  });
});

async function createRouters(): Promise<Network> {
  const network = createNetwork({ seed: 3, limits: new Map([["one", limit]]) });
  for (let number = 0; number < routers; number++) {
    network.add(createMember(number, {
      id: `router-${number}`,
      role: "router",
      service: "",
    }));
  }
  network.introduceAll();
  await jest.advanceTimersByTimeAsync(1_000);
  return network;
}

/** Offers requests to random routers and returns how many were admitted. */
async function offer(
  network: Network,
  { perSecond, seconds, acquire = acquireFromFleet }: {
    readonly perSecond: number;
    readonly seconds: number;
    readonly acquire?: (node: Node) => Promise<boolean>;
  },
): Promise<number> {
  const alive = network.nodes.filter(({ isUp }) => isUp);
  let admitted = 0;
  let due = 0;
  const count = async (node: Node): Promise<void> => {
    if (await acquire(node)) admitted++;
  };
  for (let step = 0; step < seconds * 1_000 / stepMs; step++) {
    for (due += perSecond * stepMs / 1_000; due >= 1; due--) {
      const node = alive[Math.floor(network.random() * alive.length)];
      if (node !== undefined) void count(node);
    }
    await jest.advanceTimersByTimeAsync(stepMs);
  }
  return admitted;
}

async function acquireFromFleet({ exchange }: Node): Promise<boolean> {
  return (await exchange.acquire("one")).kind === "granted";
}
