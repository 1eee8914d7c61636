/** Starts routers, agents and stand-ins in one process, over loopback. */

import { Server as GrpcServer, ServerCredentials } from "@grpc/grpc-js";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createMetrics } from "../../src/process/telemetry/metrics.ts";
import { createAgentRole } from "../../src/roles/agent.ts";
import { createRouterRole } from "../../src/roles/router.ts";
import type { Configuration, Service } from "../../src/types/configuration.ts";
import type { Member } from "../../src/types/member.ts";
import type { ConfigurationStore, Role } from "../../src/types/role.ts";
import type {
  AgentSettings,
  CommonSettings,
  RouterSettings,
} from "../../src/types/settings.ts";
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from "../fakes/memory_platform.ts";
import { defaultEngineSettings } from "../stand_ins/engine/engine.ts";
import { type EngineServer, startEngine } from "../stand_ins/engine/server.ts";
import { createLink } from "../stand_ins/relay/link.ts";
import { type Relay, startTcpRelay } from "../stand_ins/relay/tcp.ts";
import {
  defaultServiceSettings,
  type ServiceServer,
  startService,
} from "../stand_ins/service/server.ts";
import { createPorts } from "../harness/ports.ts";
import {
  createMember,
  createStaticFleet,
  type SharedMembers,
} from "./static_fleet.ts";

/** Name of the fleet's model service. */
export const modelService = "chat-model";

/** Name of the fleet's plain service. */
export const plainService = "order-service";

const ports = createPorts();

const defaultService: Service = {
  kind: "model",
  loadMultiple: 1.25,
  slots: 64,
  queueLimit: 64,
  priorityWeights: { interactive: 4, background: 1 },
  retryBudget: 0.2,
  checksFencing: true,
  routes: [],
};

const configuration: Configuration = {
  version: 1,
  services: new Map([
    [modelService, defaultService],
    [plainService, {
      ...defaultService,
      kind: "plain",
      routes: [{ method: "GET", pathPrefix: "/", repeatable: true }],
    }],
  ]),
  workspaces: new Map([
    ["team-1", { weight: 1, requestsPerSecond: 0, services: [] }],
    ["team-2", {
      weight: 1,
      requestsPerSecond: 0,
      services: [plainService],
    }],
  ]),
};

/** A router that accepts requests. */
export interface RunningRouter {
  readonly url: string;
  readonly role: Role;
}

/** An agent with its own gRPC server. */
export interface RunningAgent {
  readonly role: Role;
  readonly grpc: GrpcServer;
  readonly member: Member;
}

/** A running fleet with its platform and members. */
export interface SmallFleet {
  readonly platform: MemoryPlatform;
  readonly shared: SharedMembers;
  readonly routers: readonly RunningRouter[];
  readonly engines: readonly EngineServer[];
  readonly services: readonly ServiceServer[];
  readonly agents: readonly RunningAgent[];
  /** Resets all connections between routers and agents. */
  resetConnections(): void;
  stop(): Promise<void>;
}

/** Sizes and limits of a fleet. */
export interface SmallFleetOptions {
  readonly routers: number;
  readonly engines: number;
  readonly services: number;
  readonly maxInFlight?: number;
  readonly maxBodyBytes?: number;
  /** Time that an engine takes per output token, in milliseconds. */
  readonly tokenMs?: number;
  readonly shutdownMs?: number;
}

/** Starts a fleet whose members know each other from the start. */
export async function startSmallFleet(
  options: SmallFleetOptions,
): Promise<SmallFleet> {
  const platform = createMemoryPlatform();
  const shared: SharedMembers = { members: new Map() };
  const engines: EngineServer[] = [];
  const services: ServiceServer[] = [];
  const agents: RunningAgent[] = [];
  const routers: RunningRouter[] = [];
  const relays: Relay[] = [];
  for (let index = 0; index < options.engines; index++) {
    const engine = await startEngine({
      ...defaultEngineSettings,
      slots: 64,
      tokenMs: options.tokenMs ?? 1,
      promptTokenUs: 1,
      id: `engine-${index}`,
    }, { port: 0 });
    engines.push(engine);
    agents.push(
      await startAgent(`model-agent-${index}`, {
        service: modelService,
        kind: "model",
        targetPort: engine.port,
      }),
    );
  }
  for (let index = 0; index < options.services; index++) {
    const service = await startService(
      { ...defaultServiceSettings, id: `service-${index}` },
      { port: 0 },
    );
    services.push(service);
    agents.push(
      await startAgent(`plain-agent-${index}`, {
        service: plainService,
        kind: "plain",
        targetPort: service.port,
      }),
    );
  }
  for (let index = 0; index < options.routers; index++) {
    routers.push(await startRouter(`router-${index}`));
  }
  return {
    platform,
    shared,
    routers,
    engines,
    services,
    agents,
    resetConnections: () => relays.forEach((relay) => relay.reset()),
    stop,
  };

  async function startAgent(
    id: string,
    target: Pick<AgentSettings, "service" | "kind"> & {
      readonly targetPort: number;
    },
  ): Promise<RunningAgent> {
    const grpc = new GrpcServer();
    const grpcPort = await ports.allocate();
    const relay = await startTcpRelay({
      address: "127.0.0.1",
      port: 0,
      targetAddress: "127.0.0.1",
      targetPort: grpcPort,
    }, createLink());
    relays.push(relay);
    const settings: AgentSettings = {
      ...createCommonSettings(id),
      grpcPort,
      role: "agent",
      service: target.service,
      kind: target.kind,
      target: `http://127.0.0.1:${target.targetPort}`,
      weight: 100,
      keptAnswerBytes: 1_000_000,
      keptAnswerMs: 60_000,
    };
    const member = createMember({
      id,
      role: "agent",
      service: target.service,
      grpcPort: relay.port,
      incarnation: Date.now(),
    });
    const role = await createAgentRole({
      settings,
      fleet: createStaticFleet(shared, member),
      configuration: createConfigurationStore(),
      platform,
      log: createSilentLog(),
      metrics: createMetrics(),
      server: grpc,
    });
    await bind(grpc, grpcPort);
    return { role, grpc, member };
  }

  async function startRouter(id: string): Promise<RunningRouter> {
    const callerPort = await ports.allocate();
    const settings: RouterSettings = {
      ...createCommonSettings(id),
      role: "router",
      callerPort,
      maxBodyBytes: options.maxBodyBytes ?? 1_000_000,
      maxInFlight: options.maxInFlight ?? 1_000,
    };
    const self = createMember({ id, role: "router", incarnation: Date.now() });
    const role = await createRouterRole({
      settings,
      fleet: createStaticFleet(shared, self),
      configuration: createConfigurationStore(),
      platform,
      log: createSilentLog(),
      metrics: createMetrics(),
      server: new GrpcServer(),
    });
    return { url: `http://127.0.0.1:${callerPort}`, role };
  }

  function createCommonSettings(id: string): CommonSettings {
    return {
      id,
      address: "127.0.0.1",
      zone: "zone-a",
      region: "region-a",
      vm: id,
      platform: { keyValue: "", vmList: "", callsPerSecond: 100 },
      seeds: [],
      grpcPort: 0,
      gossipPort: 0,
      adminPort: 0,
      controlBytesPerSecond: 22_000,
      shutdownMs: options.shutdownMs ?? 2_000,
      logLevel: "error",
    };
  }

  async function stop(): Promise<void> {
    await Promise.all(routers.map(({ role }) => role.stop()));
    for (const { role, grpc } of agents) {
      grpc.forceShutdown();
      await role.stop();
    }
    await Promise.all(relays.map((relay) => relay.close()));
    await Promise.all(engines.map((engine) => engine.close()));
    await Promise.all(services.map((service) => service.close()));
  }
}

/** Creates a store with a configuration that never changes. */
function createConfigurationStore(): ConfigurationStore {
  return {
    getConfiguration: () => configuration,
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

function bind(server: GrpcServer, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(
      `127.0.0.1:${port}`,
      ServerCredentials.createInsecure(),
      (error, boundPort) => (error ? reject(error) : resolve(boundPort)),
    );
  });
}
