/** Finds the first members of the fleet, and watches the platform's list. */

import {
  callOverheadBytes,
  type ControlBudget,
} from "../process/membership/control_budget.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Endpoint, Exchange } from "../process/membership/exchange.ts";
import { isListTurn } from "../process/membership/watch_duty.ts";
import type { Platform, Vm } from "../types/platform.ts";
import type { Settings } from "../types/settings.ts";

/** Time between two rounds of greetings while no member is known. */
const announceIntervalMs = 300;

/** Longest wait for a first member; a lone process goes on without. */
const joinTimeoutMs = 3_000;

/** Longest wait for a whole table from the members that are known. */
const catchUpTimeoutMs = 8_000;

/** Members that are greeted in one round. */
const maxAnnouncementsPerRound = 6;

/** Time between two reads of the list by the routers on watch together. */
const listReadIntervalMs = 1_000;

/** Time between two looks at whose turn it is. */
const turnCheckIntervalMs = 250;

/** Longest wait between two reads while the list cannot be read. */
const maxListRetryDelayMs = 10_000;

/** What joining needs from outside. */
export interface FleetJoinHost {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly log: Log;
  readonly exchange: Exchange;
  readonly budget: ControlBudget;
}

/** Joining and watching of one process. */
export interface FleetJoin {
  /** Resolves when the table equals another's, or after a bounded wait. */
  join(): Promise<void>;
  stop(): void;
}

/** Creates the part that finds members. */
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
      if (hasMembers() && exchange.isInStep()) return;
      const elapsedMs = performance.now() - startedAt;
      if (elapsedMs > (hasMembers() ? catchUpTimeoutMs : joinTimeoutMs)) break;
      if (!hasMembers()) announceToCandidates();
      await sleep(announceIntervalMs);
    }
    if (!hasMembers()) host.log.warn("No other member has answered yet");
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
      exchange.sayHello(endpoint);
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
    // Processes that start together may first find each other in groups.
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
    host.budget.note(callOverheadBytes, "platform", "sent");
    host.budget.note(bytes + callOverheadBytes, "platform", "received");
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

  /** Greets some endpoints at which no member is known to live. */
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
      exchange.sayHello(endpoint);
    }
  }
}

/** Takes at most some endpoints, in random order. */
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

/** Reads `ip:port`; `undefined` for anything else. */
function tryParseEndpoint(text: string): Endpoint | undefined {
  const match = /^(.+):(\d{1,5})$/.exec(text);
  if (match?.[1] === undefined) return undefined;
  return { address: match[1], port: Number(match[2]) };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
