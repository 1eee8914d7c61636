import {
  createMember,
  createNetwork,
  type Network,
  type Node,
} from "../../../test/support/exchange_network.ts";
import { createLimitOwner } from "./limit_owner.ts";

// Fake timers make the results independent of how long the run takes.
jest.setTimeout(120_000);

const limitPerSecond = 50;
const routerCount = 60;
const stepMs = 20;

describe("fleet limits", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("admit nearly all requests below the limit", async () => {
    const network = await createRouterNetwork();
    const admitted = await offerLoad(network, { perSecond: 40, seconds: 10 });
    expect(admitted).toBeGreaterThan(0.98 * 400);
  });

  it("hold within 10% during a surge", async () => {
    const network = await createRouterNetwork();
    await offerLoad(network, { perSecond: 25, seconds: 5 });
    const admitted = await offerLoad(network, { perSecond: 500, seconds: 20 });
    expect(admitted).toBeLessThan(1.1 * limitPerSecond * 20);
    expect(admitted).toBeGreaterThan(0.8 * limitPerSecond * 20);
  });

  it("do not hold when each router counts on its own", async () => {
    const network = await createRouterNetwork();
    const owners = new Map(
      network.nodes.map((node) => [
        node,
        createLimitOwner({ random: network.random }),
      ]),
    );
    const admitted = await offerLoad(network, {
      perSecond: 500,
      seconds: 20,
      acquire: (node) => {
        const request = {
          requester: "",
          amount: 1,
          ratePerSecond: limitPerSecond,
        };
        const amount = owners.get(node)?.grant("one", request).amount ?? 0;
        return Promise.resolve(amount > 0);
      },
    });
    expect(admitted).toBeGreaterThan(5 * limitPerSecond * 20);
  });

  it("stay bounded by local shares after the owner has failed", async () => {
    const network = await createRouterNetwork();
    await offerLoad(network, { perSecond: 500, seconds: 5 });
    const owner = network.nodes.find(({ exchange }) =>
      exchange.limits.getSizes().kept > 0
    );
    if (owner !== undefined) network.kill(owner);
    const admitted = await offerLoad(network, { perSecond: 500, seconds: 20 });
    expect(admitted).toBeLessThan(1.1 * limitPerSecond * 20);
    expect(admitted).toBeGreaterThan(0.6 * limitPerSecond * 20);
  });

  it("admit at most about twice the limit in a network partition", async () => {
    const network = await createRouterNetwork();
    await offerLoad(network, { perSecond: 500, seconds: 5 });
    const sides = new Map(
      network.nodes.map((node, index) => [node, index % 2]),
    );
    network.setReachability((from, to) => sides.get(from) === sides.get(to));
    const admitted = await offerLoad(network, { perSecond: 500, seconds: 20 });
    expect(admitted).toBeLessThan(2.1 * limitPerSecond * 20);
  });

  it("admit all requests of workspaces without a limit", async () => {
    const network = await createRouterNetwork();
    const [node] = network.nodes;
    expect(await node?.exchange.acquire("free")).toEqual({ kind: "granted" });
    expect(node?.exchange.limits.getSizes()).toEqual({ kept: 0, used: 0 });
  });
});

async function createRouterNetwork(): Promise<Network> {
  const network = createNetwork({
    seed: 3,
    limits: new Map([["one", limitPerSecond]]),
  });
  for (let number = 0; number < routerCount; number++) {
    network.add(createMember(number, {
      id: `router-${number}`,
      role: "router",
      service: "",
    }));
  }
  network.startAll();
  await jest.advanceTimersByTimeAsync(1_000);
  return network;
}

/** Sends requests to random routers and returns how many were admitted. */
async function offerLoad(
  network: Network,
  { perSecond, seconds, acquire = acquireFromFleet }: {
    readonly perSecond: number;
    readonly seconds: number;
    readonly acquire?: (node: Node) => Promise<boolean>;
  },
): Promise<number> {
  const alive = network.nodes.filter(({ isUp }) => isUp);
  let admitted = 0;
  let dueRequests = 0;
  const countAdmitted = async (node: Node): Promise<void> => {
    if (await acquire(node)) admitted++;
  };
  for (let step = 0; step < seconds * 1_000 / stepMs; step++) {
    for (
      dueRequests += perSecond * stepMs / 1_000;
      dueRequests >= 1;
      dueRequests--
    ) {
      const node = alive[Math.floor(network.random() * alive.length)];
      if (node !== undefined) void countAdmitted(node);
    }
    await jest.advanceTimersByTimeAsync(stepMs);
  }
  return admitted;
}

async function acquireFromFleet({ exchange }: Node): Promise<boolean> {
  return (await exchange.acquire("one")).kind === "granted";
}
