import { createMemoryPlatform } from "../../test/fakes/memory_platform.ts";
import { createControlBudget } from "../process/membership/control_budget.ts";
import type { Endpoint, Exchange } from "../process/membership/exchange.ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import type { Member } from "../types/member.ts";
import type { Settings } from "../types/settings.ts";
import { createFleetJoin, type FleetJoin } from "./fleet_join.ts";

const settings = {
  address: "127.0.0.1",
  gossipPort: 9000,
  seeds: ["127.0.0.1:9001", "127.0.0.1:9002"],
} as unknown as Settings;

describe("fleet join", () => {
  let fleetJoin: FleetJoin;
  let peers: Member[];
  let announcedPorts: number[];

  beforeEach(() => {
    jest.useFakeTimers();
    peers = [];
    announcedPorts = [];
    const exchange = {
      membership: {
        getPeers: () => peers,
        getSelf: () => createPeer(9000),
        table: { getAll: () => peers },
      },
      isInSync: () => true,
      announceTo: ({ port }: Endpoint) => announcedPorts.push(port),
      mergeVms: () => undefined,
    } as unknown as Exchange;
    fleetJoin = createFleetJoin({
      settings,
      platform: createMemoryPlatform(),
      log: createSilentLog(),
      exchange,
      budget: createControlBudget({ bytesPerSecond: 22_000 }),
    });
  });
  afterEach(() => {
    fleetJoin.stop();
    jest.useRealTimers();
  });

  it("announces itself to its seeds until it knows a member", async () => {
    const joined = fleetJoin.join();
    await jest.advanceTimersByTimeAsync(10);
    expect(announcedPorts.sort()).toEqual([9001, 9002]);
    peers = [createPeer(9001)];
    await jest.advanceTimersByTimeAsync(300);
    await joined;
  });

  it("keeps announcing itself to a seed that is not a member", async () => {
    const joined = fleetJoin.join();
    peers = [createPeer(9001)];
    await jest.advanceTimersByTimeAsync(300);
    await joined;
    announcedPorts = [];
    await jest.advanceTimersByTimeAsync(3000);
    expect(new Set(announcedPorts)).toEqual(new Set([9002]));
    peers = [createPeer(9001), createPeer(9002)];
    announcedPorts = [];
    await jest.advanceTimersByTimeAsync(3000);
    expect(announcedPorts).toEqual([]);
  });
});

function createPeer(gossipPort: number): Member {
  return {
    id: `agent-${gossipPort}`,
    role: "agent",
    address: "127.0.0.1",
    gossipPort,
    zone: "zone-a",
    state: "live",
  } as Member;
}
