import fc from "fast-check";
import type { Member } from "../../src/types/member.ts";
import type { Vm } from "../../src/types/platform.ts";
import { createMember, type Network } from "../support/exchange_network.ts";
import {
  createFleetNetwork,
  getDisagreeingIds,
  getNode,
  getRunning,
  testTimeoutMs,
} from "./fleet_network.ts";

jest.setTimeout(testTimeoutMs);

/** Time within which all members know a leaving target, in milliseconds. */
const leavingTimeoutMs = 3_000;

const networkFaults = fc.record({
  seed: fc.nat(1_000_000),
  routers: fc.integer({ min: 3, max: 20 }),
  agents: fc.integer({ min: 3, max: 20 }),
  lossRate: fc.double({ min: 0, max: 0.2, noNaN: true }),
  duplicationRate: fc.double({ min: 0, max: 0.2, noNaN: true }),
  maxDelayMs: fc.integer({ min: 1, max: 200 }),
  source: fc.constantFrom("agent", "list"),
});

describe("a leaving target", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("is known everywhere within 3 s despite lost messages", async () => {
    await fc.assert(
      fc.asyncProperty(networkFaults, async (fault) => {
        const network = await createFaultyNetwork(fault);
        startLeaving(network, fault.source);
        await jest.advanceTimersByTimeAsync(leavingTimeoutMs);
        const belief = { id: "agent-1", state: "leaving" } as const;
        expect(getDisagreeingIds(network, belief)).toEqual([]);
        stopAll(network);
      }),
      { seed: 41, numRuns: 25 },
    );
  });

  it("is not known everywhere without gossip and pulls", async () => {
    const network = await createFaultyNetwork({
      seed: 1,
      routers: 20,
      agents: 20,
      lossRate: 0.1,
      duplicationRate: 0,
      maxDelayMs: 50,
      fanOut: 0,
      pulls: false,
    });
    startLeaving(network, "agent");
    await jest.advanceTimersByTimeAsync(leavingTimeoutMs);
    const belief = { id: "agent-1", state: "leaving" } as const;
    expect(getDisagreeingIds(network, belief).length).toBeGreaterThan(0);
    stopAll(network);
  });

  it("is known to routers that missed its join", async () => {
    const network = createFleetNetwork({ seed: 4, routers: 12, agents: 6 });
    const joined = network.add(createMember(50));
    const half = getRunning(network).filter((_node, index) => index % 2 === 0);
    const record = joined.exchange.membership.getSelf();
    half.forEach(({ exchange }) => exchange.mergeMembers([record]));
    joined.exchange.mergeMembers(getSelfRecords(network));
    joined.exchange.announce("leaving");
    await jest.advanceTimersByTimeAsync(leavingTimeoutMs);
    const belief = { id: "agent-50", state: "leaving" } as const;
    expect(getDisagreeingIds(network, belief)).toEqual([]);
    stopAll(network);
  });

  describe("that restarts while the VM list still shows it as leaving", () => {
    it("becomes live everywhere and stays live", async () => {
      await fc.assert(
        fc.asyncProperty(networkFaults, async (fault) => {
          const network = await createFaultyNetwork(fault);
          const rejoined = await restartAfterLeaving(network);
          const list = createVmList(network, "vm-1");
          for (let second = 0; second < 8; second++) {
            mergeVmList(network, list);
            await jest.advanceTimersByTimeAsync(1_000);
          }
          const { incarnation } = rejoined;
          const belief = { id: "agent-1", state: "live", incarnation } as const;
          expect(getDisagreeingIds(network, belief)).toEqual([]);
          stopAll(network);
        }),
        { seed: 43, numRuns: 15 },
      );
    });

    it("is hidden when the list entry applies to any incarnation", async () => {
      const network = createFleetNetwork({ seed: 2, routers: 6, agents: 6 });
      await jest.advanceTimersByTimeAsync(1_000);
      const rejoined = await restartAfterLeaving(network);
      // The naive merge applies the entry to any incarnation on the VM.
      const naive: Member = { ...rejoined, state: "leaving" };
      getNode(network, "router-0").exchange.mergeMembers([naive]);
      await jest.advanceTimersByTimeAsync(8_000);
      const { incarnation } = rejoined;
      const belief = { id: "agent-1", state: "live", incarnation } as const;
      expect(getDisagreeingIds(network, belief).length).toBeGreaterThan(0);
      stopAll(network);
    });

    it("leaves again when the list changes from live to leaving", async () => {
      const network = createFleetNetwork({ seed: 2, routers: 6, agents: 6 });
      await jest.advanceTimersByTimeAsync(1_000);
      await restartAfterLeaving(network);
      mergeVmList(network, createVmList(network, "vm-1"));
      mergeVmList(network, createVmList(network, undefined));
      await jest.advanceTimersByTimeAsync(61_000);
      mergeVmList(network, createVmList(network, "vm-1"));
      await jest.advanceTimersByTimeAsync(leavingTimeoutMs);
      const belief = { id: "agent-1", state: "leaving" } as const;
      expect(getDisagreeingIds(network, belief)).toEqual([]);
      stopAll(network);
    });
  });

  it("stays leaving while the VM list still shows it as live", async () => {
    const network = createFleetNetwork({ seed: 6, routers: 6, agents: 6 });
    await jest.advanceTimersByTimeAsync(1_000);
    startLeaving(network, "agent");
    for (let second = 0; second < 5; second++) {
      await jest.advanceTimersByTimeAsync(1_000);
      mergeVmList(network, createVmList(network, undefined));
    }
    const belief = { id: "agent-1", state: "leaving" } as const;
    expect(getDisagreeingIds(network, belief)).toEqual([]);
    stopAll(network);
  });
});

async function createFaultyNetwork(fault: {
  readonly seed: number;
  readonly routers: number;
  readonly agents: number;
  readonly lossRate: number;
  readonly duplicationRate: number;
  readonly maxDelayMs: number;
  readonly fanOut?: number;
  readonly pulls?: boolean;
}): Promise<Network> {
  const { fanOut = 3 } = fault;
  const network = createFleetNetwork({ ...fault, exchange: { fanOut } });
  await jest.advanceTimersByTimeAsync(1_000);
  network.setConditions({
    lossRate: fault.lossRate,
    duplicationRate: fault.duplicationRate,
    delayMs: [1, fault.maxDelayMs],
  });
  return network;
}

function startLeaving(network: Network, source: string): void {
  if (source === "agent") {
    getNode(network, "agent-1").exchange.announce("leaving");
  } else mergeVmList(network, createVmList(network, "vm-1"));
}

/** Makes agent 1 leave, stop and restart with a new incarnation. */
async function restartAfterLeaving(network: Network): Promise<Member> {
  const node = getNode(network, "agent-1");
  node.exchange.announce("leaving");
  await jest.advanceTimersByTimeAsync(500);
  node.exchange.announce("dead");
  await jest.advanceTimersByTimeAsync(100);
  network.kill(node);
  await jest.advanceTimersByTimeAsync(1_000);
  const rejoined = createMember(1, { incarnation: 1_700_000_100_000 });
  const restarted = network.add(rejoined);
  restarted.exchange.start();
  // A process sends hello messages until a member responds.
  for (let round = 0; round < 4; round++) {
    restarted.exchange.announceTo({ address: "10.1.0.2", port: 7_001 });
    restarted.exchange.announceTo({ address: "10.1.0.0", port: 7_001 });
    await jest.advanceTimersByTimeAsync(300);
  }
  return rejoined;
}

function getSelfRecords(network: Network): readonly Member[] {
  return getRunning(network).map(({ exchange }) =>
    exchange.membership.getSelf()
  );
}

function createVmList(network: Network, leaving: string | undefined): Vm[] {
  return getSelfRecords(network).map(({ vm, address, zone }) => ({
    id: vm,
    address,
    zone,
    state: vm === leaving ? "leaving" : "live",
  }));
}

/** Merges a VM list at one router, as the router that polls the list does. */
function mergeVmList(network: Network, vms: readonly Vm[]): void {
  getNode(network, "router-0").exchange.mergeVms(vms);
}

function stopAll(network: Network): void {
  getRunning(network).forEach(network.kill);
}
