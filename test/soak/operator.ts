/** The operator of a soak, who writes configurations to the store. */

import { sleep } from "../harness/wait.ts";
import {
  attemptsByKind,
  getTimeoutMs,
  longPrefix,
  type SoakRoute,
  type SoakRouteKind,
  type VersionRecord,
} from "./observations.ts";
import type { SoakStore } from "./soak_store.ts";

/** Host of all routes. */
export const soakHost = "soak.example";

/** A key that all versions have. */
export const lastingKey = "key-lasting";

/** Keys that versions add and revoke. */
export const changingKeys = ["key-0", "key-1", "key-2"] as const;

/** Prefixes of routes that versions move between services. */
export const movingPrefixes = ["/move-0/", "/move-1/", "/move-2/"] as const;

/** Prefixes of routes that versions add and drop. */
export const extraPrefixes = ["/extra-0/", "/extra-1/", "/extra-2/"] as const;

/** Kinds of routes. */
export const routeKinds = Object.keys(
  attemptsByKind,
) as readonly SoakRouteKind[];

/** Goals of routes. */
const goals = { GoalMs: 500, GapGoalMs: 400 } as const;

/** Goals of routes for long requests, those of a reported case. */
const longGoals = { GoalMs: 300, GapGoalMs: 250 } as const;

/** Interval at which the store is looked at, in milliseconds. */
const checkIntervalMs = 50;

/** Shortest and longest time until a lost version is written again, in ms. */
const rewriteDelayMs = { least: 200, most: 1_000 } as const;

/** An operator that writes one version after the other. */
export type Operator = ReturnType<typeof createOperator>;

/** Returns the prefix of the lasting route of a kind to a service. */
export function getLastingPrefix(kind: SoakRouteKind, service: string): string {
  return `/${kind}-${service}/`;
}

/** Returns the prefix of the route of a kind to a service for long requests. */
export function getLongPrefix(kind: SoakRouteKind, service: string): string {
  return `${longPrefix}${kind}-${service}/`;
}

/** Returns the kind of a route that versions add, move or drop. */
export function getChangingKind(prefix: string): SoakRouteKind {
  const index = Number(/\d/.exec(prefix)?.[0] ?? 0);
  return routeKinds[index] ?? "safe";
}

/** Creates an operator that writes again what the store has lost. */
export function createOperator(
  host: { readonly store: SoakStore; random(): number },
  services: readonly string[],
  { timeoutMs }: { readonly timeoutMs?: number } = {},
) {
  const versions: VersionRecord[] = [];
  const moved = new Map<string, string>();
  const extras = new Set<string>(extraPrefixes.slice(0, 1));
  const keys = new Set<string>(changingKeys.slice(0, 1));
  let isWriting = false;
  let isRewriting = false;
  const timer = setInterval(() => void rewriteLost(), checkIntervalMs);

  return { versions, change, storm, stop: () => clearInterval(timer) };

  /** Writes a version with random changes, once the store takes it. */
  async function change(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    moved.set(pick(movingPrefixes), pick(services));
    if (host.random() < 0.6) toggle(extras, pick(extraPrefixes));
    if (host.random() < 0.4) toggle(keys, pick(changingKeys));
    const last = versions.at(-1)?.version ?? 0;
    const record: VersionRecord = {
      version: last + 1 + Math.floor(host.random() * 3),
      sentAt: performance.now(),
      acks: [],
      routes: createRoutes(),
      keys: new Map([lastingKey, ...keys].map((key) => [key, `ws-${key}`])),
    };
    versions.push(record);
    await write(record);
    isWriting = false;
  }

  async function write(record: VersionRecord): Promise<void> {
    const value = encodeConfiguration(record, { services, timeoutMs });
    while (!host.store.tryPutConfiguration(value)) await sleep(checkIntervalMs);
    record.acks.push({ from: performance.now(), to: Infinity });
  }

  /** Writes several versions at an interval. */
  async function storm(count: number, intervalMs: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      await change();
      await sleep(intervalMs);
    }
  }

  async function rewriteLost(): Promise<void> {
    const held = host.store.getVersion();
    const lost = versions.filter(({ version }) => version > held)
      .flatMap(({ acks }) => acks.filter(({ to }) => to === Infinity));
    lost.forEach((ack) => ack.to = performance.now());
    if (lost.length === 0 || isRewriting) return;
    isRewriting = true;
    const { least, most } = rewriteDelayMs;
    await sleep(least + host.random() * (most - least));
    const newest = versions.at(-1);
    if (newest !== undefined) await write(newest);
    isRewriting = false;
  }

  function createRoutes(): VersionRecord["routes"] {
    const routes = new Map<string, SoakRoute>();
    for (const service of services) {
      for (const kind of routeKinds) {
        routes.set(getLastingPrefix(kind, service), { kind, service });
        routes.set(getLongPrefix(kind, service), { kind, service });
      }
    }
    for (const prefix of [...movingPrefixes, ...extras]) {
      const service = moved.get(prefix) ?? services[0] ?? "";
      routes.set(prefix, { kind: getChangingKind(prefix), service });
    }
    return routes;
  }

  function pick<T>(values: readonly T[]): T {
    return values[Math.floor(host.random() * values.length)] as T;
  }
}

function toggle(set: Set<string>, value: string): void {
  if (!set.delete(value)) set.add(value);
}

function encodeConfiguration(
  { version, routes, keys }: VersionRecord,
  { services, timeoutMs }: {
    readonly services: readonly string[];
    readonly timeoutMs: number | undefined;
  },
): unknown {
  return {
    Version: version,
    Routes: [...routes].map(([prefix, { kind, service }]) => ({
      ...{ Name: prefix, Host: soakHost, Prefix: prefix, Service: service },
      Type: kind === "resumable" ? "stream" : kind,
      Resumable: kind === "resumable",
      TimeoutMs: timeoutMs ?? getTimeoutMs(prefix),
      ...(prefix.startsWith(longPrefix) ? longGoals : goals),
      ...{ Priority: 1, Attempts: attemptsByKind[kind], Public: false },
    })),
    Services: services.map((Name) => ({
      ...{ Name, HealthPath: "/healthz", MaxConns: 400 },
    })),
    Limits: {
      ...{ MaxHeaderBytes: 16_384, MaxBodyBytes: 100_000 },
      ...{ HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
    },
    Tenants: [...keys].map(([key, workspace]) => ({
      ...{ Name: workspace, ApiKeys: [key], Priority: 1 },
    })),
  };
}
