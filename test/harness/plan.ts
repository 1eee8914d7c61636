/** Settings and configuration of a fleet on loopback. */

/** Ports of one router or agent. */
export interface ProcessPorts {
  readonly grpcPort: number;
  readonly gossipPort: number;
  readonly adminPort: number;
  /** Port for callers; unused for an agent. */
  readonly callerPort: number;
}

/** The settings of one router or agent. */
export interface PlannedProcess extends ProcessPorts {
  readonly id: string;
  readonly role: "router" | "agent";
  readonly zone: string;
  /** Service of an agent's target; empty for a router. */
  readonly service: string;
  readonly kind: "model" | "plain";
  /** Base URL of an agent's target; empty for a router. */
  readonly target: string;
  /** Base URL at which this process reaches the platform. */
  readonly platform: string;
  /** Gossip addresses of the processes that were planned before. */
  readonly seeds: readonly string[];
  readonly shutdownMs: number;
}

/** Availability zones of the fleet on loopback. */
export const zones: readonly string[] = ["zone-a", "zone-b", "zone-c"];

/** Returns the text of a process's settings file, as JSON with comments. */
export function formatSettings(planned: PlannedProcess): string {
  const common = {
    role: planned.role,
    id: planned.id,
    address: "127.0.0.1",
    zone: planned.zone,
    region: "region-1",
    vm: `vm-${planned.id}`,
    platform: {
      keyValue: planned.platform,
      vmList: planned.platform,
      callsPerSecond: 200,
    },
    seeds: planned.seeds,
    grpcPort: planned.grpcPort,
    gossipPort: planned.gossipPort,
    adminPort: planned.adminPort,
    controlBytesPerSecond: 22_000,
    shutdownMs: planned.shutdownMs,
    logLevel: "info",
  };
  const roleSettings = planned.role === "router"
    ? {
      callerPort: planned.callerPort,
      maxBodyBytes: 1_048_576,
      maxInFlight: 1000,
    }
    : {
      service: planned.service,
      target: planned.target,
      kind: planned.kind,
      weight: 100,
      keptAnswerBytes: 33_554_432,
      keptAnswerMs: 600_000,
    };
  const settings = JSON.stringify({ ...common, ...roleSettings }, undefined, 2);
  return `// Settings of ${planned.id}, written by the test harness.\n${settings}\n`;
}

/** Returns the operations of the first patch: services and workspaces. */
export function getInitialOperations(): readonly object[] {
  const policy = {
    loadMultiple: 1.25,
    slots: 8,
    queueLimit: 32,
    priorityWeights: { interactive: 4, background: 1 },
    retryBudget: 0.2,
    checksFencing: true,
  };
  return [
    {
      kind: "put_service",
      name: "chat-model",
      value: { ...policy, kind: "model", routes: [] },
    },
    {
      kind: "put_service",
      name: "order-service",
      value: {
        ...policy,
        kind: "plain",
        routes: [
          { method: "GET", pathPrefix: "/proofs/", repeatable: true },
          { method: "POST", pathPrefix: "/orders", repeatable: false },
        ],
      },
    },
    {
      kind: "put_workspace",
      name: "team-1",
      value: { weight: 1, requestsPerSecond: 0, services: [] },
    },
  ];
}
