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
  let joining: FleetJoin;
  let peers: Member[];
  let greeted: number[];

  beforeEach(() => {
    jest.useFakeTimers();
    peers = [];
    greeted = [];
    const exchange = {
      membership: {
        getPeers: () => peers,
        getSelf: () => createPeer(9000),
        table: { getAll: () => peers },
      },
      isInSync: () => true,
      announceTo: ({ port }: Endpoint) => greeted.push(port),
      mergeVms: () => undefined,
    } as unknown as Exchange;
    joining = createFleetJoin({
      settings,
      platform: createMemoryPlatform(),
      log: createSilentLog(),
      exchange,
      budget: createControlBudget({ bytesPerSecond: 22_000 }),
    });
  });
  afterEach(() => {
    joining.stop();
    jest.useRealTimers();
  });

  it("greets its seeds until it knows a member", async () => {
    const joined = joining.join();
    await jest.advanceTimersByTimeAsync(10);
    expect(greeted.sort()).toEqual([9001, 9002]);
    peers = [createPeer(9001)];
    await jest.advanceTimersByTimeAsync(300);
    await joined;
  });

  it("goes on to greet a seed of another group", async () => {
    const joined = joining.join();
    peers = [createPeer(9001)];
    await jest.advanceTimersByTimeAsync(300);
    await joined;
    greeted = [];
    await jest.advanceTimersByTimeAsync(3000);
    expect(new Set(greeted)).toEqual(new Set([9002]));
    peers = [createPeer(9001), createPeer(9002)];
    greeted = [];
    await jest.advanceTimersByTimeAsync(3000);
    expect(greeted).toEqual([]);
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
