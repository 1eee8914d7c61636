import {
  createMember,
  createNetwork,
  createPatch,
  type Network,
  type Node,
} from "../../../test/support/exchange_network.ts";

// Fake timers make the result independent of the duration of the run.
jest.setTimeout(120_000);

describe("exchange", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  describe("a new member", () => {
    it("is known everywhere after it contacts one member", async () => {
      const network = createFleet(30);
      await jest.advanceTimersByTimeAsync(1_000);
      const joiner = network.add(createMember(100));
      joiner.exchange.start();
      joiner.exchange.announceTo({ address: "10.1.0.3", port: 7_001 });
      await jest.advanceTimersByTimeAsync(5_000);
      expect(countTablesWith(network, "agent-100", "live")).toBe(31);
      expect(joiner.exchange.membership.table.getAll()).toHaveLength(31);
    });
  });

  describe("a member that stops without a leave announcement", () => {
    it("is the only dead member in every table", async () => {
      const network = createFleet(60);
      network.setConditions({ lossRate: 0.01 });
      await jest.advanceTimersByTimeAsync(5_000);
      network.kill(getNode(network, 7));
      await jest.advanceTimersByTimeAsync(12_000);
      const upNodes = network.nodes.filter(({ isUp }) => isUp);
      for (const { exchange } of upNodes) {
        const dead = exchange.membership.getDeadMembers().map(({ id }) => id);
        expect(dead).toEqual(["agent-7"]);
      }
    });
  });

  describe("a patch", () => {
    it("reaches all members within a second", async () => {
      const network = createFleet(60);
      await jest.advanceTimersByTimeAsync(1_000);
      const patch = createPatch(1);
      getNode(network, 0).exchange.spreadPatch(patch);
      await jest.advanceTimersByTimeAsync(1_000);
      const reached = network.nodes.filter(({ patches }) => patches.size === 1);
      expect(reached).toHaveLength(59);
    });
  });

  describe("a malformed datagram", () => {
    it("is dropped", () => {
      const network = createFleet(2);
      const from = { address: "10.9.9.9", port: 1 };
      const node = getNode(network, 0);
      for (const text of ["", "GET / HTTP/1.1", "\u0000\u0001"]) {
        node.exchange.receive(Buffer.from(text), from);
      }
      expect(node.exchange.membership.table.getAll()).toHaveLength(2);
    });
  });
});

function createFleet(size: number): Network {
  const network = createNetwork({ seed: 1 });
  for (let number = 0; number < size; number++) {
    network.add(createMember(number));
  }
  network.startAll();
  return network;
}

function getNode(network: Network, index: number): Node {
  const node = network.nodes[index];
  if (node === undefined) throw new Error(`There is no node ${index}`);
  return node;
}

function countTablesWith(network: Network, id: string, state: string): number {
  return network.nodes.filter(({ exchange }) =>
    exchange.membership.table.tryGet(id)?.state === state
  ).length;
}
