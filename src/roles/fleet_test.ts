import { Server, ServerCredentials } from "@grpc/grpc-js";
import { createSocket } from "node:dgram";
import { createPorts } from "../../test/harness/ports.ts";
import { EitherAsync, Left } from "purify-ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import { createMetrics, type Metrics } from "../process/telemetry/metrics.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { ConfigurationStore, Fleet } from "../types/role.ts";
import type { Settings } from "../types/settings.ts";
import { createFleet } from "./fleet.ts";

const ports = createPorts();

describe("fleet over sockets", () => {
  const running: RunningFleet[] = [];

  afterEach(async () => {
    await Promise.all(running.map(({ fleet }) => fleet.stop()));
    running.forEach(({ server }) => server.forceShutdown());
    running.length = 0;
  });

  it("joins through the seeds while the platform is unavailable", async () => {
    const first = await startProcess("agent-1", []);
    const second = await startProcess("agent-2", [first.gossip]);
    await second.fleet.start();
    await waitUntil(() =>
      running.every(({ fleet }) =>
        fleet.members.getAvailableAgents("chat").length === 2
      )
    );
    second.fleet.announceLeaving();
    await waitUntil(() =>
      first.fleet.members.getAvailableAgents("chat").length === 1
    );
    expect(first.fleet.members.tryGetMember("agent-2")?.state).toBe("leaving");
  });

  it("counts and drops datagrams of another protocol", async () => {
    const { gossip, metrics } = await startProcess("agent-1", []);
    const [address, port] = gossip.split(":");
    const socket = createSocket("udp4");
    socket.send("GET / HTTP/1.1\r\n", Number(port), address);
    await waitUntil(() =>
      metrics.getCount("control_garbage_datagrams_total") === 1
    );
    await new Promise<void>((resolve) => socket.close(() => resolve()));
  });

  async function startProcess(
    id: string,
    seeds: readonly string[],
  ): Promise<RunningFleet> {
    const server = new Server();
    const metrics = createMetrics();
    const gossipPort = await ports.allocate();
    const settings = createSettings(id, { seeds, gossipPort });
    const fleet = createFleet({
      settings,
      platform: createUnavailablePlatform(),
      configuration: createEmptyConfiguration(),
      log: createSilentLog(),
      metrics,
      server,
    });
    await new Promise<void>((resolve, reject) => {
      server.bindAsync(
        `127.0.0.1:${settings.grpcPort}`,
        ServerCredentials.createInsecure(),
        (error) => (error === null ? resolve() : reject(error)),
      );
    });
    const process = {
      fleet,
      server,
      metrics,
      gossip: `127.0.0.1:${gossipPort}`,
    };
    running.push(process);
    void fleet.start();
    return process;
  }
});

interface RunningFleet {
  readonly fleet: Fleet;
  readonly server: Server;
  readonly metrics: Metrics;
  readonly gossip: string;
}

function createSettings(
  id: string,
  options: { readonly seeds: readonly string[]; readonly gossipPort: number },
): Settings {
  return {
    role: "agent",
    id,
    address: "127.0.0.1",
    zone: "zone-a",
    region: "region-1",
    vm: id,
    platform: { keyValue: "", vmList: "", callsPerSecond: 1 },
    grpcPort: options.gossipPort,
    adminPort: 0,
    controlBytesPerSecond: 22_000,
    shutdownMs: 1_000,
    logLevel: "error",
    service: "chat",
    target: "",
    kind: "model",
    weight: 100,
    keptAnswerBytes: 0,
    keptAnswerMs: 0,
    ...options,
  };
}

function createUnavailablePlatform(): Platform {
  const error: PlatformError = {
    kind: "unavailable",
    message: "",
    retryAfterMs: 0,
  };
  const fail = <Value>(): EitherAsync<PlatformError, Value> =>
    EitherAsync.liftEither<PlatformError, Value>(Left(error));
  return {
    get: fail,
    list: fail,
    put: fail,
    remove: fail,
    watch: fail,
    createLease: fail,
    renewLease: fail,
    listVms: fail,
  };
}

function createEmptyConfiguration(): ConfigurationStore {
  return {
    getConfiguration: () => ({
      version: 0,
      services: new Map(),
      workspaces: new Map(),
    }),
    onChange: () => undefined,
    onPatch: () => undefined,
    getChecksum: () => 0,
    offerPatches: () => undefined,
    handleVersion: () => undefined,
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    dump: () => ({}),
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
