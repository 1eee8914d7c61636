/** Assembles, starts and stops the components of one process. */

import { Server, ServerCredentials } from "@grpc/grpc-js";
import { openAdminListener } from "../connection/admin_listener.ts";
import { createOrderClient } from "../connection/order_client.ts";
import { maxMessageBytes } from "../connection/peer_connections.ts";
import { createPlatformClient } from "../connection/platform_client.ts";
import { createControlBudget } from "../process/membership/control_budget.ts";
import type { Log } from "../process/telemetry/log.ts";
import { createMetrics } from "../process/telemetry/metrics.ts";
import { assertNever } from "../types/assert.ts";
import type { Role, StopResult } from "../types/role.ts";
import type { Settings } from "../types/settings.ts";
import { createAdminRoutes } from "./admin_routes.ts";
import { createAgentRole } from "./agent.ts";
import { createConfiguration } from "./configuration.ts";
import { createFleet } from "./fleet.ts";
import type { RoleHost } from "./host.ts";
import { createRouterRole } from "./router.ts";

/** A running process. */
export interface RunningProcess {
  /** Rejects when the process cannot join the fleet. */
  readonly joined: Promise<void>;
  /** Stops gracefully; a second call returns the first one's result. */
  stop(reason: string): Promise<StopResult>;
}

/**
 * Maximum time that joining the fleet waits for the configuration, in
 * milliseconds. A new process therefore announces itself with a configuration
 * unless the platform is unavailable.
 */
const initialLoadTimeoutMs = 1_000;

/** Time that open gRPC connections get to end at a stop, in milliseconds. */
const connectionCloseTimeoutMs = 1_000;

/** Starts a process; rejects when it cannot bind an address. */
export async function startProcess(
  settings: Settings,
  options: { readonly log: Log },
): Promise<RunningProcess> {
  const { log } = options;
  const startedAt = Date.now();
  let isStarted = false;
  let stopping: Promise<StopResult> | undefined;

  const metrics = createMetrics();
  const server = new Server({
    "grpc.max_receive_message_length": maxMessageBytes,
    "grpc.max_send_message_length": maxMessageBytes,
  });
  const platform = createPlatformClient(settings.platform);
  const budget = createControlBudget({
    bytesPerSecond: settings.controlBytesPerSecond,
  });
  const orderClient = createOrderClient();
  const configuration = await createConfiguration({
    platform,
    log,
    metrics,
    server,
    budget,
    getFleet: () => fleet,
  });
  const store = configuration.store;
  const commonHost = { settings, platform, configuration: store, log, metrics };
  const fleet = createFleet({ ...commonHost, server, budget });
  const role = await createRole({ ...commonHost, server, fleet });
  metrics.gauge("process_resident_bytes", () => process.memoryUsage.rss());
  metrics.gauge("process_cpu_ms", getCpuTimeMs);

  await bindServer(server, settings);
  const admin = await openAdminListener(
    createAdminRoutes({
      settings,
      role,
      fleet,
      store,
      platform,
      metrics,
      sendOrder: orderClient.send,
      startedAt,
      isReady: () => isStarted && stopping === undefined && role.isReady(),
    }),
    { address: settings.address, port: settings.adminPort },
  );
  log.info("Process is listening", {
    address: settings.address,
    grpcPort: settings.grpcPort,
    adminPort: settings.adminPort,
  });

  return { joined: join(), stop };

  async function join(): Promise<void> {
    const loading = store.start();
    await Promise.race([loading, sleep(initialLoadTimeoutMs)]);
    if (stopping !== undefined) return;
    await Promise.all([loading, fleet.start()]);
    isStarted = true;
    log.info("Process is ready", {
      version: store.getConfiguration().version,
      tookMs: Date.now() - startedAt,
    });
  }

  function stop(reason: string): Promise<StopResult> {
    stopping ??= stopOnce(reason);
    return stopping;
  }

  async function stopOnce(reason: string): Promise<StopResult> {
    log.info("Process stops", { reason, shutdownMs: settings.shutdownMs });
    const result = await role.stop();
    if (result.cutOff > 0) {
      log.warn("Requests were cut off", { cutOff: result.cutOff });
    }
    await Promise.all([fleet.stop(), store.stop()]);
    await closeGrpcServer(server);
    orderClient.close();
    configuration.close();
    await admin.close();
    await platform.close();
    log.info("Process has stopped", {
      cutOff: result.cutOff,
      tookMs: result.tookMs,
    });
    return result;
  }
}

/** Creates the role given in the settings. */
function createRole(host: RoleHost): Promise<Role> {
  const { settings } = host;
  switch (settings.role) {
    case "router":
      return createRouterRole({ ...host, settings });
    case "agent":
      return createAgentRole({ ...host, settings });
    default:
      return assertNever(settings);
  }
}

function bindServer(server: Server, settings: Settings): Promise<void> {
  const host = settings.address.includes(":")
    ? `[${settings.address}]`
    : settings.address;
  return new Promise((resolve, reject) => {
    server.bindAsync(
      `${host}:${settings.grpcPort}`,
      ServerCredentials.createInsecure(),
      (error) => (error === null ? resolve() : reject(error)),
    );
  });
}

function closeGrpcServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      server.forceShutdown();
      resolve();
    }, connectionCloseTimeoutMs);
    server.tryShutdown(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function getCpuTimeMs(): number {
  const { user, system } = process.cpuUsage();
  return Math.round((user + system) / 1_000);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
