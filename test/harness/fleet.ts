/** Starts a fleet on loopback: stand-ins, routers and agents. */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Child, startChild } from "./child.ts";
import { callHttp, tryCallHttp } from "./http.ts";
import {
  formatSettings,
  getInitialOperations,
  type PlannedProcess,
  zones,
} from "./plan.ts";
import { createPorts } from "./ports.ts";
import { waitFor } from "./wait.ts";

/** Size and settings of a fleet. */
export interface FleetOptions {
  readonly routers: number;
  readonly engines: number;
  readonly services: number;
  /** Settings of the engine stand-ins that override the defaults. */
  readonly engineSettings?: object;
  /** Settings of the service stand-ins that override the defaults. */
  readonly serviceSettings?: object;
  /** Command that starts a router or an agent; by default the binary. */
  readonly product?: readonly string[];
  readonly shutdownMs?: number;
  /** Copies the output of routers and agents to standard error. */
  readonly echo?: boolean;
}

/** A running stand-in. */
export interface StandIn {
  readonly id: string;
  readonly url: string;
  readonly child: Child;
}

/** A running router or agent. */
export interface RunningProcess extends PlannedProcess {
  readonly child: Child;
  readonly settingsFile: string;
  readonly adminUrl: string;
  /** Base URL for callers; unused for an agent. */
  readonly callerUrl: string;
  /** Time from the start of the process until it is ready, in ms. */
  readonly readyMs: number;
}

/** A running fleet. */
export interface TestFleet {
  readonly platform: StandIn;
  readonly relay: StandIn;
  readonly engines: readonly StandIn[];
  readonly services: readonly StandIn[];
  readonly routers: readonly RunningProcess[];
  /** Agents of the engines, in the order of `engines`. */
  readonly engineAgents: readonly RunningProcess[];
  /** Agents of the plain services, in the order of `services`. */
  readonly serviceAgents: readonly RunningProcess[];
  getProcesses(): readonly RunningProcess[];
  getChildren(): readonly Child[];
  /** Starts a router or an agent again with the same settings. */
  restart(running: RunningProcess): Promise<RunningProcess>;
  /** Starts a stand-in again with the same settings and URL. */
  restartStandIn(standIn: StandIn): Promise<StandIn>;
  /** Starts another router; `platform` may be the URL of the relay. */
  addRouter(
    id: string,
    options?: { readonly platform?: string },
  ): Promise<RunningProcess>;
  /** Submits a patch on top of a version through a router. */
  patch(
    router: RunningProcess,
    options: {
      readonly id: string;
      readonly baseVersion: number;
      readonly operations: readonly object[];
    },
  ): Promise<number>;
  /** Kills all processes and removes their settings files. */
  stop(): Promise<void>;
}

const standInsBundle = "dist/stand_ins.cjs";

/** Command of the built binary. */
export const binaryCommand: readonly string[] = ["dist/mimosatray"];

/** Starts a fleet, sets its configuration and waits until it is ready. */
export async function startFleet(options: FleetOptions): Promise<TestFleet> {
  const ports = createPorts();
  const directory = mkdtempSync(join(tmpdir(), "mimosatray-"));
  const product = options.product ?? binaryCommand;
  const children: Child[] = [];
  const standInCommands = new Map<string, readonly string[]>();
  const processes = new Map<string, RunningProcess>();
  const seeds: string[] = [];

  try {
    return await start();
  } catch (error) {
    await stop();
    throw error;
  }

  async function start(): Promise<TestFleet> {
    const [platform, relay, engines, services] = await Promise.all([
      startStandIn("platform", "platform"),
      startStandIn("relay", "relay"),
      startTargets("engine", options.engines, options.engineSettings),
      startTargets("service", options.services, options.serviceSettings),
    ]);
    const routerPlans = await Promise.all(
      range(options.routers).map((index) =>
        planRouter(`router-${index + 1}`, { index, platform: platform.url })
      ),
    );
    const engineAgentPlans = await Promise.all(
      engines.map((target, index) =>
        planAgent(target, { index, service: "chat-model", kind: "model" })
      ),
    );
    const serviceAgentPlans = await Promise.all(
      services.map((target, index) =>
        planAgent(target, { index, service: "order-service", kind: "plain" })
      ),
    );
    await publishVms(platform, [
      ...routerPlans,
      ...engineAgentPlans,
      ...serviceAgentPlans,
    ]);
    const [routers, engineAgents, serviceAgents] = await Promise.all(
      [routerPlans, engineAgentPlans, serviceAgentPlans]
        .map((plans) =>
          Promise.all(plans.map((planProcess) => startProduct(planProcess)))
        ),
    ) as [RunningProcess[], RunningProcess[], RunningProcess[]];
    const fleet: TestFleet = {
      platform,
      relay,
      engines,
      services,
      routers,
      engineAgents,
      serviceAgents,
      getProcesses: () => [...processes.values()],
      getChildren: () => children,
      restart: startProduct,
      restartStandIn,
      addRouter,
      patch,
      stop,
    };
    await applyInitialConfiguration(fleet);
    return fleet;

    function planAgent(
      target: StandIn,
      { index, service, kind }: {
        readonly index: number;
        readonly service: string;
        readonly kind: "model" | "plain";
      },
    ): Promise<PlannedProcess> {
      return plan({
        id: `agent-${target.id}`,
        role: "agent",
        index,
        service,
        kind,
        target: target.url,
        platform: platform.url,
      });
    }

    async function addRouter(
      id: string,
      routerOptions: { readonly platform?: string } = {},
    ): Promise<RunningProcess> {
      const index = processes.size;
      const base = routerOptions.platform ?? platform.url;
      return await startProduct(
        await planRouter(id, { index, platform: base }),
      );
    }
  }

  /** Sets the platform's VM list, with one VM per process. */
  async function publishVms(
    platform: StandIn,
    plans: readonly PlannedProcess[],
  ): Promise<void> {
    const vms = plans.map(({ id, zone, gossipPort }) => ({
      id: `vm-${id}`,
      address: `127.0.0.1:${gossipPort}`,
      zone,
      state: "live",
    }));
    await callHttp(`${platform.url}/faults/vms`, { body: { vms } });
  }

  /** Submits the initial configuration and waits until it is in force. */
  async function applyInitialConfiguration(fleet: TestFleet): Promise<void> {
    const [first] = fleet.routers;
    if (first === undefined) return;
    const version = await patch(first, {
      id: "first",
      baseVersion: 0,
      operations: getInitialOperations(),
    });
    await Promise.all(
      fleet.getProcesses().map((running) => waitForVersion(running, version)),
    );
    await Promise.all(
      fleet.routers.map((router) =>
        waitFor(`all agents at ${router.id}`, async () => {
          const status = await tryCallHttp(`${router.adminUrl}/status`);
          const live = status?.json?.["members"]?.["agents_live"];
          return Number(live) === options.engines + options.services;
        })
      ),
    );
  }

  function planRouter(
    id: string,
    options: { readonly index: number; readonly platform: string },
  ): Promise<PlannedProcess> {
    return plan({
      ...options,
      id,
      role: "router",
      service: "",
      kind: "model",
      target: "",
    });
  }

  async function plan(
    spec:
      & Pick<
        PlannedProcess,
        "id" | "role" | "service" | "kind" | "target" | "platform"
      >
      & { readonly index: number },
  ): Promise<PlannedProcess> {
    const { index, ...fields } = spec;
    const planned = {
      ...fields,
      zone: zones[index % zones.length] ?? "",
      grpcPort: await ports.allocate(),
      gossipPort: await ports.allocate(),
      adminPort: await ports.allocate(),
      callerPort: await ports.allocate(),
      seeds: [...seeds],
      shutdownMs: options.shutdownMs ?? 10_000,
    };
    seeds.push(`127.0.0.1:${planned.gossipPort}`);
    return planned;
  }

  async function startProduct(
    planned: PlannedProcess,
  ): Promise<RunningProcess> {
    const settingsFile = join(directory, `${planned.id}.jsonc`);
    writeFileSync(settingsFile, formatSettings(planned));
    const child = track(startChild(
      planned.id,
      [...product, planned.role, settingsFile],
      { echo: options.echo ?? false },
    ));
    const adminUrl = `http://127.0.0.1:${planned.adminPort}`;
    await waitFor(`${planned.id} to be ready`, async () => {
      if (!child.isRunning()) throw createStartError(child);
      return (await tryCallHttp(`${adminUrl}/readyz`))?.status === 200;
    });
    const running = {
      ...planned,
      child,
      settingsFile,
      adminUrl,
      callerUrl: `http://127.0.0.1:${planned.callerPort}`,
      readyMs: Math.round(performance.now() - child.startedAt),
    };
    processes.set(planned.id, running);
    return running;
  }

  async function startTargets(
    kind: "engine" | "service",
    count: number,
    settings: object = {},
  ): Promise<readonly StandIn[]> {
    return await Promise.all(
      range(count).map((index) =>
        startStandIn(kind, `${kind}-${index + 1}`, settings)
      ),
    );
  }

  async function startStandIn(
    kind: string,
    id: string,
    settings: object = {},
  ): Promise<StandIn> {
    const port = await ports.allocate();
    standInCommands.set(id, [
      process.execPath,
      standInsBundle,
      kind,
      "--id",
      id,
      "--port",
      String(port),
      "--settings",
      JSON.stringify(settings),
    ]);
    return await startStandInAt(id, `http://127.0.0.1:${port}`);
  }

  async function startStandInAt(id: string, url: string): Promise<StandIn> {
    const command = standInCommands.get(id) ?? [];
    const child = track(startChild(id, command));
    await waitFor(`${id} to listen`, () => {
      if (!child.isRunning()) throw createStartError(child);
      return child.getStandardOutput().includes('"ready"');
    });
    return { id, url, child };
  }

  async function restartStandIn({ id, url }: StandIn): Promise<StandIn> {
    return await startStandInAt(id, url);
  }

  function track(child: Child): Child {
    children.push(child);
    return child;
  }

  async function patch(
    router: RunningProcess,
    draft: {
      readonly id: string;
      readonly baseVersion: number;
      readonly operations: readonly object[];
    },
  ): Promise<number> {
    const response = await callHttp(`${router.adminUrl}/config/patches`, {
      body: { operator: "harness", ...draft },
    });
    const version = Number(response.json?.["version"]);
    if (!Number.isInteger(version)) {
      throw new Error(
        `Patch ${draft.id} failed: ${response.status} ${response.text}`,
      );
    }
    return version;
  }

  async function stop(): Promise<void> {
    await Promise.all(children.map((child) => child.kill()));
    rmSync(directory, { recursive: true, force: true });
  }
}

/** Waits until a process has a configuration version in force. */
export async function waitForVersion(
  running: RunningProcess,
  version: number,
  options: { readonly timeoutMs?: number } = {},
): Promise<void> {
  await waitFor(`version ${version} at ${running.id}`, async () => {
    const status = await tryCallHttp(`${running.adminUrl}/status`);
    return Number(status?.json?.["configurationVersion"]) >= version;
  }, options);
}

function createStartError(child: Child): Error {
  const lines = child.getLines().slice(-10).join("\n");
  return new Error(`${child.name} exited during its start:\n${lines}`);
}

function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}
