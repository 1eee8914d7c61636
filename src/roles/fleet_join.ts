/** Finds the first members of the fleet and watches the platform's VM list. */

import {
  callOverheadBytes,
  type ControlBudget,
} from "../process/membership/control_budget.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Endpoint, Exchange } from "../process/membership/exchange.ts";
import { isListTurn } from "../process/membership/watcher_selection.ts";
import type { Platform, Vm } from "../types/platform.ts";
import type { Settings } from "../types/settings.ts";

/**
 * Interval at which a process announces itself while it knows no other member,
 * in milliseconds.
 */
const announceIntervalMs = 300;

/**
 * Maximum time to wait for a first other member, in milliseconds. Without one,
 * the process starts alone.
 */
const joinTimeoutMs = 3_000;

/**
 * Maximum time to wait until the member table is in sync with a known member,
 * in milliseconds.
 */
const catchUpTimeoutMs = 8_000;

/** Maximum number of endpoints that one round announces this process to. */
const maxAnnouncementsPerRound = 6;

/**
 * Interval at which the watchers of all zones together read the VM list, in
 * milliseconds.
 */
const listReadIntervalMs = 1_000;

/**
 * Interval at which a process checks whether it is its turn to read the list,
 * in milliseconds.
 */
const turnCheckIntervalMs = 250;

/** Maximum delay between reads while the list is unavailable, in ms. */
const maxListRetryDelayMs = 10_000;

/** Dependencies of joining the fleet. */
export interface FleetJoinHost {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly log: Log;
  readonly exchange: Exchange;
  readonly budget: ControlBudget;
}

/** Joins one process to the fleet and keeps watching the VM list. */
export interface FleetJoin {
  /**
   * Resolves when the member table is in sync with another member's, or after
   * a timeout.
   */
  join(): Promise<void>;
  stop(): void;
}

/** Creates the component that finds members; `join` starts it. */
export function createFleetJoin(host: FleetJoinHost): FleetJoin {
  const { settings, exchange } = host;
  const seeds = settings.seeds.flatMap((seed) => tryParseEndpoint(seed) ?? []);
  let listedEndpoints: readonly Endpoint[] = [];
  let isStopped = false;
  let watchTimer: NodeJS.Timeout | undefined;
  let watchDelayMs = turnCheckIntervalMs;
  let lastTurn = -1;

  return { join, stop };

  async function join(): Promise<void> {
    const startedAt = performance.now();
    void readList().then(scheduleWatch);
    while (!isStopped) {
      if (hasMembers() && exchange.isInSync()) return;
      const elapsedMs = performance.now() - startedAt;
      if (elapsedMs > (hasMembers() ? catchUpTimeoutMs : joinTimeoutMs)) break;
      if (!hasMembers()) announceToCandidates();
      await sleep(announceIntervalMs);
    }
    if (!hasMembers()) host.log.warn("No other member has responded yet");
  }

  function stop(): void {
    isStopped = true;
    clearTimeout(watchTimer);
  }

  function hasMembers(): boolean {
    return exchange.membership.getPeers().length > 0;
  }

  function announceToCandidates(): void {
    const endpoints = [...seeds, ...listedEndpoints].filter(isRemote);
    for (const endpoint of pickRandom(endpoints, maxAnnouncementsPerRound)) {
      exchange.announceTo(endpoint);
    }
  }

  function isRemote({ address, port }: Endpoint): boolean {
    return address !== settings.address || port !== settings.gossipPort;
  }

  function scheduleWatch(): void {
    if (isStopped) return;
    watchTimer = setTimeout(() => {
      void watchOnce().then(scheduleWatch);
    }, watchDelayMs);
  }

  async function watchOnce(): Promise<void> {
    const turn = Math.floor(Date.now() / listReadIntervalMs);
    if (turn === lastTurn) return;
    lastTurn = turn;
    const { membership } = exchange;
    // Processes that start together may form separate groups at first, so
    // this process announces itself again to seeds that are not members.
    announceToUnknown(seeds, 1);
    if (!hasMembers()) {
      await readList();
      announceToCandidates();
    } else if (
      isListTurn(membership.getSelf(), membership.table.getAll(), turn)
    ) {
      await readList();
      announceToUnknown(listedEndpoints, maxAnnouncementsPerRound);
    }
  }

  async function readList(): Promise<void> {
    const listResult = await host.platform.listVms().run();
    listResult.caseOf({
      Left: (error) => {
        watchDelayMs = Math.min(
          maxListRetryDelayMs,
          Math.max(watchDelayMs * 2, error.retryAfterMs),
        );
      },
      Right: (vms) => {
        watchDelayMs = turnCheckIntervalMs;
        recordListBytes(vms);
        applyList(vms);
      },
    });
  }

  function recordListBytes(vms: readonly Vm[]): void {
    const bytes = Buffer.byteLength(JSON.stringify(vms));
    host.budget.recordTraffic(callOverheadBytes, "platform", "sent");
    host.budget.recordTraffic(
      bytes + callOverheadBytes,
      "platform",
      "received",
    );
  }

  function applyList(vms: readonly Vm[]): void {
    if (isStopped) return;
    listedEndpoints = vms
      .filter(({ state }) => state === "live")
      .flatMap(({ address }) =>
        tryParseEndpoint(address) ?? { address, port: settings.gossipPort }
      );
    exchange.mergeVms(vms);
  }

  /** Announces this process to some endpoints that no known member uses. */
  function announceToUnknown(
    endpoints: readonly Endpoint[],
    maxCount: number,
  ): void {
    const known = new Set(
      exchange.membership.getPeers().map(({ address, gossipPort }) =>
        `${address}:${gossipPort}`
      ),
    );
    const unknown = endpoints.filter((endpoint) =>
      isRemote(endpoint) && !known.has(`${endpoint.address}:${endpoint.port}`)
    );
    for (const endpoint of pickRandom(unknown, maxCount)) {
      exchange.announceTo(endpoint);
    }
  }
}

/** Returns up to `maxCount` endpoints, in random order. */
function pickRandom(
  endpoints: readonly Endpoint[],
  maxCount: number,
): readonly Endpoint[] {
  const remaining = [...endpoints];
  const picked: Endpoint[] = [];
  while (remaining.length > 0 && picked.length < maxCount) {
    picked.push(
      ...remaining.splice(Math.floor(Math.random() * remaining.length), 1),
    );
  }
  return picked;
}

/** Parses `ip:port`; returns `undefined` for anything else. */
function tryParseEndpoint(text: string): Endpoint | undefined {
  const match = /^(.+):(\d{1,5})$/.exec(text);
  if (match?.[1] === undefined) return undefined;
  return { address: match[1], port: Number(match[2]) };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
