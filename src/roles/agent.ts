/** Runs the agent role: admits and executes the requests for one target. */

import { addAgentService } from "../connection/agent_server.ts";
import { createTargetClient } from "../connection/target_client.ts";
import type {
  OrderRequest,
  OrderResponse,
} from "../generated/mimosatray/v1/agent.ts";
import { createAttemptTable } from "../process/attempts/attempt_table.ts";
import { loadBodyDigests } from "../process/attempts/body_digest.ts";
import { createContextIndex } from "../process/placement/context_index.ts";
import { createCrashQuarantine } from "../process/attempts/crash_quarantine.ts";
import {
  createLoadGate,
  getColdMultiple,
} from "../process/admission/load_gate.ts";
import { createOrderGate } from "../process/attempts/order_gate.ts";
import { createOrphanLoad } from "../process/admission/orphan_load.ts";
import { createSuspectClaims } from "../process/membership/suspect_claims.ts";
import { createHealthChecker } from "../process/membership/health_checker.ts";
import { createWorkQueue } from "../process/admission/work_queue.ts";
import { createAttemptService } from "../request/attempt_service.ts";
import type { Service } from "../types/configuration.ts";
import type { Role, StopResult } from "../types/role.ts";
import type { AgentHost } from "./host.ts";

/** Policy of a service that is not in the configuration yet. */
const defaultPolicy: Pick<
  Service,
  | "loadMultiple"
  | "coldMultiple"
  | "slots"
  | "queueLimit"
  | "priorityWeights"
  | "checksFencing"
> = {
  loadMultiple: 1.25,
  slots: 64,
  queueLimit: 128,
  priorityWeights: { interactive: 4, background: 1 },
  checksFencing: false,
};

/**
 * Time for which an attempt without a retained response is remembered, in
 * milliseconds.
 */
const tombstoneMs = 600_000;

/** Maximum number of finished attempts that are remembered. */
const maxRememberedAttempts = 20_000;

/**
 * Work assumed for a request that an earlier process of this agent left at the
 * target, in work units.
 */
const typicalOrphanWork = 256;

/** Time for which the holder of the order lease may send orders, in ms. */
const orderLeaseMs = 2_000;

/** Maximum time from sending an order to its effect, in milliseconds. */
const maxOrderMs = 3_000;

/** Interval at which expired attempts are removed, in milliseconds. */
const sweepIntervalMs = 1_000;

/** Creates the agent role of a process. */
export async function createAgentRole(host: AgentHost): Promise<Role> {
  const { settings, fleet, configuration, log, metrics } = host;
  const { incarnation } = fleet.getSelf();
  let leaving = false;
  const digests = await loadBodyDigests();
  const target = createTargetClient(settings.target, {
    onLimitExceeded: (limit) => {
      log.warn("Response exceeds a limit", { limit });
      metrics.count("responses_over_limit_total", { limit });
    },
  });
  const quarantine = createCrashQuarantine({ crashes: fleet.crashes });
  const healthChecker = createHealthChecker({
    checkHealth: target.checkHealth,
    onCrash: handleCrash,
  });
  const attemptTable = createAttemptTable({
    keptAnswerBytes: settings.keptAnswerBytes,
    keptAnswerMs: settings.keptAnswerMs,
    tombstoneMs,
    maxEntries: maxRememberedAttempts,
  });
  const gate = createLoadGate({
    getMean: () => fleet.means.getMean(settings.service),
    getLoadMultiple: () => getPolicy().loadMultiple,
    getColdMultiple: () => {
      const { loadMultiple, coldMultiple } = getPolicy();
      return getColdMultiple(loadMultiple, coldMultiple);
    },
  });
  const queue = createWorkQueue({
    getSlots: () => getPolicy().slots,
    getQueueLimit: () => getPolicy().queueLimit,
    getPriorityWeight: (priority) => getPolicy().priorityWeights[priority],
    getWorkspaceWeight: (workspace) =>
      configuration.getConfiguration().workspaces.get(workspace)?.weight ?? 1,
  });
  const orderGate = createOrderGate({
    platform: host.platform,
    checksFencing: () => getPolicy().checksFencing,
    send: (engineOrder) => target.order(engineOrder, { timeoutMs: maxOrderMs }),
  }, {
    key: `order/${settings.id}`,
    holder: `${settings.id}/${incarnation}`,
    leaseMs: orderLeaseMs,
    maxOrderMs,
  });
  const contexts = createContextIndex();
  const orphans = createOrphanLoad({
    getRunning: queue.getRunning,
    getTypicalWork: () => typicalOrphanWork * 100 / settings.weight,
    setForeignLoad: gate.setForeignLoad,
  });
  const attemptService = createAttemptService({
    table: attemptTable,
    contexts,
    gate,
    queue,
    quarantine,
    suspects: createSuspectClaims(
      { platform: host.platform },
      `${settings.id}/${incarnation}`,
    ),
    target,
    watch: healthChecker,
    digests,
    log,
    metrics,
    incarnation,
    getWeight: () => settings.weight,
    isLeaving: () => leaving,
  });
  addAgentService(host.server, {
    ...attemptService,
    getLoad: gate.getLoad,
    order,
    drain: (operator) => {
      drain(operator);
      return attemptService.getInFlight();
    },
  });
  fleet.setLoadSource(gate.getLoad);
  configuration.onChange(queue.refresh);
  metrics.gauge("load", gate.getLoad);
  metrics.gauge("running", queue.getRunning);
  metrics.gauge("waiting", queue.getWaiting);
  const sweepTimer = setInterval(tick, sweepIntervalMs);
  sweepTimer.unref();
  await healthChecker.start();
  if (settings.kind === "model") await readLoad();

  return {
    isReady: () => !leaving && healthChecker.isUp(),
    drain,
    stop,
    dump: () => ({
      leaving,
      targetUp: healthChecker.isUp(),
      load: gate.getLoad(),
      running: queue.getRunning(),
      waiting: queue.getWaiting(),
      contexts: contexts.getSize(),
      orphans: orphans.getOrphans(),
      inFlight: quarantine.getInFlight(),
      highestOrder: orderGate.getHighestNumber(),
      attempts: { ...attemptTable.getCounts() },
    }),
  };

  function getPolicy(): typeof defaultPolicy {
    return configuration.getConfiguration().services.get(settings.service) ??
      defaultPolicy;
  }

  async function order(request: OrderRequest): Promise<OrderResponse> {
    if (request.targetIncarnation !== incarnation) {
      return { accepted: false, code: "wrong_incarnation" };
    }
    const decision = await orderGate.submit(request);
    const code = decision.kind === "accepted" ? "" : decision.code;
    const { action, adapter, operator, fencingNumber } = request;
    log.info("Order ended", { action, adapter, operator, fencingNumber, code });
    return { accepted: decision.kind === "accepted", code };
  }

  function tick(): void {
    attemptTable.sweep();
    if (settings.kind === "model") void readLoad();
  }

  async function readLoad(): Promise<void> {
    orphans.recordReport(await target.tryReadLoad());
  }

  function handleCrash(): void {
    const suspects = quarantine.handleCrash();
    metrics.count("target_crashes_total");
    log.warn("Target crashed", { inFlight: suspects.length });
  }

  function drain(operator: string): void {
    if (leaving) return;
    leaving = true;
    log.info("Agent is leaving", { operator });
    fleet.announceLeaving();
    attemptService.refuseQueued();
  }

  async function stop(): Promise<StopResult> {
    const startedAt = performance.now();
    drain("");
    const { cutOff } = await attemptService.waitUntilIdle(settings.shutdownMs);
    clearInterval(sweepTimer);
    healthChecker.stop();
    await target.close();
    return { cutOff, tookMs: Math.round(performance.now() - startedAt) };
  }
}
