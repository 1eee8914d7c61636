/** Finds the first members of the fleet, and watches the platform's list. */

import {
  callOverheadBytes,
  type ControlBudget,
} from "../process/membership/control_budget.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Endpoint, Exchange } from "../process/membership/exchange.ts";
import { isListTurn } from "../process/membership/watcher_selection.ts";
import type { Platform, Vm } from "../types/platform.ts";
import type { Settings } from "../types/settings.ts";

/** Time between two rounds of greetings while no member is known. */
const greetIntervalMs = 300;

/** Longest wait for a first member; a lone process goes on without. */
const joinTimeoutMs = 3_000;

/** Longest wait for a whole table from the members that are known. */
const catchUpTimeoutMs = 8_000;

/** Members that are greeted in one round. */
const greetedAtOnce = 6;

/** Time between two reads of the list by the routers on watch together. */
const listIntervalMs = 1_000;

/** Time between two looks at whose turn it is. */
const turnCheckMs = 250;

/** Longest wait between two reads while the list cannot be read. */
const maxListIntervalMs = 10_000;

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
  let listed: readonly Endpoint[] = [];
  let stopped = false;
  let watching: NodeJS.Timeout | undefined;
  let waitMs = turnCheckMs;
  let lastTurn = -1;

  return { join, stop };

  async function join(): Promise<void> {
    const startedAt = performance.now();
    void readList().then(watch);
    while (!stopped) {
      if (hasMembers() && exchange.isInSync()) return;
      const passed = performance.now() - startedAt;
      if (passed > (hasMembers() ? catchUpTimeoutMs : joinTimeoutMs)) break;
      if (!hasMembers()) greet();
      await sleep(greetIntervalMs);
    }
    if (!hasMembers()) host.log.warn("No other member has answered yet");
  }

  function stop(): void {
    stopped = true;
    clearTimeout(watching);
  }

  function hasMembers(): boolean {
    return exchange.membership.getPeers().length > 0;
  }

  function greet(): void {
    const endpoints = [...seeds, ...listed].filter(isOther);
    for (const endpoint of takeSome(endpoints, greetedAtOnce)) {
      exchange.announceTo(endpoint);
    }
  }

  function isOther({ address, port }: Endpoint): boolean {
    return address !== settings.address || port !== settings.gossipPort;
  }

  function watch(): void {
    if (stopped) return;
    watching = setTimeout(() => {
      void watchOnce().then(watch);
    }, waitMs);
  }

  async function watchOnce(): Promise<void> {
    const turn = Math.floor(Date.now() / listIntervalMs);
    if (turn === lastTurn) return;
    lastTurn = turn;
    const { membership } = exchange;
    // Processes that start together may first find each other in groups.
    greetUnknown(seeds, 1);
    if (!hasMembers()) {
      await readList();
      greet();
    } else if (
      isListTurn(membership.getSelf(), membership.table.getAll(), turn)
    ) {
      await readList();
      greetUnknown(listed, greetedAtOnce);
    }
  }

  async function readList(): Promise<void> {
    const answer = await host.platform.listVms().run();
    answer.caseOf({
      Left: (error) => {
        waitMs = Math.min(
          maxListIntervalMs,
          Math.max(waitMs * 2, error.retryAfterMs),
        );
      },
      Right: (vms) => {
        waitMs = turnCheckMs;
        noteListBytes(vms);
        takeList(vms);
      },
    });
  }

  function noteListBytes(vms: readonly Vm[]): void {
    const bytes = Buffer.byteLength(JSON.stringify(vms));
    host.budget.recordTraffic(callOverheadBytes, "platform", "sent");
    host.budget.recordTraffic(
      bytes + callOverheadBytes,
      "platform",
      "received",
    );
  }

  function takeList(vms: readonly Vm[]): void {
    if (stopped) return;
    listed = vms
      .filter(({ state }) => state === "live")
      .flatMap(({ address }) =>
        tryParseEndpoint(address) ?? { address, port: settings.gossipPort }
      );
    exchange.mergeVms(vms);
  }

  /** Greets some endpoints at which no member is known to live. */
  function greetUnknown(endpoints: readonly Endpoint[], atMost: number): void {
    const known = new Set(
      exchange.membership.getPeers().map(({ address, gossipPort }) =>
        `${address}:${gossipPort}`
      ),
    );
    const unknown = endpoints.filter((endpoint) =>
      isOther(endpoint) && !known.has(`${endpoint.address}:${endpoint.port}`)
    );
    for (const endpoint of takeSome(unknown, atMost)) {
      exchange.announceTo(endpoint);
    }
  }
}

/** Takes at most some endpoints, in random order. */
function takeSome(
  endpoints: readonly Endpoint[],
  atMost: number,
): readonly Endpoint[] {
  const left = [...endpoints];
  const taken: Endpoint[] = [];
  while (left.length > 0 && taken.length < atMost) {
    taken.push(...left.splice(Math.floor(Math.random() * left.length), 1));
  }
  return taken;
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
