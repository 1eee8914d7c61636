/** Creates an in-memory host of an agent, for tests without a fleet. */

import { Server } from "@grpc/grpc-js";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createMetrics } from "../../src/process/telemetry/metrics.ts";
import type { AgentHost } from "../../src/roles/host.ts";
import type { Configuration, Service } from "../../src/types/configuration.ts";
import type { CrashView } from "../../src/types/view.ts";
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from "./memory_platform.ts";

/** Settings of the service that an agent under test belongs to. */
export const testService: Service = {
  kind: "model",
  loadMultiple: 1.25,
  slots: 4,
  queueLimit: 8,
  priorityWeights: { interactive: 4, background: 1 },
  retryBudget: 0.1,
  checksFencing: true,
  routes: [],
};

/** Incarnation of agents under test. */
export const testIncarnation = 1_000;

/** An agent's host with the state that tests inspect. */
export interface FakeAgentHost extends AgentHost {
  readonly platform: MemoryPlatform;
  readonly crashes: CrashView;
  isLeaving(): boolean;
}

/** Creates the crash records of one process. */
export function createCrashView(): CrashView {
  const crashes = new Map<string, number>();
  return {
    getCrashes: (fingerprint) => crashes.get(fingerprint) ?? 0,
    recordCrash: (fingerprint) => {
      crashes.set(fingerprint, (crashes.get(fingerprint) ?? 0) + 1);
    },
    clearCrashes: (fingerprint) => {
      crashes.delete(fingerprint);
    },
  };
}

/** Creates the host of an agent for a target. */
export function createAgentHost(
  target: string,
  options: {
    readonly service?: Partial<Service>;
    readonly platform?: MemoryPlatform;
    readonly shutdownMs?: number;
  } = {},
): FakeAgentHost {
  const service = { ...testService, ...options.service };
  const configuration: Configuration = {
    version: 1,
    services: new Map([["chat", service]]),
    workspaces: new Map(),
  };
  const crashes = createCrashView();
  let leaving = false;
  const unused = (): never => {
    throw new Error("An agent does not call this function");
  };
  return {
    settings: {
      role: "agent",
      id: "agent-a1",
      address: "127.0.0.1",
      zone: "zone-a",
      region: "region",
      vm: "vm-a1",
      platform: { keyValue: "", vmList: "", callsPerSecond: 10 },
      seeds: [],
      grpcPort: 0,
      gossipPort: 0,
      adminPort: 0,
      controlBytesPerSecond: 10_000,
      shutdownMs: options.shutdownMs ?? 2_000,
      logLevel: "error",
      service: "chat",
      target,
      kind: service.kind,
      weight: 100,
      keptAnswerBytes: 1_000_000,
      keptAnswerMs: 60_000,
    },
    platform: options.platform ?? createMemoryPlatform(),
    log: createSilentLog(),
    metrics: createMetrics(),
    server: new Server(),
    crashes,
    isLeaving: () => leaving,
    configuration: {
      getConfiguration: () => configuration,
      onChange: () => undefined,
      onPatch: () => undefined,
      getChecksum: () => 0,
      offerPatches: unused,
      handleVersion: unused,
      start: () => Promise.resolve(),
      stop: () => Promise.resolve(),
      dump: () => ({}),
    },
    fleet: {
      members: {
        getAvailableAgents: () => [],
        tryGetMember: () => undefined,
        getMembers: () => [],
        recordContact: () => undefined,
      },
      means: { getMean: () => ({ mean: 1_000, targets: 3, ageMs: 0 }) },
      crashes,
      limits: { acquire: () => Promise.resolve({ kind: "granted" }) },
      getSelf: () => ({
        id: "agent-a1",
        role: "agent",
        address: "127.0.0.1",
        grpcPort: 0,
        gossipPort: 0,
        zone: "zone-a",
        region: "region",
        vm: "vm-a1",
        service: "chat",
        incarnation: testIncarnation,
        version: 0,
        state: "live",
        weight: 100,
      }),
      setLoadSource: () => undefined,
      spreadPatch: unused,
      announceLeaving: () => {
        leaving = true;
      },
      start: () => Promise.resolve(),
      stop: () => Promise.resolve(),
      dump: () => ({}),
    },
  };
}
