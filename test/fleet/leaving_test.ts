import fc from "fast-check";
import type { Member } from "../../src/types/member.ts";
import type { Vm } from "../../src/types/platform.ts";
import { createMember, type Network } from "../support/exchange_network.ts";
import {
  createFleetNetwork,
  getMistaken,
  getNode,
  getRunning,
  testTimeoutMs,
} from "./fleet_network.ts";

jest.setTimeout(testTimeoutMs);

/** Time in which a leaving target is to be known everywhere. */
const leavingKnownMs = 3_000;

const faults = fc.record({
  seed: fc.nat(1_000_000),
  routers: fc.integer({ min: 3, max: 20 }),
  agents: fc.integer({ min: 3, max: 20 }),
  loss: fc.double({ min: 0, max: 0.2, noNaN: true }),
  doubling: fc.double({ min: 0, max: 0.2, noNaN: true }),
  longestDelayMs: fc.integer({ min: 1, max: 200 }),
  source: fc.constantFrom("agent", "list"),
});

describe("a leaving target", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("is known everywhere within 3 s through lost messages", async () => {
    await fc.assert(
      fc.asyncProperty(faults, async (fault) => {
        const network = await createDisturbed(fault);
        leave(network, fault.source);
        await jest.advanceTimersByTimeAsync(leavingKnownMs);
        const belief = { id: "agent-1", state: "leaving" } as const;
        expect(getMistaken(network, belief)).toEqual([]);
        stopAll(network);
      }),
      { seed: 41, numRuns: 25 },
    );
  });

  it("is not known when news is neither passed on nor pulled", async () => {
    const network = await createDisturbed({
      seed: 1,
      routers: 20,
      agents: 20,
      loss: 0.1,
      doubling: 0,
      longestDelayMs: 50,
      fanOut: 0,
      pulls: false,
    });
    leave(network, "agent");
    await jest.advanceTimersByTimeAsync(leavingKnownMs);
    const belief = { id: "agent-1", state: "leaving" } as const;
    expect(getMistaken(network, belief).length).toBeGreaterThan(0);
    stopAll(network);
  });

  it("is known to routers that did not know it when it joined", async () => {
    const network = createFleetNetwork({ seed: 4, routers: 12, agents: 6 });
    const late = network.add(createMember(50));
    const half = getRunning(network).filter((_node, index) => index % 2 === 0);
    const record = late.exchange.membership.getSelf();
    half.forEach(({ exchange }) => exchange.mergeMembers([record]));
    late.exchange.mergeMembers(getRecords(network));
    late.exchange.announce("leaving");
    await jest.advanceTimersByTimeAsync(leavingKnownMs);
    const belief = { id: "agent-50", state: "leaving" } as const;
    expect(getMistaken(network, belief)).toEqual([]);
    stopAll(network);
  });

  describe("that comes back while the list still calls it leaving", () => {
    it("is live everywhere and stays so", async () => {
      await fc.assert(
        fc.asyncProperty(faults, async (fault) => {
          const network = await createDisturbed(fault);
          const rejoined = await flap(network);
          const list = getList(network, "vm-1");
          for (let second = 0; second < 8; second++) {
            readList(network, list);
            await jest.advanceTimersByTimeAsync(1_000);
          }
          const { incarnation } = rejoined;
          const belief = { id: "agent-1", state: "live", incarnation } as const;
          expect(getMistaken(network, belief)).toEqual([]);
          stopAll(network);
        }),
        { seed: 43, numRuns: 15 },
      );
    });

    it("is masked when the list speaks of any incarnation", async () => {
      const network = createFleetNetwork({ seed: 2, routers: 6, agents: 6 });
      await jest.advanceTimersByTimeAsync(1_000);
      const rejoined = await flap(network);
      // The naive version: the entry counts for whatever runs on the VM now.
      const naive: Member = { ...rejoined, state: "leaving" };
      getNode(network, "router-0").exchange.mergeMembers([naive]);
      await jest.advanceTimersByTimeAsync(8_000);
      const { incarnation } = rejoined;
      const belief = { id: "agent-1", state: "live", incarnation } as const;
      expect(getMistaken(network, belief).length).toBeGreaterThan(0);
      stopAll(network);
    });

    it("leaves again when the list says so after it said live", async () => {
      const network = createFleetNetwork({ seed: 2, routers: 6, agents: 6 });
      await jest.advanceTimersByTimeAsync(1_000);
      await flap(network);
      readList(network, getList(network, "vm-1"));
      readList(network, getList(network, undefined));
      await jest.advanceTimersByTimeAsync(61_000);
      readList(network, getList(network, "vm-1"));
      await jest.advanceTimersByTimeAsync(leavingKnownMs);
      const belief = { id: "agent-1", state: "leaving" } as const;
      expect(getMistaken(network, belief)).toEqual([]);
      stopAll(network);
    });
  });

  it("is not brought back by a list that still calls it live", async () => {
    const network = createFleetNetwork({ seed: 6, routers: 6, agents: 6 });
    await jest.advanceTimersByTimeAsync(1_000);
    leave(network, "agent");
    for (let second = 0; second < 5; second++) {
      await jest.advanceTimersByTimeAsync(1_000);
      readList(network, getList(network, undefined));
    }
    const belief = { id: "agent-1", state: "leaving" } as const;
    expect(getMistaken(network, belief)).toEqual([]);
    stopAll(network);
  });
});

async function createDisturbed(fault: {
  readonly seed: number;
  readonly routers: number;
  readonly agents: number;
  readonly loss: number;
  readonly doubling: number;
  readonly longestDelayMs: number;
  readonly fanOut?: number;
  readonly pulls?: boolean;
}): Promise<Network> {
  const { fanOut = 3 } = fault;
  const network = createFleetNetwork({ ...fault, exchange: { fanOut } });
  await jest.advanceTimersByTimeAsync(1_000);
  network.setConditions({
    lossRate: fault.loss,
    duplicationRate: fault.doubling,
    delayMs: [1, fault.longestDelayMs],
  });
  return network;
}

function leave(network: Network, source: string): void {
  if (source === "agent") {
    getNode(network, "agent-1").exchange.announce("leaving");
  } else readList(network, getList(network, "vm-1"));
}

/** Agent 1 leaves, ends, and starts again as another incarnation. */
async function flap(network: Network): Promise<Member> {
  const node = getNode(network, "agent-1");
  node.exchange.announce("leaving");
  await jest.advanceTimersByTimeAsync(500);
  node.exchange.announce("dead");
  await jest.advanceTimersByTimeAsync(100);
  network.kill(node);
  await jest.advanceTimersByTimeAsync(1_000);
  const rejoined = createMember(1, { incarnation: 1_700_000_100_000 });
  const started = network.add(rejoined);
  started.exchange.start();
  // A process greets until somebody answers.
  for (let round = 0; round < 4; round++) {
    started.exchange.announceTo({ address: "10.1.0.2", port: 7_001 });
    started.exchange.announceTo({ address: "10.1.0.0", port: 7_001 });
    await jest.advanceTimersByTimeAsync(300);
  }
  return rejoined;
}

function getRecords(network: Network): readonly Member[] {
  return getRunning(network).map(({ exchange }) =>
    exchange.membership.getSelf()
  );
}

function getList(network: Network, leaving: string | undefined): Vm[] {
  return getRecords(network).map(({ vm, address, zone }) => ({
    id: vm,
    address,
    zone,
    state: vm === leaving ? "leaving" : "live",
  }));
}

/** One router on watch reads the list. */
function readList(network: Network, vms: readonly Vm[]): void {
  getNode(network, "router-0").exchange.mergeVms(vms);
}

function stopAll(network: Network): void {
  getRunning(network).forEach(network.kill);
}
